//! Tests of a router's subscription to control servers over sockets. The tests commit versions of the
//! settings on the control servers and wait for counters of the router.
use alderway_control_plane::messages::{ApplyOutcome, RouterMessage};
use alderway_control_plane::publisher;
use alderway_control_plane::subscriber::{ConfigVersion, ControlEndpoint, SubscriptionConfig};
use alderway_control_plane::version::{Version, VersionNumber};
use alderway_control_plane::version_sink::VersionSink;
use alderway_control_server::subscriptions::Subscriptions;
use alderway_router::control::persisted_version::{PersistedVersion, VersionWriter};
use alderway_router::control::settings::startup_config;
use alderway_router::control::{ApplyCallback, Subscription, start};
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

fn run_local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(3 * TIMEOUT, test).await.expect("within the timeout");
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

/// A control server that always reports that it can reach a majority of the control servers. The server stops
/// when the value is dropped.
struct TestControlServer {
    subscriptions: Subscriptions,
    ticks: JoinHandle<()>,
}

impl Drop for TestControlServer {
    fn drop(&mut self) {
        self.ticks.abort();
        self.subscriptions.stop();
    }
}

impl TestControlServer {
    async fn at(name: &str, address: SocketAddr, latest: VersionNumber) -> TestControlServer {
        let listening = Subscriptions::listen(name, 1, address, publisher::PublisherConfig::default());
        let mut subscriptions = listening.await.expect("a listener");
        subscriptions.freshness(0.0, true);
        (1..=latest).for_each(|n| subscriptions.committed(&version(n, settings(n))));
        let mut ticking = subscriptions.clone();
        let ticks = spawn_local(async move {
            let mut ticks = interval(Duration::from_millis(100));
            loop {
                ticks.tick().await;
                ticking.freshness(0.0, true);
            }
        });
        TestControlServer { subscriptions, ticks }
    }

    async fn new(name: &str, latest: VersionNumber) -> TestControlServer {
        TestControlServer::at(name, ([127, 0, 0, 1], 0).into(), latest).await
    }

    fn commit(&mut self, number: VersionNumber) {
        self.subscriptions.committed(&version(number, settings(number)));
    }
}

struct Router {
    shared: Arc<SharedState>,
    /// The number and settings of each version that the subscription passed to the apply callback.
    offered: Rc<RefCell<Vec<(VersionNumber, Value)>>>,
}

fn endpoint(name: &str, zone: &str) -> ControlEndpoint {
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
    /// Creates a router whose apply callback accepts every version except those in `rejected`.
    fn new(
        control_servers: Vec<(ControlEndpoint, SocketAddr)>,
        persist_path: Option<PathBuf>,
        rejected: &[VersionNumber],
    ) -> Router {
        let (offered, rejected) = (Rc::new(RefCell::new(vec![])), rejected.to_vec());
        let received = offered.clone();
        let apply: ApplyCallback = Box::new(move |settings, number| {
            received.borrow_mut().push((number, settings));
            let is_rejected = rejected.contains(&number);
            Box::pin(async move {
                if is_rejected {
                    ApplyOutcome::Rejected("key `x`: expected y".into())
                } else {
                    ApplyOutcome::Applied
                }
            })
        });
        let persisted = persist_path.as_deref().and_then(|path| PersistedVersion::load(path).ok().flatten());
        let subscription = Subscription {
            control_servers,
            zone: "z1".into(),
            config: fast_config(),
            persist_path,
            persisted,
            startup_error: None,
        };
        Router { shared: Router::start_subscription(subscription, apply), offered }
    }

    fn start_subscription(subscription: Subscription, apply: ApplyCallback) -> Arc<SharedState> {
        let multicore =
            MulticoreConfig { cores: 1, max_connections_per_node: None, shares_observations: false };
        let shared = SharedState::new(100, multicore, f64::INFINITY).0;
        start(subscription, "r", 5, apply, shared.clone(), Clock::default());
        shared
    }

    async fn wait_until(&self, condition: impl Fn(&MetricsSnapshot) -> bool) {
        let mut metrics = self.shared.control_metrics.subscribe();
        let result = timeout(TIMEOUT, metrics.wait_for(|metrics| condition(metrics))).await;
        let now = self.shared.control_metrics.borrow().text();
        assert!(matches!(result, Ok(Ok(_))), "timed out; the metrics are:\n{now}");
    }
}

