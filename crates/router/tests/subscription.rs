//! A router's subscription over sockets, to control machines that are given versions by hand. Each test waits on the
//! router's counters.
use alderway_control_plane::messages::{ApplyOutcome, RouterMessage};
use alderway_control_plane::publisher;
use alderway_control_plane::subscriber::{ConfigVersion, ControlEndpoint, SubscriptionConfig};
use alderway_control_plane::version::{Version, VersionNumber};
use alderway_control_plane::version_sink::VersionSink;
use alderway_control_server::subscriptions::Subscriptions;
use alderway_router::control::persisted_version::{PersistedVersion, VersionWriter};
use alderway_router::control::settings::startup_config;
use alderway_router::control::{ApplySettings, Subscription, start};
use alderway_router::lifecycle::startup::StartupConfig;
use alderway_router::state::metrics::MetricsSnapshot;
use alderway_router::state::shared::{MulticoreConfig, SharedState};
use alderway_telemetry::clock::Clock;
use alderway_transport::{Hello, WireMessage, encode_hello};
use rstest::rstest;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{interval, sleep, timeout};

mod common;

const TIMEOUT: Duration = Duration::from_secs(20);

fn run_local(run_local: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(3 * TIMEOUT, run_local).await.expect("in time");
    });
}

fn version(number: VersionNumber, settings: Value) -> Version {
    Version {
        number,
        proposal_id: format!("p{number}"),
        author: "a".into(),
        reason: "w".into(),
        at_unix_ms: 0,
        settings,
    }
}

fn settings(number: VersionNumber) -> Value {
    let mut settings: Value = serde_json::from_str(&common::settings_json(1000, 180)).expect("settings");
    settings["Limits"]["MaxOpen"] = json!(100 + number);
    settings
}

/// A control machine that says that its majority stands, until it is stopped.
struct ControlMachine {
    subscriptions: Subscriptions,
    ticks: JoinHandle<()>,
}

impl Drop for ControlMachine {
    fn drop(&mut self) {
        self.ticks.abort();
        self.subscriptions.stop();
    }
}

impl ControlMachine {
    async fn at(name: &str, at: SocketAddr, upto: VersionNumber) -> ControlMachine {
        let listening = Subscriptions::listen(name, 1, at, publisher::PublisherConfig::default());
        let mut subscriptions = listening.await.expect("a listener");
        subscriptions.freshness(0.0, true);
        (1..=upto).for_each(|n| subscriptions.committed(&version(n, settings(n))));
        let mut told = subscriptions.clone();
        let ticks = spawn_local(async move {
            let mut ticks = interval(Duration::from_millis(100));
            loop {
                ticks.tick().await;
                told.freshness(0.0, true);
            }
        });
        ControlMachine { subscriptions, ticks }
    }

    async fn new(name: &str, upto: VersionNumber) -> ControlMachine {
        ControlMachine::at(name, ([127, 0, 0, 1], 0).into(), upto).await
    }

    fn commit(&mut self, number: VersionNumber) {
        self.subscriptions.committed(&version(number, settings(number)));
    }
}

struct Router {
    shared: Arc<SharedState>,
    offered: Rc<RefCell<Vec<(VersionNumber, Value)>>>,
}

fn machine(name: &str, zone: &str) -> ControlEndpoint {
    ControlEndpoint { name: name.into(), zone: zone.into() }
}

fn fast_config() -> SubscriptionConfig {
    SubscriptionConfig {
        behind_timeout_s: 0.3,
        attempt_backoff_s: 0.05,
        heartbeat_interval_s: 0.2,
        heartbeat_timeout_s: 1.0,
        stale_after_s: 1.0,
        ..SubscriptionConfig::default()
    }
}

impl Router {
    /// Takes over whatever is offered, but what is in `refuses`.
    fn new(
        machines: Vec<(ControlEndpoint, SocketAddr)>,
        keep: Option<PathBuf>,
        refuses: &[VersionNumber],
    ) -> Router {
        let (offered, refuses) = (Rc::new(RefCell::new(vec![])), refuses.to_vec());
        let taken = offered.clone();
        let offer: ApplySettings = Box::new(move |settings, number| {
            taken.borrow_mut().push((number, settings));
            let refused = refuses.contains(&number);
            Box::pin(async move {
                if refused {
                    ApplyOutcome::Rejected("key `x`: expected y".into())
                } else {
                    ApplyOutcome::Applied
                }
            })
        });
        let persisted = keep.as_deref().and_then(|path| PersistedVersion::load(path).ok().flatten());
        let subscription = Subscription {
            control_servers: machines,
            zone: "z1".into(),
            config: fast_config(),
            persist_path: keep,
            persisted,
            startup_error: None,
        };
        Router { shared: Router::started(subscription, offer), offered }
    }

