//! Tests of settings that change while the router serves: the checks of new settings, a dispatcher that
//! applies new settings, the publication of settings by `LiveConfig`, and a reload of the program.
mod common;
use alderway::interface::AttemptOutcome;
use alderway::policy::Policy;
use alderway_deployment::{ChangedKeys, Settings, changes};
use alderway_router::lifecycle::live_config::{ApplyResult, ConfigError, LiveConfig, check};
use alderway_router::lifecycle::startup::ProgramRole;
use alderway_router::state::attempts::AttemptId;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::query_classes::ConfigGeneration;
use alderway_router::state::shared::{MulticoreConfig, SharedState};
use alderway_telemetry::clock::Clock;
use common::dispatcher::{open_query, response_text, shard_requests};
use common::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::io::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use tokio::sync::watch;

fn current_settings() -> Value {
    serde_json::from_str(&settings_json(1000, 180)).expect("settings")
}

/// The current settings with `value` at the JSON pointer `path`.
fn settings_with(path: &str, value: Value) -> Value {
    let mut settings = current_settings();
    *settings.pointer_mut(path).unwrap_or_else(|| panic!("no {path}")) = value;
    settings
}

// Tests of the checks of new settings.

#[rstest]
#[case("/Services/0/PromiseUs", json!("soon"), "PromiseUs")]
#[case("/Services/0/Effect", json!("none"), "Effect")]
#[case("/Services", json!([]), "Services")]
#[case("/Limits/MaxAttempts", json!(-1), "MaxAttempts")]
#[case("/TickUs", json!(0), "TickUs")]
#[case("/Tenants", json!({}), "Tenants")]
#[case("/Obligations", json!({"ResendRatio": 0.1}), "ExtraFree")]
fn invalid_settings_are_rejected_with_one_line_that_names_the_key(
    #[case] path: &str,
    #[case] value: Value,
    #[case] key: &str,
) {
    let error =
        check(&settings_with(path, value), Some(&current_settings())).expect_err("rejected").to_string();
    assert!(
        error.starts_with("key `settings`: expected ") && error.contains(key) && !error.contains('\n'),
        "{error}"
    );
}

#[rstest]
#[case("/Extra/Cells", json!(2), "Extra.Cells")]
#[case("/Extra/Reach", json!(2), "Extra.Reach")]
#[case("/Extra/Slices", json!(41), "Extra.Slices")]
#[case("/Discovery", json!("subscribe"), "Discovery")]
#[case("/Limits/MaxOpen", json!(181), "Limits.MaxOpen")]
fn keys_that_need_a_restart_are_rejected_by_name(
    #[case] path: &str,
    #[case] value: Value,
    #[case] key: &str,
) {
    let new = settings_with(path, value);
    check(&new, None).expect("valid at a start");
    let error = check(&new, Some(&current_settings())).expect_err("rejected").to_string();
    assert!(error.contains(&format!("`{key}`")) && error.contains("a restart is required"), "{error}");
}

#[rstest]
#[case("/Services/0/Worth", json!(2), "Services")]
#[case("/Tenants", json!([{"Name": "c", "QuotaPerS": 3}]), "Tenants")]
#[case("/Obligations", json!({"ResendRatio": 0.05, "ExtraFree": 3}), "Obligations.ResendRatio")]
#[case("/Obligations", json!({"ColdFrom": 0.2, "WarmUpUs": 1e6, "FallMultiple": 2, "FallUs": 1e6}), "Obligations.ColdFrom")]
#[case("/Limits/MaxAttempts", json!(4), "Limits.MaxAttempts")]
#[case("/ReplicasOfMe", json!(3), "ReplicasOfMe")]
fn keys_that_can_change_are_named(#[case] path: &str, #[case] value: Value, #[case] key: &str) {
    let checked = check(&settings_with(path, value), Some(&current_settings())).expect("taken");
    assert_eq!(checked.changed_keys[0], key);
}

#[rstest]
fn the_notation_of_a_number_and_unknown_keys_are_no_change() {
    let mut new = settings_with("/Services/0/Worth", json!(1.0));
    new["Comment"] = json!("as before");
    assert_eq!(changes(&current_settings(), &new), ChangedKeys::default());
}

// Tests of a dispatcher that applies new settings.

struct Harness {
    dispatcher: Dispatcher,
    policy: Policy,
    updates: watch::Sender<Arc<ConfigGeneration>>,
}

fn generation(serial: u64, settings: &Value) -> Arc<ConfigGeneration> {
    Arc::new(ConfigGeneration { serial, settings: Settings::read(settings).expect("valid") })
}

