//! Settings that change while the router serves: as a dispatcher takes them over, as they are checked, and as the program does it
//! over sockets. Each story fails when the code behind it breaks.
mod common;
use alderway::interface::AttemptOutcome;
use alderway::policy::Policy;
use alderway_deployment::{ChangedKeys, Settings, changes};
use alderway_router::lifecycle::live_config::{Applied, ConfigError, LiveConfig, check};
use alderway_router::lifecycle::startup::Role;
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

fn held() -> Value {
    serde_json::from_str(&settings(1000, 180)).expect("settings")
}

/// The same with another value at one place.
fn with(path: &str, value: Value) -> Value {
    let mut all = held();
    *all.pointer_mut(path).unwrap_or_else(|| panic!("no {path}")) = value;
    all
}

// What is checked.

#[rstest]
#[case("/Services/0/PromiseUs", json!("soon"), "PromiseUs")]
#[case("/Services/0/Effect", json!("none"), "Effect")]
#[case("/Services", json!([]), "Services")]
#[case("/Limits/MaxAttempts", json!(-1), "MaxAttempts")]
#[case("/TickUs", json!(0), "TickUs")]
#[case("/Tenants", json!({}), "Tenants")]
#[case("/Obligations", json!({"ResendRatio": 0.1}), "ExtraFree")]
fn what_is_faulty_is_refused_in_one_line_that_names_the_key(
    #[case] path: &str,
    #[case] value: Value,
    #[case] key: &str,
) {
    let why = check(&with(path, value), Some(&held())).expect_err("refused").to_string();
    assert!(
        why.starts_with("key `settings`: expected ") && why.contains(key) && !why.contains('\n'),
        "{why}"
    );
}

#[rstest]
#[case("/Extra/Cells", json!(2), "Extra.Cells")]
#[case("/Extra/Reach", json!(2), "Extra.Reach")]
#[case("/Extra/Slices", json!(41), "Extra.Slices")]
#[case("/Discovery", json!("subscribe"), "Discovery")]
#[case("/Limits/MaxOpen", json!(181), "Limits.MaxOpen")]
fn what_holds_from_the_start_to_the_end_is_refused_by_name(
    #[case] path: &str,
    #[case] value: Value,
    #[case] key: &str,
) {
    let new = with(path, value);
    check(&new, None).expect("sound at a start");
    let why = check(&new, Some(&held())).expect_err("refused").to_string();
    assert!(why.contains(&format!("`{key}`")) && why.contains("waits for a start"), "{why}");
}

#[rstest]
#[case("/Services/0/Worth", json!(2), "Services")]
#[case("/Tenants", json!([{"Name": "c", "QuotaPerS": 3}]), "Tenants")]
#[case("/Obligations", json!({"ResendRatio": 0.05, "ExtraFree": 3}), "Obligations.ResendRatio")]
#[case("/Obligations", json!({"ColdFrom": 0.2, "WarmUpUs": 1e6, "FallMultiple": 2, "FallUs": 1e6}), "Obligations.ColdFrom")]
#[case("/Limits/MaxAttempts", json!(4), "Limits.MaxAttempts")]
#[case("/ReplicasOfMe", json!(3), "ReplicasOfMe")]
fn what_may_change_is_named(#[case] path: &str, #[case] value: Value, #[case] key: &str) {
    let checked = check(&with(path, value), Some(&held())).expect("taken");
    assert_eq!(checked.changed_keys[0], key);
}

#[rstest]
fn how_a_number_is_written_and_what_nobody_reads_is_no_change() {
    let mut new = with("/Services/0/Worth", json!(1.0));
    new["Comment"] = json!("as before");
    assert_eq!(changes(&held(), &new), ChangedKeys::default());
}

// The dispatcher.

struct Started {
    dispatcher: Dispatcher,
    module: Policy,
    news: watch::Sender<Arc<ConfigGeneration>>,
}

fn issue(serial: u64, all: &Value) -> Arc<ConfigGeneration> {
    Arc::new(ConfigGeneration { serial, settings: Settings::read(all).expect("sound") })
}