    fn started(subscription: Subscription, offer: ApplySettings) -> Arc<SharedState> {
        let sharing =
            MulticoreConfig { cores: 1, max_connections_per_node: None, shares_observations: false };
        let shared = SharedState::new(100, sharing, f64::INFINITY).0;
        start(subscription, "r", 5, offer, shared.clone(), Clock::default());
        shared
    }

    async fn until(&self, what: impl Fn(&MetricsSnapshot) -> bool) {
        let mut figures = self.shared.control_metrics.subscribe();
        let came = timeout(TIMEOUT, figures.wait_for(|figures| what(figures))).await;
        let now = self.shared.control_metrics.borrow().text();
        assert!(matches!(came, Ok(Ok(_))), "not in time:\n{now}");
    }
}

fn figure(figures: &MetricsSnapshot, name: &str) -> Option<u64> {
    let text = figures.text();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|figure| figure.parse().ok())
}

fn is(name: &'static str, expected: u64) -> impl Fn(&MetricsSnapshot) -> bool {
    move |figures| figure(figures, name) == Some(expected)
}

fn some(name: &'static str) -> impl Fn(&MetricsSnapshot) -> bool {
    move |figures| figure(figures, name).is_some_and(|figure| figure > 0)
}

/// A file of a run_local, gone with it.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        // Stories of one process run side by side.
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let own = format!("alderway-{}-{number}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(own);
        std::fs::create_dir_all(&directory).expect("a directory");
        TempFolder(directory)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Until the other side of a socket, or of a disk, has done what it was told to; the run_local's end bounds it.
async fn until(what: impl Fn() -> bool) {
    while !what() {
        sleep(Duration::from_millis(2)).await;
    }
}

fn closed() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

/// For a router whose settings only change with a start: what is sound and differs from the held waits for one.
fn with_a_start(held: Value) -> ApplySettings {
    Box::new(move |settings, _| {
        let outcome = match alderway_deployment::policy(0, &settings) {
            Err(why) => ApplyOutcome::Rejected(format!("key `settings`: expected {why}")),
            Ok(_) if settings == held => ApplyOutcome::Applied,
            Ok(_) => ApplyOutcome::PendingRestart(vec!["settings".into()]),
        };
        Box::pin(async move { outcome })
    })
}

#[rstest]
fn versions_are_applied_from_a_snapshot_then_patches_and_reported_back() {
    run_local(async {
        let mut control_machine = ControlMachine::new("c1", 1).await;
        let at = control_machine.subscriptions.address();
        let router = Router::new(vec![(machine("c1", "z1"), at)], None, &[3]);
        router.until(is("control_version", 1)).await;
        control_machine.commit(2);
        router.until(is("control_version", 2)).await;
        control_machine.commit(3);
        router.until(is("control_versions_refused", 1)).await;
        // What it line back is on its way: the machine's word for it.
        until(|| {
            control_machine.subscriptions.summary().lagging.iter().any(|l| l.reason.contains("key `x`"))
        })
        .await;
        let summary = control_machine.subscriptions.summary();
        assert_eq!((summary.by_version.get(&2), summary.lagging.len()), (Some(&1), 1));
        assert_eq!(summary.lagging[0].reason, "rejected 3: key `x`: expected y");
        control_machine.commit(4);
        router.until(is("control_version", 4)).await;
        let offered = router.offered.borrow().clone();
        let expected: Vec<(VersionNumber, Value)> = (1..5).map(|n| (n, settings(n))).collect();
        assert_eq!(offered, expected);
        router.until(|f| is("control_wholes", 1)(f) && is("control_deltas", 3)(f)).await;
        router.until(some("control_version_age_ms")).await;
        assert!(figure(&router.shared.control_metrics.borrow(), "control_version_age_ms") < Some(1500));
    });
}

#[rstest]
fn a_router_fails_over_when_its_control_machine_is_lost() {
    run_local(async {
        let (first, mut second) = (ControlMachine::new("c1", 1).await, ControlMachine::new("c2", 1).await);
        let at = (first.subscriptions.address(), second.subscriptions.address());
        let router = Router::new(vec![(machine("c1", "z1"), at.0), (machine("c2", "z2"), at.1)], None, &[]);
        router.until(is("control_version", 1)).await;
        assert_eq!((first.subscriptions.link_count(), second.subscriptions.link_count()), (1, 0));
        drop(first);
        router.until(|f| is("control_connections_lost", 1)(f) && is("control_connected", 1)(f)).await;
        assert_eq!(second.subscriptions.link_count(), 1);
        second.commit(2);
        router.until(is("control_version", 2)).await;
    });
}

#[rstest]
#[case::says_nothing(false)]
#[case::speaks_nonsense(true)]
fn a_peer_that_is_no_control_machine_is_left_for_another(#[case] speaks: bool) {
    run_local(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let at = listener.local_addr().expect("its address");
        let strange = spawn_local(async move {
            let mut all = vec![];
            while let Ok((mut stream, _)) = listener.accept().await {
                if speaks {
                    let _ = stream.write_all(&[7; 100]).await;
                }
                all.push(stream);
            }
        });
        let second = ControlMachine::new("c2", 1).await;
        let list = vec![(machine("c1", "z1"), at), (machine("c2", "z2"), second.subscriptions.address())];
        let router = Router::new(list, None, &[]);
        router.until(is("control_version", 1)).await;
        strange.abort();
    });
}