/// Creates a dispatcher with its policy and one data node.
fn start_dispatcher() -> Harness {
    let first = generation(0, &current_settings());
    let (connections, admission) = (first.settings.connections, first.settings.admission);
    let mut dispatcher = Dispatcher::new(Clock::default(), connections, admission, vec![]);
    let (updates, receiver) = watch::channel(first);
    dispatcher.subscribe_config(receiver);
    dispatcher.endpoints.begin_update(1, true);
    let address = ([127, 0, 0, 1], 1).into();
    dispatcher.endpoints.update("s", address, 0, alderway::interface::NodeState::Serving, None);
    let policy = Policy::new(7, dispatcher.class_table.policy_config().expect("a configuration").clone());
    let mut harness = Harness { dispatcher, policy, updates };
    harness.run_round();
    harness
}

/// Records the decisions of one call of the policy; the test executes the decisions on the dispatcher
/// afterwards.
#[derive(Default)]
struct RecordedDecisions(Vec<(String, String)>);

impl alderway::interface::DecisionSink for RecordedDecisions {
    fn start_attempt(&mut self, request: &str, node: &str, _: f64) {
        self.0.push((format!("start {request}"), node.into()));
    }
    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        self.0.push((format!("cancel {request}"), attempt.to_string()));
    }
    fn answer(&mut self, query: &str, complete: bool) {
        self.0.push((format!("answer {query}"), complete.to_string()));
    }
    fn reject(&mut self, query: &str, _: Option<f64>) {
        self.0.push((format!("reject {query}"), String::new()));
    }
    fn fail(&mut self, query: &str) {
        self.0.push((format!("fail {query}"), String::new()));
    }
    fn set_timer(&mut self, _: f64, _: u64) {}
    fn poll_endpoints(&mut self) {}
    fn log(&mut self, _: &str) {}
}

impl Harness {
    fn run_round(&mut self) -> Vec<String> {
        use alderway::interface::DecisionSink;
        let (now, dispatcher) = (self.dispatcher.clock.now(), &mut self.dispatcher);
        let mut decisions = RecordedDecisions::default();
        let notify = |input: &mut dyn alderway::interface::PolicyInput| {
            dispatcher.notify_policy(now, input);
            Ok::<(), ()>(())
        };
        self.policy.round(now, notify, &mut decisions).expect("no error");
        for (decision, argument) in &decisions.0 {
            match decision.split_once(' ').expect("two words") {
                ("start", request) => self.dispatcher.start_attempt(request, argument, 5.0),
                ("cancel", request) => {
                    self.dispatcher.cancel_attempt(request, argument.parse().expect("an attempt"))
                }
                ("answer", query) => self.dispatcher.answer(query, argument == "true"),
                ("reject", query) => self.dispatcher.reject(query, None),
                (_, query) => self.dispatcher.fail(query),
            }
        }
        decisions.0.into_iter().map(|(decision, _)| decision).collect()
    }

    fn publish(&mut self, serial: u64, settings: &Value) {
        self.updates.send_replace(generation(serial, settings));
    }

    /// Opens a query like an HTTP request does. Returns the index of its service class and its client
    /// connection, or `None` if the class is unknown.
    fn open_query(&mut self, id: &str, class_name: &str) -> Option<(usize, Rc<ClientConnection>)> {
        self.dispatcher.apply_newest_config();
        let class = self.dispatcher.class_slot(class_name)?;
        let (time_left_s, requests) =
            (self.dispatcher.admission.max_deadline_s, shard_requests(id, &[1], 1.0));
        let client =
            open_query(&mut self.dispatcher, id, class, time_left_s, requests, None).expect("opened");
        Some((class, client))
    }

    /// Reports `outcome` for the first attempt of a shard request and calls the policy; returns the
    /// decisions.
    fn end_attempt(&mut self, request: &str, outcome: AttemptOutcome) -> Vec<String> {
        let id = AttemptId::new(request, 0);
        let node = self.dispatcher.attempts.get(&id).expect("in flight").node.clone();
        self.dispatcher.attempts.end(&id, outcome, self.dispatcher.clock.now()).expect("in flight");
        if outcome == AttemptOutcome::Success {
            self.dispatcher.queries.request_mut(request).expect("open").value = Some("v".into());
        }
        assert_eq!(node, "s");
        self.run_round()
    }

    fn serial(&self) -> u64 {
        *self.dispatcher.shared.cores[0].config_serial.borrow()
    }
}