/// A dispatcher and its module, with one data node.
fn dispatcher() -> Started {
    let began = issue(0, &held());
    let (trunk, room) = (began.settings.connections, began.settings.admission);
    let mut dispatcher = Dispatcher::new(Clock::default(), trunk, room, vec![]);
    let (news, told) = watch::channel(began);
    dispatcher.subscribe_config(told);
    dispatcher.endpoints.begin_update(1, true);
    let address = ([127, 0, 0, 1], 1).into();
    dispatcher.endpoints.update("s", address, 0, alderway::interface::NodeState::Serving, None);
    let module = Policy::new(7, dispatcher.class_table.policy_config().expect("terms").clone());
    let mut started = Started { dispatcher, module, news };
    started.round();
    started
}

/// Decisions of a round, carried out by the dispatcher after it.
#[derive(Default)]
struct Said(Vec<(String, String)>);

impl alderway::interface::DecisionSink for Said {
    fn start_attempt(&mut self, part: &str, node: &str, _: f64) {
        self.0.push((format!("call {part}"), node.into()));
    }
    fn cancel_attempt(&mut self, part: &str, hop: usize) {
        self.0.push((format!("cancel {part}"), hop.to_string()));
    }
    fn answer(&mut self, query: &str, whole: bool) {
        self.0.push((format!("answer {query}"), whole.to_string()));
    }
    fn reject(&mut self, query: &str, _: Option<f64>) {
        self.0.push((format!("reject {query}"), String::new()));
    }
    fn fail(&mut self, query: &str) {
        self.0.push((format!("abort {query}"), String::new()));
    }
    fn set_timer(&mut self, _: f64, _: u64) {}
    fn poll_endpoints(&mut self) {}
    fn log(&mut self, _: &str) {}
}

impl Started {
    fn round(&mut self) -> Vec<String> {
        use alderway::interface::DecisionSink;
        let (now, dispatcher) = (self.dispatcher.clock.now(), &mut self.dispatcher);
        let mut said = Said::default();
        let told = |intake: &mut dyn alderway::interface::PolicyInput| {
            dispatcher.notify_policy(now, intake);
            Ok::<(), ()>(())
        };
        self.module.round(now, told, &mut said).expect("no fault");
        for (what, which) in &said.0 {
            match what.split_once(' ').expect("two words") {
                ("call", part) => self.dispatcher.start_attempt(part, which, 5.0),
                ("cancel", part) => self.dispatcher.cancel_attempt(part, which.parse().expect("a hop")),
                ("answer", query) => self.dispatcher.answer(query, which == "true"),
                ("reject", query) => self.dispatcher.reject(query, None),
                (_, query) => self.dispatcher.fail(query),
            }
        }
        said.0.into_iter().map(|(what, _)| what).collect()
    }

    fn offer(&mut self, serial: u64, all: &Value) {
        self.news.send_replace(issue(serial, all));
    }

    /// As a request is taken in; the vertical's place, or none.
    fn take(&mut self, id: &str, name: &str) -> Option<(usize, Rc<ClientConnection>)> {
        self.dispatcher.refresh_config();
        let class = self.dispatcher.class_slot(name)?;
        let (time_left_s, requests) =
            (self.dispatcher.admission.max_deadline_s, shard_requests(id, &[1], 1.0));
        let client = open_query(&mut self.dispatcher, id, class, time_left_s, requests, None).expect("taken");
        Some((class, client))
    }

    fn ends(&mut self, part: &str, ending: AttemptOutcome) -> Vec<String> {
        let id = AttemptId::new(part, 0);
        let node = self.dispatcher.attempts.get(&id).expect("it is out").node.clone();
        self.dispatcher.attempts.end(&id, ending, self.dispatcher.clock.now()).expect("it is out");
        assert_eq!(node, "s");
        self.round()
    }

    fn serial(&self) -> u64 {
        *self.dispatcher.shared.cores[0].config_serial.borrow()
    }
}