fn metric(metrics: &MetricsSnapshot, name: &str) -> Option<u64> {
    let text = metrics.text();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok())
}

fn metric_is(name: &'static str, expected: u64) -> impl Fn(&MetricsSnapshot) -> bool {
    move |metrics| metric(metrics, name) == Some(expected)
}

fn metric_is_positive(name: &'static str) -> impl Fn(&MetricsSnapshot) -> bool {
    move |metrics| metric(metrics, name).is_some_and(|value| value > 0)
}

/// A temporary folder, which is deleted when the value is dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        // Tests of one process run concurrently, so each folder has a number.
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = format!("alderway-{}-{number}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(folder);
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

/// Waits until `condition` returns true; the timeout of `run_local` applies.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(2)).await;
    }
}

fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

/// Returns an apply callback of a router that can only change its settings with a restart: the outcome for
/// valid settings that differ from `current` is [`ApplyOutcome::PendingRestart`].
fn apply_with_restart(current: Value) -> ApplyCallback {
    Box::new(move |settings, _| {
        let outcome = match alderway_deployment::policy(0, &settings) {
            Err(error) => ApplyOutcome::Rejected(format!("key `settings`: expected {error}")),
            Ok(_) if settings == current => ApplyOutcome::Applied,
            Ok(_) => ApplyOutcome::PendingRestart(vec!["settings".into()]),
        };
        Box::pin(async move { outcome })
    })
}

#[rstest]
fn versions_are_applied_from_a_snapshot_then_patches_and_reported_back() {
    run_local(async {
        let mut control_server = TestControlServer::new("c1", 1).await;
        let at = control_server.subscriptions.address();
        let router = Router::new(vec![(endpoint("c1", "z1"), at)], None, &[3]);
        router.wait_until(metric_is("control_version", 1)).await;
        control_server.commit(2);
        router.wait_until(metric_is("control_version", 2)).await;
        control_server.commit(3);
        router.wait_until(metric_is("control_versions_refused", 1)).await;
        // Waits until the router's report that it rejected version 3 has arrived at the control server.
        wait_until(|| {
            control_server.subscriptions.summary().lagging.iter().any(|l| l.reason.contains("key `x`"))
        })
        .await;
        let summary = control_server.subscriptions.summary();
        assert_eq!((summary.by_version.get(&2), summary.lagging.len()), (Some(&1), 1));
        assert_eq!(summary.lagging[0].reason, "rejected 3: key `x`: expected y");
        control_server.commit(4);
        router.wait_until(metric_is("control_version", 4)).await;
        let offered = router.offered.borrow().clone();
        let expected: Vec<(VersionNumber, Value)> = (1..5).map(|n| (n, settings(n))).collect();
        assert_eq!(offered, expected);
        router.wait_until(|f| metric_is("control_wholes", 1)(f) && metric_is("control_deltas", 3)(f)).await;
        router.wait_until(metric_is_positive("control_version_age_ms")).await;
        assert!(metric(&router.shared.control_metrics.borrow(), "control_version_age_ms") < Some(1500));
    });
}

#[rstest]
fn a_router_fails_over_when_its_control_server_is_lost() {
    run_local(async {
        let (first, mut second) =
            (TestControlServer::new("c1", 1).await, TestControlServer::new("c2", 1).await);
        let at = (first.subscriptions.address(), second.subscriptions.address());
        let router = Router::new(vec![(endpoint("c1", "z1"), at.0), (endpoint("c2", "z2"), at.1)], None, &[]);
        router.wait_until(metric_is("control_version", 1)).await;
        assert_eq!((first.subscriptions.link_count(), second.subscriptions.link_count()), (1, 0));
        drop(first);
        router
            .wait_until(|f| {
                metric_is("control_connections_lost", 1)(f) && metric_is("control_connected", 1)(f)
            })
            .await;
        assert_eq!(second.subscriptions.link_count(), 1);
        second.commit(2);
        router.wait_until(metric_is("control_version", 2)).await;
    });
}

