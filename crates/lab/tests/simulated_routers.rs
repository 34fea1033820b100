//! Simulated routers against control machines' subscriptions that are given versions by hand.
use alderway_control_plane::publisher::PublisherConfig;
use alderway_control_plane::subscriber::ControlEndpoint;
use alderway_control_plane::version::{Version, VersionNumber};
use alderway_control_plane::version_sink::VersionSink;
use alderway_control_server::subscriptions::Subscriptions;
use alderway_lab::scale::simulated_routers::SimulatedRouters;
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{interval, sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(20);
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(100);

fn version(number: VersionNumber) -> Version {
    Version {
        number,
        proposal_id: format!("p{number}"),
        author: "a".into(),
        reason: "w".into(),
        at_unix_ms: 0,
        settings: json!({"Limits": {"MaxOpen": 100 + number}}),
    }
}

/// Subscriptions of a control machine that has a quorum and version 1.
async fn control_machine(name: &str) -> Subscriptions {
    let address = ([127, 0, 0, 1], 0).into();
    let listening = Subscriptions::listen(name, 1, address, PublisherConfig::default());
    let mut subscriptions = listening.await.expect("a listener");
    subscriptions.freshness(0.0, true);
    subscriptions.committed(&version(1));
    let mut fresh = subscriptions.clone();
    spawn_local(async move {
        let mut ticks = interval(FRESHNESS_INTERVAL);
        loop {
            ticks.tick().await;
            fresh.freshness(0.0, true);
        }
    });
    subscriptions
}

async fn until(holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, waiting).await.expect("in time");
}

fn endpoint(name: &str, zone: &str) -> ControlEndpoint {
    ControlEndpoint { name: name.into(), zone: zone.into() }
}

#[rstest]
fn simulated_routers_share_a_thread_and_apply_each_version() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (mut first, mut second) = (control_machine("c1").await, control_machine("c2").await);
        let list = [(endpoint("c1", "z1"), first.address()), (endpoint("c2", "z2"), second.address())];
        let routers = SimulatedRouters::start(60, &list, &["z1".into(), "z2".into()], 3);
        until(|| routers.count_with(1) == 60).await;
        assert_eq!((first.link_count(), second.link_count()), (30, 30));
        first.committed(&version(2));
        second.committed(&version(2));
        until(|| routers.count_with(2) == 60).await;
        let mut summary = first.summary();
        summary.merge(&second.summary());
        assert_eq!(summary.by_version.values().sum::<u64>(), 60);
        let states = routers.states();
        assert!(states.iter().all(|state| state.applied.iter().map(|applied| applied.1).eq([1, 2])));
    });
}