#[rstest]
fn an_open_query_stays_in_its_verticals_old_place_and_a_new_one_goes_by_the_newest() {
    let mut all = dispatcher();
    let (old, _client) = all.take("a", "site-search").expect("known");
    all.round();
    // At most once from here on: what was taken before may be sent again.
    all.offer(1, &with("/Services/0/Effect", json!("at_most_once")));
    let (new, _other) = all.take("b", "site-search").expect("known");
    assert_ne!(old, new, "before any round, a request goes by what is in force");
    assert_eq!(all.serial(), 0);
    assert!(all.round().contains(&"call b.1".to_string()));
    assert_eq!(all.serial(), 1, "taken over with the round");
    assert!(!all.ends("a.1", AttemptOutcome::Error).contains(&"abort a".to_string()));
    assert_eq!(all.ends("b.1", AttemptOutcome::Error), ["abort b"]);
}

#[rstest]
fn a_query_that_was_taken_but_not_yet_told_keeps_what_it_was_promised() {
    let mut all = dispatcher();
    let (old, client) = all.take("a", "region-report").expect("known");
    let mut new = held();
    new["Services"].as_array_mut().expect("a list").truncate(1);
    all.offer(1, &new);
    assert_eq!(all.round(), ["call a.1"]);
    assert!(all.take("b", "region-report").is_none(), "unknown from here on");
    assert_eq!(all.dispatcher.queries.open_in_class(old), 1);
    assert_eq!(all.ends("a.1", AttemptOutcome::Success), ["answer a"]);
    assert!(response_text(&client).starts_with("HTTP/1.1 200 "));
    let counted = all.dispatcher.metrics_text();
    assert!(counted.contains("queries_merged{region-report} 1"), "{counted}");
}

#[rstest]
fn many_changes_leave_nothing_behind() {
    let mut all = dispatcher();
    let _client = all.take("a", "site-search").expect("known");
    all.round();
    for n in 1..=650 {
        all.offer(n, &with("/Services/0/PromiseUs", json!(1_000_000 + n)));
        // Some are so close that no round is between them.
        if n % 3 > 0 {
            all.round();
        } else {
            all.dispatcher.refresh_config();
        }
    }
    all.round();
    assert!(
        all.dispatcher.class_slot_count() <= 5,
        "{} places for two verticals and one open query",
        all.dispatcher.class_slot_count()
    );
    assert_eq!(all.ends("a.1", AttemptOutcome::Success), ["answer a"]);
}

#[rstest]
fn a_shorter_deadline_is_for_new_queries_and_replies_to_old_ones_are_still_waited_for() {
    let mut all = dispatcher();
    let (_, client) = all.take("a", "site-search").expect("known");
    let until = all.dispatcher.queries.get(client.open_query.get().expect("open")).expect("open").not_after_s;
    let mut new = with("/Services/0/DeadlineUs", json!(1_000_000));
    new["Services"][1]["DeadlineUs"] = json!(1_000_000);
    all.offer(1, &new);
    all.round();
    let (_, other) = all.take("b", "site-search").expect("known");
    let of = |client: &Rc<ClientConnection>| {
        all.dispatcher.queries.get(client.open_query.get().expect("open")).expect("open")
    };
    let now = all.dispatcher.clock.now();
    assert_eq!(of(&client).not_after_s, until);
    assert!(of(&other).not_after_s <= now + 1.0);
    assert_eq!(all.dispatcher.longest_deadline_s(now), 5.0);
    assert_eq!(all.dispatcher.longest_deadline_s(now + 5.1), 1.0);
}

#[rstest]
fn a_module_that_starts_anew_starts_with_the_newest() {
    let mut all = dispatcher();
    let _client = all.take("a", "site-search").expect("known");
    all.round();
    all.offer(1, &with("/Services/0/Effect", json!("at_most_once")));
    all.round();
    all.dispatcher.restart_policy();
    all.module = Policy::new(7, all.dispatcher.class_table.policy_config().expect("terms").clone());
    all.round();
    let (place, _client) = all.take("b", "site-search").expect("known");
    assert_eq!((place, all.dispatcher.class_slot_count()), (0, 2), "as after a start");
    assert_eq!(all.round(), ["call b.1"]);
    assert_eq!(all.ends("b.1", AttemptOutcome::Error), ["abort b"]);
}

// The one path for all that bring settings.