#[rstest]
#[case::sends_nothing(false)]
#[case::sends_garbage(true)]
fn a_server_of_another_protocol_is_left_for_a_control_server(#[case] sends_garbage: bool) {
    run_local(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let at = listener.local_addr().expect("its address");
        let other_server = spawn_local(async move {
            let mut streams = vec![];
            while let Ok((mut stream, _)) = listener.accept().await {
                if sends_garbage {
                    let _ = stream.write_all(&[7; 100]).await;
                }
                streams.push(stream);
            }
        });
        let second = TestControlServer::new("c2", 1).await;
        let list = vec![(endpoint("c1", "z1"), at), (endpoint("c2", "z2"), second.subscriptions.address())];
        let router = Router::new(list, None, &[]);
        router.wait_until(metric_is("control_version", 1)).await;
        other_server.abort();
    });
}

#[rstest]
fn a_half_open_connection_is_closed_when_its_router_connects_again() {
    run_local(async {
        let control_server = TestControlServer::new("c1", 1).await;
        let dial = async |incarnation| {
            let at = control_server.subscriptions.address();
            let mut stream = TcpStream::connect(at).await.expect("a connection");
            let mut hello = vec![];
            let greeting =
                Hello { version: RouterMessage::VERSION, is_planner: false, incarnation, name: "r".into() };
            encode_hello::<RouterMessage>(&mut hello, &greeting);
            stream.write_all(&hello).await.expect("written");
            stream
        };
        let mut earlier = dial(1).await;
        wait_until(|| control_server.subscriptions.link_count() == 1).await;
        let later = dial(2).await;
        // The control server sends its hello and then closes the connection.
        let mut read = vec![];
        earlier.read_to_end(&mut read).await.expect("the connection is closed");
        assert_eq!(control_server.subscriptions.link_count(), 1);
        drop(later);
        wait_until(|| control_server.subscriptions.link_count() == 0).await;
    });
}

#[rstest]
fn a_stale_control_server_is_left_and_its_older_version_is_not_applied() {
    run_local(async {
        let (stale, current) = (TestControlServer::new("c1", 1).await, TestControlServer::new("c2", 3).await);
        let list = vec![
            (endpoint("c1", "z2"), stale.subscriptions.address()),
            (endpoint("c2", "z1"), current.subscriptions.address()),
        ];
        let router = Router::new(list, None, &[]);
        router.wait_until(metric_is("control_version", 3)).await;
        let at = current.subscriptions.address();
        drop(current);
        router.wait_until(metric_is_positive("control_machines_behind")).await;
        assert_eq!(metric(&router.shared.control_metrics.borrow(), "control_version"), Some(3));
        let mut back = TestControlServer::at("c2", at, 3).await;
        back.commit(4);
        router.wait_until(metric_is("control_version", 4)).await;
        assert_eq!(router.offered.borrow().iter().map(|o| o.0).collect::<Vec<_>>(), [3, 4]);
        drop(stale);
    });
}