#[rstest]
fn a_half_open_connection_is_closed_when_its_router_connects_again() {
    run_local(async {
        let control_machine = ControlMachine::new("c1", 1).await;
        let dial = async |incarnation| {
            let at = control_machine.subscriptions.address();
            let mut stream = TcpStream::connect(at).await.expect("a connection");
            let mut hello = vec![];
            let line =
                Hello { version: RouterMessage::VERSION, is_planner: false, incarnation, name: "r".into() };
            encode_hello::<RouterMessage>(&mut hello, &line);
            stream.write_all(&hello).await.expect("written");
            stream
        };
        let mut former = dial(1).await;
        until(|| control_machine.subscriptions.link_count() == 1).await;
        let later = dial(2).await;
        // The machine's hello, and then its end.
        let mut read = vec![];
        former.read_to_end(&mut read).await.expect("its end");
        assert_eq!(control_machine.subscriptions.link_count(), 1);
        drop(later);
        until(|| control_machine.subscriptions.link_count() == 0).await;
    });
}

#[rstest]
fn a_stale_control_machine_is_left_and_no_router_goes_back_to_its_version() {
    run_local(async {
        let (stale, current) = (ControlMachine::new("c1", 1).await, ControlMachine::new("c2", 3).await);
        let list = vec![
            (machine("c1", "z2"), stale.subscriptions.address()),
            (machine("c2", "z1"), current.subscriptions.address()),
        ];
        let router = Router::new(list, None, &[]);
        router.until(is("control_version", 3)).await;
        let at = current.subscriptions.address();
        drop(current);
        router.until(some("control_machines_behind")).await;
        assert_eq!(figure(&router.shared.control_metrics.borrow(), "control_version"), Some(3));
        let mut back = ControlMachine::at("c2", at, 3).await;
        back.commit(4);
        router.until(is("control_version", 4)).await;
        assert_eq!(router.offered.borrow().iter().map(|o| o.0).collect::<Vec<_>>(), [3, 4]);
        drop(stale);
    });
}

#[rstest]
fn without_control_machines_a_router_starts_with_its_persisted_version_and_catches_up_later() {
    let folder = TempFolder::new("gone");
    let keep = folder.file("version");
    let config = configured(&folder);
    run_local(async {
        let mut control_machine = ControlMachine::new("c1", 1).await;
        let router = Router::new(
            vec![(machine("c1", "z1"), control_machine.subscriptions.address())],
            Some(keep.clone()),
            &[],
        );
        router.until(is("control_version", 1)).await;
        control_machine.commit(2);
        router.until(is("control_version", 2)).await;
        until(|| {
            PersistedVersion::load(&keep)
                .ok()
                .flatten()
                .is_some_and(|persisted| persisted.version.number == 2)
        })
        .await;
    });
    let at = closed();
    let subscription = || Subscription {
        control_servers: vec![(machine("c1", "z1"), at)],
        zone: "z1".into(),
        config: fast_config(),
        persist_path: Some(keep.clone()),
        persisted: None,
        startup_error: None,
    };
    let (startup, control) =
        startup_config(subscription(), &config, Clock::default(), None).expect("a startup configuration");
    assert_eq!(startup.settings_json, settings(2));
    assert_eq!(control.persisted.as_ref().map(|persisted| persisted.version.number), Some(2));
    run_local(async {
        let router =
            Router { shared: Router::started(control, with_a_start(settings(2))), offered: Rc::default() };
        router.until(some("control_dials")).await;
        assert_eq!(figure(&router.shared.control_metrics.borrow(), "control_version"), Some(2));
        // What changes waits for a start here, and is kept for it.
        let control_machine = ControlMachine::at("c1", at, 3).await;
        router.until(is("control_versions_waiting", 1)).await;
        until(|| {
            PersistedVersion::load(&keep)
                .ok()
                .flatten()
                .is_some_and(|persisted| persisted.version.number == 3)
        })
        .await;
        until(|| {
            control_machine
                .subscriptions
                .summary()
                .lagging
                .iter()
                .any(|l| l.reason == "3 needs a restart: settings")
        })
        .await;
    });
    let (startup, _) =
        startup_config(subscription(), &config, Clock::default(), None).expect("a startup configuration");
    assert_eq!(startup.settings_json, settings(3));
}