fn live(role: Role) -> (LiveConfig, Arc<SharedState>) {
    let shared = SharedState::new(180, MulticoreConfig { cores: 2, ..MulticoreConfig::default() }, 1.0).0;
    let began = Settings::read(&held()).expect("sound");
    (LiveConfig::new(shared.clone(), role, held(), began, None), shared)
}

fn block_on<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(what)
}

#[rstest]
fn an_offer_is_answered_when_every_core_that_serves_has_it() {
    let (live, shared) = live(Role::Router);
    let hangs = Rc::new(std::cell::Cell::new(false));
    let serves = hangs.clone();
    live.attach(Box::new(|_| ()), Some(Box::new(move |core| core == 0 || !serves.get())));
    let new = with("/ReplicasOfMe", json!(5));
    block_on(async {
        let mut offer = Box::pin(live.apply(new.clone(), Some(7)));
        let mut news = live.subscribe();
        tokio::select! {
            biased;
            outcome = &mut offer => panic!("{outcome:?} though no core has it"),
            () = async {
                while news.borrow_and_update().serial < 1 {
                    news.changed().await.expect("told");
                }
            } => {}
        }
        shared.cores[0].config_serial.send_replace(1);
        tokio::select! {
            biased;
            outcome = &mut offer => panic!("{outcome:?} though core 1 has not"),
            () = tokio::task::yield_now() => {}
        }
        // Nobody waits for one that hangs.
        hangs.set(true);
        assert_eq!(offer.await, Ok(Applied::Changed));
        assert_eq!((live.version(), live.in_force()), (Some(7), Arc::new(new.clone())));
        assert_eq!(live.apply(new, Some(8)).await, Ok(Applied::Unchanged));
        assert_eq!(live.version(), Some(8));
    });
}

#[rstest]
fn what_is_refused_changes_nothing_and_is_told_to_nobody() {
    let (live, _house) = live(Role::Router);
    let news = live.subscribe();
    block_on(async {
        let faulty = live.apply(with("/TickUs", json!(0)), Some(3)).await;
        assert!(matches!(faulty, Err(ConfigError::Invalid(why)) if why.contains("TickUs")));
        // Whole or not at all: what could change does not either.
        let mut both = with("/Extra/Cells", json!(2));
        both["Services"][0]["Worth"] = json!(9);
        assert_eq!(
            live.apply(both, Some(3)).await,
            Err(ConfigError::RestartRequired(vec!["Extra.Cells".into()]))
        );
    });
    assert_eq!((live.version(), live.in_force()), (None, Arc::new(held())));
    assert!(!news.has_changed().expect("open"));
}

#[rstest]
#[case(Role::Planner)]
#[case(Role::Forwarder { planners: vec![], heartbeat_interval_s: 0.05, heartbeat_timeout_s: 0.25 })]
fn on_two_levels_settings_wait_for_a_start(#[case] role: Role) {
    let (live, _house) = live(role);
    let outcome = block_on(live.apply(with("/ReplicasOfMe", json!(5)), None));
    assert_eq!(outcome, Err(ConfigError::RestartRequired(vec!["settings".into()])));
}

// The program.

fn reload(program: &Program, change: impl Fn(&mut Value)) {
    let text = std::fs::read_to_string(&program.config).expect("readable");
    let mut all: Value = serde_json::from_str(&text).expect("an object");
    change(&mut all["settings"]);
    std::fs::write(&program.config, all.to_string()).expect("written");
    program.signal("HUP");
}