#[rstest]
fn without_control_servers_a_router_starts_with_its_persisted_version_and_catches_up_later() {
    let folder = TempFolder::new("gone");
    let persist_path = folder.file("version");
    let config = write_config(&folder);
    run_local(async {
        let mut control_server = TestControlServer::new("c1", 1).await;
        let router = Router::new(
            vec![(endpoint("c1", "z1"), control_server.subscriptions.address())],
            Some(persist_path.clone()),
            &[],
        );
        router.wait_until(metric_is("control_version", 1)).await;
        control_server.commit(2);
        router.wait_until(metric_is("control_version", 2)).await;
        wait_until(|| {
            PersistedVersion::load(&persist_path)
                .ok()
                .flatten()
                .is_some_and(|persisted| persisted.version.number == 2)
        })
        .await;
    });
    let at = unused_address();
    let subscription = || Subscription {
        control_servers: vec![(endpoint("c1", "z1"), at)],
        zone: "z1".into(),
        config: fast_config(),
        persist_path: Some(persist_path.clone()),
        persisted: None,
        startup_error: None,
    };
    let (startup, control) =
        startup_config(subscription(), &config, Clock::default(), None).expect("a startup configuration");
    assert_eq!(startup.settings_json, settings(2));
    assert_eq!(control.persisted.as_ref().map(|persisted| persisted.version.number), Some(2));
    run_local(async {
        let router = Router {
            shared: Router::start_subscription(control, apply_with_restart(settings(2))),
            offered: Rc::default(),
        };
        router.wait_until(metric_is_positive("control_dials")).await;
        assert_eq!(metric(&router.shared.control_metrics.borrow(), "control_version"), Some(2));
        // This router needs a restart to apply the new version, and persists the version for the next start.
        let control_server = TestControlServer::at("c1", at, 3).await;
        router.wait_until(metric_is("control_versions_waiting", 1)).await;
        wait_until(|| {
            PersistedVersion::load(&persist_path)
                .ok()
                .flatten()
                .is_some_and(|persisted| persisted.version.number == 3)
        })
        .await;
        wait_until(|| {
            control_server
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

/// Writes a configuration file with the settings of version 0; returns the path.
fn write_config(folder: &TempFolder) -> PathBuf {
    let config = folder.file("config");
    let start = r#"{"name": "r", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": "#;
    std::fs::write(&config, format!("{start}{}}}", settings(0))).expect("written");
    config
}

/// Returns the startup configuration of a router with the file of [`write_config`] and the persisted version
/// in `persist_path`.
fn startup_from(
    folder: &TempFolder,
    persist_path: PathBuf,
    control_servers: Vec<(ControlEndpoint, SocketAddr)>,
) -> (StartupConfig, Subscription) {
    let (zone, persist_path) = (String::new(), Some(persist_path));
    let subscription = Subscription {
        control_servers,
        zone,
        config: fast_config(),
        persist_path,
        persisted: None,
        startup_error: None,
    };
    startup_config(subscription, &write_config(folder), Clock::default(), None)
        .expect("a startup configuration")
}

#[rstest]
#[case::cut_short(|text: &str| text[..text.len() - 9].to_string(), "torn or not of this program")]
#[case::a_byte_changed(|text: &str| text.replace("site-search", "site-saerch"), "torn or not of this program")]
#[case::empty(|_: &str| String::new(), "torn or not of this program")]
#[case::too_long(|_: &str| "x".repeat(100_000), "the file is longer than any version can be")]
fn a_damaged_persisted_version_is_logged_and_ignored(
    #[case] damage: fn(&str) -> String,
    #[case] error: &str,
) {
    let folder = TempFolder::new("damaged");
    let persist_path = folder.file("version");
    let original = PersistedVersion {
        version: ConfigVersion::new(7, &settings(7).to_string()),
        confirmed_at_unix_ms: Some(1_700_000_000_000),
    };
    original.store(&persist_path).expect("written");
    assert_eq!(PersistedVersion::load(&persist_path).expect("readable"), Some(original));
    let text = std::fs::read_to_string(&persist_path).expect("the file exists");
    std::fs::write(&persist_path, damage(&text)).expect("written");
    let (startup, control) =
        startup_from(&folder, persist_path, vec![(endpoint("c1", "z1"), unused_address())]);
    assert_eq!(startup.settings_json, settings(0));
    assert!(control.persisted.is_none());
    let line = control.startup_error.expect("an error").to_string();
    assert!(line.ends_with(&format!("{error}; ignored")), "{line}");
}

#[rstest]
fn a_persisted_version_with_invalid_settings_is_logged_and_ignored() {
    let folder = TempFolder::new("invalid");
    let persist_path = folder.file("version");
    let invalid =
        PersistedVersion { version: ConfigVersion::new(7, r#"{"Limits":{}}"#), confirmed_at_unix_ms: None };
    invalid.store(&persist_path).expect("written");
    let (startup, control) = startup_from(&folder, persist_path, vec![]);
    assert_eq!(startup.settings_json, settings(0));
    let line = control.startup_error.expect("an error").to_string();
    assert!(line.starts_with("persisted version 7: configuration key `settings`: expected "), "{line}");
}

#[rstest]
fn a_version_that_could_not_be_written_is_written_once_the_disk_allows_it() {
    run_local(async {
        let folder = std::env::temp_dir().join(format!("alderway-kept-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let path = folder.join("version");
        let writer = VersionWriter::spawn(path.clone(), Clock::default());
        // The folder does not exist yet, so writing fails.
        let version = ConfigVersion::new(7, "{}");
        writer.persist(version.clone(), None);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(PersistedVersion::load(&path).expect("readable"), None);
        std::fs::create_dir_all(&folder).expect("a folder");
        while PersistedVersion::load(&path).ok().flatten().is_none() {
            sleep(Duration::from_millis(20)).await;
        }
        let persisted = PersistedVersion::load(&path).expect("readable").expect("persisted");
        assert_eq!(persisted.version, version);
        let _ = std::fs::remove_dir_all(&folder);
    });
}