#[rstest]
fn an_open_query_keeps_its_class_settings_and_a_new_one_gets_the_newest() {
    let mut harness = start_dispatcher();
    let (old, _client) = harness.open_query("a", "site-search").expect("known");
    harness.run_round();
    // Queries opened from now on are `at_most_once`; shard requests of earlier queries can still be retried.
    harness.publish(1, &settings_with("/Services/0/Effect", json!("at_most_once")));
    let (new, _other) = harness.open_query("b", "site-search").expect("known");
    assert_ne!(old, new, "a request uses the newest settings even before the next round");
    assert_eq!(harness.serial(), 0);
    assert!(harness.run_round().contains(&"start b.1".to_string()));
    assert_eq!(harness.serial(), 1, "applied with the round");
    assert!(!harness.end_attempt("a.1", AttemptOutcome::Error).contains(&"fail a".to_string()));
    assert_eq!(harness.end_attempt("b.1", AttemptOutcome::Error), ["fail b"]);
}

#[rstest]
fn a_query_admitted_before_a_change_keeps_its_class_after_the_next_round() {
    let mut harness = start_dispatcher();
    let (old, client) = harness.open_query("a", "region-report").expect("known");
    let mut new = current_settings();
    new["Services"].as_array_mut().expect("a list").truncate(1);
    harness.publish(1, &new);
    assert_eq!(harness.run_round(), ["start a.1"]);
    assert!(harness.open_query("b", "region-report").is_none(), "the class is removed");
    assert_eq!(harness.dispatcher.queries.open_in_class(old), 1);
    assert_eq!(harness.end_attempt("a.1", AttemptOutcome::Success), ["answer a"]);
    assert!(response_text(&client).starts_with("HTTP/1.1 200 "));
    let metrics = harness.dispatcher.metrics_text();
    assert!(metrics.contains("queries_merged{region-report} 1"), "{metrics}");
}

#[rstest]
fn many_changes_do_not_accumulate_class_slots() {
    let mut harness = start_dispatcher();
    let _client = harness.open_query("a", "site-search").expect("known");
    harness.run_round();
    for n in 1..=650 {
        harness.publish(n, &settings_with("/Services/0/PromiseUs", json!(1_000_000 + n)));
        // Every third change is applied without a call of the policy before the next change.
        if n % 3 > 0 {
            harness.run_round();
        } else {
            harness.dispatcher.apply_newest_config();
        }
    }
    harness.run_round();
    assert!(
        harness.dispatcher.class_slot_count() <= 5,
        "{} slots for two classes and one open query",
        harness.dispatcher.class_slot_count()
    );
    assert_eq!(harness.end_attempt("a.1", AttemptOutcome::Success), ["answer a"]);
}

#[rstest]
fn a_shorter_deadline_applies_only_to_new_queries() {
    let mut harness = start_dispatcher();
    let (_, client) = harness.open_query("a", "site-search").expect("known");
    let until =
        harness.dispatcher.queries.get(client.open_query.get().expect("open")).expect("open").not_after_s;
    let mut new = settings_with("/Services/0/DeadlineUs", json!(1_000_000));
    new["Services"][1]["DeadlineUs"] = json!(1_000_000);
    harness.publish(1, &new);
    harness.run_round();
    let (_, other) = harness.open_query("b", "site-search").expect("known");
    let of = |client: &Rc<ClientConnection>| {
        harness.dispatcher.queries.get(client.open_query.get().expect("open")).expect("open")
    };
    let now = harness.dispatcher.clock.now();
    assert_eq!(of(&client).not_after_s, until);
    assert!(of(&other).not_after_s <= now + 1.0);
    assert_eq!(harness.dispatcher.longest_deadline_s(now), 5.0);
    assert_eq!(harness.dispatcher.longest_deadline_s(now + 5.1), 1.0);
}

#[rstest]
fn a_policy_that_restarts_uses_the_newest_settings() {
    let mut harness = start_dispatcher();
    let _client = harness.open_query("a", "site-search").expect("known");
    harness.run_round();
    harness.publish(1, &settings_with("/Services/0/Effect", json!("at_most_once")));
    harness.run_round();
    harness.dispatcher.restart_policy();
    harness.policy =
        Policy::new(7, harness.dispatcher.class_table.policy_config().expect("a configuration").clone());
    harness.run_round();
    let (slot, _client) = harness.open_query("b", "site-search").expect("known");
    assert_eq!((slot, harness.dispatcher.class_slot_count()), (0, 2), "as after a start");
    assert_eq!(harness.run_round(), ["start b.1"]);
    assert_eq!(harness.end_attempt("b.1", AttemptOutcome::Error), ["fail b"]);
}