/// A configuration with settings 0.
fn configured(folder: &TempFolder) -> PathBuf {
    let config = folder.file("config");
    let own = r#"{"name": "r", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": "#;
    std::fs::write(&config, format!("{own}{}}}", settings(0))).expect("written");
    config
}

/// What a router with that configuration starts with, given a file with a persisted version.
fn started_from(
    folder: &TempFolder,
    keep: PathBuf,
    machines: Vec<(ControlEndpoint, SocketAddr)>,
) -> (StartupConfig, Subscription) {
    let (zone, keep) = (String::new(), Some(keep));
    let subscription = Subscription {
        control_servers: machines,
        zone,
        config: fast_config(),
        persist_path: keep,
        persisted: None,
        startup_error: None,
    };
    startup_config(subscription, &configured(folder), Clock::default(), None)
        .expect("a startup configuration")
}

#[rstest]
#[case::cut_short(|text: &str| text[..text.len() - 9].to_string(), "torn or not of this program")]
#[case::a_byte_changed(|text: &str| text.replace("site-search", "site-saerch"), "torn or not of this program")]
#[case::empty(|_: &str| String::new(), "torn or not of this program")]
#[case::anothers(|_: &str| "x".repeat(100_000), "longer than any version")]
fn a_damaged_persisted_version_is_logged_and_ignored(#[case] tear: fn(&str) -> String, #[case] why: &str) {
    let folder = TempFolder::new("torn");
    let keep = folder.file("version");
    let sound = PersistedVersion {
        version: ConfigVersion::new(7, &settings(7).to_string()),
        confirmed_at_unix_ms: Some(1_700_000_000_000),
    };
    sound.store(&keep).expect("written");
    assert_eq!(PersistedVersion::load(&keep).expect("sound"), Some(sound));
    let text = std::fs::read_to_string(&keep).expect("there");
    std::fs::write(&keep, tear(&text)).expect("written");
    let (startup, control) = started_from(&folder, keep, vec![(machine("c1", "z1"), closed())]);
    assert_eq!(startup.settings_json, settings(0));
    assert!(control.persisted.is_none());
    let line = control.startup_error.expect("a line of the log").to_string();
    assert!(line.ends_with(&format!("{why}; ignored")), "{line}");
}

#[rstest]
fn a_persisted_version_with_invalid_settings_is_logged_and_ignored() {
    let folder = TempFolder::new("faulty");
    let keep = folder.file("version");
    let faulty =
        PersistedVersion { version: ConfigVersion::new(7, r#"{"Limits":{}}"#), confirmed_at_unix_ms: None };
    faulty.store(&keep).expect("written");
    let (startup, control) = started_from(&folder, keep, vec![]);
    assert_eq!(startup.settings_json, settings(0));
    let line = control.startup_error.expect("a line of the log").to_string();
    assert!(line.starts_with("persisted version 7: key `settings`: expected "), "{line}");
}

#[rstest]
fn a_version_that_the_disk_refuses_is_persisted_as_soon_as_the_disk_takes_it() {
    run_local(async {
        let folder = std::env::temp_dir().join(format!("alderway-kept-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let path = folder.join("version");
        let writer = VersionWriter::spawn(path.clone(), Clock::default());
        // There is no such folder yet, so nothing can be written.
        let version = ConfigVersion::new(7, "{}");
        writer.persist(version.clone(), None);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(PersistedVersion::load(&path).expect("readable"), None);
        std::fs::create_dir_all(&folder).expect("a folder");
        while PersistedVersion::load(&path).ok().flatten().is_none() {
            sleep(Duration::from_millis(20)).await;
        }
        let persisted = PersistedVersion::load(&path).expect("sound").expect("persisted");
        assert_eq!(persisted.version, version);
        let _ = std::fs::remove_dir_all(&folder);
    });
}