#[rstest]
fn a_reload_takes_settings_over_while_a_query_is_open() {
    let (program, nodes, _agent) = limited(1, 4000, 180, r#"{"sockets":256}"#);
    let (mut before, mut after) = (program.connect(), program.connect());
    before.send(&post("a", "region-report", &[0], 4000));
    let mut call = nodes.next('S');
    reload(&program, |settings| settings["Services"].as_array_mut().expect("a list").truncate(1));
    assert!(program.says("settings: ").contains("in force, `Services` changed"));
    after.send(&post("b", "region-report", &[0], 4000));
    assert_eq!(after.answer().1.trim(), "an unknown vertical");
    reply(&mut call.stream, "a.0 done 17 -\nvalue");
    assert_eq!(before.status(), "200");
    reload(&program, |settings| {
        let mut again = settings["Services"][0].clone();
        again["Name"] = json!("region-report");
        settings["Services"].as_array_mut().expect("a list").push(again);
    });
    program.says("in force, `Services` changed");
    after.send(&post("c", "region-report", &[0], 4000));
    assert_eq!(nodes.serve().0, ["c.0"]);
    assert_eq!(after.status(), "200");
    let counted = program.counters();
    assert_eq!((counted["settings_taken"], counted.get("settings_refused")), (2, None));
    // A file's settings have no number.
    assert_eq!(counted.get("settings_version"), None);
}

#[rstest]
fn a_reload_of_settings_that_cannot_change_changes_none() {
    let (program, nodes, _agent) = started(1);
    reload(&program, |settings| {
        settings["Extra"]["Cells"] = json!(2);
        settings["Services"].as_array_mut().expect("a list").truncate(1);
    });
    assert!(program.says("settings: refused").contains("`Extra.Cells` can't change while serving"));
    reload(&program, |settings| settings["Services"][0]["PromiseUs"] = json!(0));
    assert!(program.says("the old configuration holds").contains("PromiseUs"));
    let mut client = program.connect();
    client.send(&post("a", "region-report", &[0], 4000));
    assert_eq!(nodes.serve().0, ["a.0"]);
    assert_eq!(client.status(), "200");
    assert_eq!(program.counters()["settings_refused"], 2);
}

#[rstest]
fn a_hundred_changes_under_load_are_no_interruption() {
    let (program, nodes, _agent) = limited(2, 2000, 180, r#"{"sockets":256}"#);
    let (done, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    // Data nodes that answer each frame at once, until the last query has its answer.
    let over = Arc::new(AtomicBool::new(false));
    let (frames, stop) = (nodes.frames, over.clone());
    let answers = thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut came) = frames.recv_timeout(Duration::from_millis(20)) else { continue };
            for id in parts(&came.text) {
                reply(&mut came.stream, &format!("{id} done 17 -\nvalue"));
            }
            let _ = came.stream.flush();
        }
    });
    let clients: Vec<_> = (0..4)
        .map(|n| {
            let (mut client, done, asked) = (program.connect(), done.clone(), asked.clone());
            thread::spawn(move || {
                let mut count = 0;
                while !done.load(Ordering::Relaxed) {
                    client.ask(&format!("q{n}-{count}"), &[0, 1, 2], 4000);
                    let (head, body) = client.answer();
                    assert!(
                        head.starts_with("HTTP/1.1 200 ") && body.matches(r#""value":"value""#).count() == 3,
                        "{head}{body}"
                    );
                    count += 1;
                    asked.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for n in 1..=100u64 {
        let before = asked.load(Ordering::Relaxed);
        reload(&program, |settings| {
            settings["Services"][0]["PromiseUs"] = json!(2_000_000 + n);
            settings["Services"][0]["Worth"] = json!(n % 7 + 1);
            settings["ReplicasOfMe"] = json!(n % 5 + 1);
            settings["Obligations"] = json!({"ResendRatio": 0.01 * (n % 9) as f64, "ExtraFree": n % 11});
        });
        loop {
            // One that never sends a query is closed after two seconds.
            let mut up = program.connect();
            up.send("GET /up HTTP/1.1\r\n\r\n");
            assert_eq!(up.status(), "200");
            up.send("GET /counters HTTP/1.1\r\n\r\n");
            let taken = figures(up.answer().1.lines()).get("settings_taken") == Some(&n);
            // Queries go on between any two changes.
            if taken && asked.load(Ordering::Relaxed) > before {
                break;
            }
        }
    }
    done.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("every answer right"));
    over.store(true, Ordering::Relaxed);
    answers.join().expect("the nodes");
    let counted = program.counters();
    let asked = asked.load(Ordering::Relaxed);
    assert!(asked >= 100, "{asked}");
    assert_eq!(counted["queries_merged{site-search}"], asked);
    assert_eq!(counted["queries_open"], 0);
    assert_eq!((counted.get("settings_refused"), counted.get("module_failures")), (None, None));
}