// Tests of `LiveConfig`, which publishes new settings to the cores.

fn new_live_config(role: ProgramRole) -> (LiveConfig, Arc<SharedState>) {
    let shared = SharedState::new(180, MulticoreConfig { cores: 2, ..MulticoreConfig::default() }, 1.0).0;
    let settings = Settings::read(&current_settings()).expect("valid");
    (LiveConfig::new(shared.clone(), role, current_settings(), settings, None), shared)
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}

#[rstest]
fn applying_settings_returns_once_every_serving_core_has_applied_them() {
    let (live_config, shared) = new_live_config(ProgramRole::Router);
    let hangs = Rc::new(std::cell::Cell::new(false));
    let core_1_hangs = hangs.clone();
    live_config.set_callbacks(Box::new(|_| ()), Some(Box::new(move |core| core == 0 || !core_1_hangs.get())));
    let new = settings_with("/ReplicasOfMe", json!(5));
    block_on(async {
        let mut apply = Box::pin(live_config.apply(new.clone(), Some(7)));
        let mut updates = live_config.subscribe();
        tokio::select! {
            biased;
            outcome = &mut apply => panic!("{outcome:?} although no core has applied the settings"),
            () = async {
                while updates.borrow_and_update().serial < 1 {
                    updates.changed().await.expect("published");
                }
            } => {}
        }
        shared.cores[0].config_serial.send_replace(1);
        tokio::select! {
            biased;
            outcome = &mut apply => panic!("{outcome:?} although core 1 has not applied the settings"),
            () = tokio::task::yield_now() => {}
        }
        // From here on, core 1 hangs; `apply` does not wait for a core that hangs.
        hangs.set(true);
        assert_eq!(apply.await, Ok(ApplyResult::Changed));
        assert_eq!(
            (live_config.version(), live_config.settings_in_force()),
            (Some(7), Arc::new(new.clone()))
        );
        assert_eq!(live_config.apply(new, Some(8)).await, Ok(ApplyResult::Unchanged));
        assert_eq!(live_config.version(), Some(8));
    });
}

#[rstest]
fn rejected_settings_change_nothing_and_are_not_published() {
    let (live_config, _shared) = new_live_config(ProgramRole::Router);
    let updates = live_config.subscribe();
    block_on(async {
        let invalid = live_config.apply(settings_with("/TickUs", json!(0)), Some(3)).await;
        assert!(matches!(invalid, Err(ConfigError::Invalid(error)) if error.contains("TickUs")));
        // One of the two changed keys needs a restart, so the other key does not change either.
        let mut both = settings_with("/Extra/Cells", json!(2));
        both["Services"][0]["Worth"] = json!(9);
        assert_eq!(
            live_config.apply(both, Some(3)).await,
            Err(ConfigError::RestartRequired(vec!["Extra.Cells".into()]))
        );
    });
    assert_eq!(
        (live_config.version(), live_config.settings_in_force()),
        (None, Arc::new(current_settings()))
    );
    assert!(!updates.has_changed().expect("open"));
}

#[rstest]
#[case(ProgramRole::Planner)]
#[case(ProgramRole::Forwarder { planners: vec![], heartbeat_interval_s: 0.05, heartbeat_timeout_s: 0.25 })]
fn settings_of_forwarders_and_planners_need_a_restart(#[case] role: ProgramRole) {
    let (live_config, _shared) = new_live_config(role);
    let outcome = block_on(live_config.apply(settings_with("/ReplicasOfMe", json!(5)), None));
    assert_eq!(outcome, Err(ConfigError::RestartRequired(vec!["settings".into()])));
}

// Tests of a reload of the running program.

fn reload(program: &Program, change: impl Fn(&mut Value)) {
    let text = std::fs::read_to_string(&program.config).expect("readable");
    let mut config: Value = serde_json::from_str(&text).expect("an object");
    change(&mut config["settings"]);
    std::fs::write(&program.config, config.to_string()).expect("written");
    program.signal("HUP");
}

#[rstest]
fn a_reload_applies_settings_while_a_query_is_open() {
    let (program, nodes, _discovery) = start_router_with(1, 4000, 180, r#"{"sockets":256}"#);
    let (mut before, mut after) = (program.connect(), program.connect());
    before.send(&query_request("a", "region-report", &[0], 4000));
    let mut frame = nodes.next_frame('S');
    reload(&program, |settings| settings["Services"].as_array_mut().expect("a list").truncate(1));
    assert!(program.wait_for_log("settings: ").contains("in force, `Services` changed"));
    after.send(&query_request("b", "region-report", &[0], 4000));
    assert_eq!(after.read_response().1.trim(), "an unknown vertical");
    send_reply(&mut frame.stream, "a.0 done 17 -\nvalue");
    assert_eq!(before.read_status(), "200");
    reload(&program, |settings| {
        let mut again = settings["Services"][0].clone();
        again["Name"] = json!("region-report");
        settings["Services"].as_array_mut().expect("a list").push(again);
    });
    program.wait_for_log("in force, `Services` changed");
    after.send(&query_request("c", "region-report", &[0], 4000));
    assert_eq!(nodes.answer_next().0, ["c.0"]);
    assert_eq!(after.read_status(), "200");
    let counters = program.counters();
    assert_eq!((counters["settings_taken"], counters.get("settings_refused")), (2, None));
    // Settings from the configuration file have no version, so the gauge is missing.
    assert_eq!(counters.get("settings_version"), None);
}

#[rstest]
fn a_reload_of_settings_that_cannot_change_changes_none() {
    let (program, nodes, _discovery) = start_router(1);
    reload(&program, |settings| {
        settings["Extra"]["Cells"] = json!(2);
        settings["Services"].as_array_mut().expect("a list").truncate(1);
    });
    assert!(program.wait_for_log("settings: refused").contains("`Extra.Cells` can't change while serving"));
    reload(&program, |settings| settings["Services"][0]["PromiseUs"] = json!(0));
    assert!(program.wait_for_log("the old configuration holds").contains("PromiseUs"));
    let mut client = program.connect();
    client.send(&query_request("a", "region-report", &[0], 4000));
    assert_eq!(nodes.answer_next().0, ["a.0"]);
    assert_eq!(client.read_status(), "200");
    assert_eq!(program.counters()["settings_refused"], 2);
}

#[rstest]
fn a_hundred_changes_under_load_fail_no_query() {
    let (program, nodes, _discovery) = start_router_with(2, 2000, 180, r#"{"sockets":256}"#);
    let (done, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    // This thread answers each frame to a data node at once, until the last query is answered.
    let all_answered = Arc::new(AtomicBool::new(false));
    let (frames, stop) = (nodes.frames, all_answered.clone());
    let node_thread = thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut frame) = frames.recv_timeout(Duration::from_millis(20)) else { continue };
            for id in request_ids(&frame.text) {
                send_reply(&mut frame.stream, &format!("{id} done 17 -\nvalue"));
            }
            let _ = frame.stream.flush();
        }
    });
    let clients: Vec<_> = (0..4)
        .map(|n| {
            let (mut client, done, answered) = (program.connect(), done.clone(), answered.clone());
            thread::spawn(move || {
                let mut count = 0;
                while !done.load(Ordering::Relaxed) {
                    client.send_query(&format!("q{n}-{count}"), &[0, 1, 2], 4000);
                    let (head, body) = client.read_response();
                    assert!(
                        head.starts_with("HTTP/1.1 200 ") && body.matches(r#""value":"value""#).count() == 3,
                        "{head}{body}"
                    );
                    count += 1;
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for n in 1..=100u64 {
        let before = answered.load(Ordering::Relaxed);
        reload(&program, |settings| {
            settings["Services"][0]["PromiseUs"] = json!(2_000_000 + n);
            settings["Services"][0]["Worth"] = json!(n % 7 + 1);
            settings["ReplicasOfMe"] = json!(n % 5 + 1);
            settings["Obligations"] = json!({"ResendRatio": 0.01 * (n % 9) as f64, "ExtraFree": n % 11});
        });
        loop {
            // Each request uses a new connection, because the router closes an idle connection after 2 s.
            let mut up = program.connect();
            up.send("GET /up HTTP/1.1\r\n\r\n");
            assert_eq!(up.read_status(), "200");
            up.send("GET /counters HTTP/1.1\r\n\r\n");
            let applied = parse_counters(up.read_response().1.lines()).get("settings_taken") == Some(&n);
            // Waits until at least one query was answered since the previous change.
            if applied && answered.load(Ordering::Relaxed) > before {
                break;
            }
        }
    }
    done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("all answers are correct"));
    all_answered.store(true, Ordering::Relaxed);
    node_thread.join().expect("the data nodes ran");
    let counters = program.counters();
    let answered = answered.load(Ordering::Relaxed);
    assert!(answered >= 100, "{answered}");
    assert_eq!(counters["queries_merged{site-search}"], answered);
    assert_eq!(counters["queries_open"], 0);
    assert_eq!((counters.get("settings_refused"), counters.get("module_failures")), (None, None));
}
