//! Which versions a router accepts, and what becomes of those that it cannot apply.
mod common;

use alderway_control_plane::content::{self, VersionContent};
use alderway_control_plane::messages::{ControlMessage, RouterMessage};
use alderway_control_plane::publisher::{CacheError, Publisher, PublisherConfig};
use alderway_control_plane::subscriber::{
    Command, ConfigVersion, ControlEndpoint, Event, Subscriber, SubscriptionConfig,
};
use alderway_control_plane::version::VersionNumber;
use alderway_transport::{FrameReader, Received};
use common::subscription_network::{SubscriptionNetwork, settings, version};
use common::traffic::hello_frame;
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeMap;

/// A subscriber that is connected and has sent its first messages.
fn connected_subscriber(persisted: Option<ConfigVersion>) -> Subscriber {
    let endpoints = vec![ControlEndpoint { name: "c0".into(), zone: "z".into() }; 2];
    let persisted = persisted.map(|version| (version, None));
    let mut subscriber = Subscriber::new(SubscriptionConfig::default(), endpoints, "z", persisted, 1, 0.0);
    subscriber.tick(1.0);
    assert!(matches!(subscriber.next_command(), Some(Command::Connect(_))));
    subscriber.connection_opened(1.0);
    while subscriber.next_message(1.0).is_some() {}
    while subscriber.next_command().is_some() {}
    subscriber
}

/// The message in a frame.
fn decode(bytes: &[u8]) -> RouterMessage {
    let mut reader = FrameReader::<RouterMessage>::default();
    reader.feed(&hello_frame::<RouterMessage>("r", 1));
    reader.feed(bytes);
    assert!(matches!(reader.next_frame(), Ok(Some(Received::Hello(_)))));
    match reader.next_frame() {
        Ok(Some(Received::Message(message))) => message,
        other => panic!("{other:?}"),
    }
}

#[rstest]
fn a_rejected_version_is_reported_and_the_next_one_is_offered() {
    let mut network = SubscriptionNetwork::new(2, 1, 8);
    network.routers[0].rejects.insert(2);
    network.routers[1].needs_restart.insert(2, vec!["Extra.Cells".into()]);
    network.commit(settings(1, 100));
    network.run_until(3.0, SubscriptionNetwork::all_current);
    network.commit(settings(2, 100));
    network.run_for(3.0);
    assert_eq!((network.active(0), network.active(1)), (1, 1));
    // A version that needs a restart is persisted for the next start; a rejected one is not.
    let persisted = |n: usize| network.routers[n].disk.as_ref().map(|disk| disk.number);
    assert_eq!((persisted(0), persisted(1)), (Some(1), Some(2)));
    let summary = network.servers[0].publisher.summary(network.server_clock(0));
    assert_eq!(summary.by_version, BTreeMap::from([(1, 2)]));
    let lagging: Vec<(&str, VersionNumber, &str)> = summary
        .lagging
        .iter()
        .map(|lagging| (lagging.router.as_str(), lagging.version, lagging.reason.as_str()))
        .collect();
    let rejected = ("r000", 1, "rejected 2: key `Limits` of 2");
    assert_eq!(lagging, [rejected, ("r001", 1, "2 needs a restart: Extra.Cells")]);
    assert!(
        summary.lagging.iter().all(|lagging| (2.5..3.1).contains(&lagging.since_s)),
        "{:?}",
        summary.lagging
    );
    // A control server that starts anew is told of both again.
    network.restart_server(0, 2);
    network.run_for(6.0);
    let after_restart = network.servers[0].publisher.summary(network.server_clock(0));
    let reasons: Vec<&str> = after_restart.lagging.iter().map(|lagging| lagging.reason.as_str()).collect();
    assert_eq!(reasons.len(), 2, "{after_restart:?}");
    assert!(
        reasons.contains(&rejected.2) && reasons.contains(&"2 needs a restart: Extra.Cells"),
        "{reasons:?}"
    );
    // The next one is a patch on the received version, not on the active one.
    network.commit(settings(3, 100));
    network.run_until(1.0, SubscriptionNetwork::all_current);
    assert_eq!(network.routers[0].subscriber.metrics.digest_mismatches, 0);
    // The restart is with the version that needed it.
    network.routers[1].needs_restart.insert(4, vec!["Extra.Cells".into()]);
    network.commit(settings(4, 100));
    network.run_for(1.0);
    assert_eq!((network.active(0), network.active(1)), (4, 3));
    network.crash_router(1);
    assert_eq!(network.active(1), 4);
}

#[rstest]
fn a_patch_with_a_digest_mismatch_is_refused_and_complete_settings_are_requested() {
    let version = ConfigVersion::new(4, r#"{"a":1}"#);
    let mut router = connected_subscriber(Some(version));
    let patch = r#"[{"op":"replace","path":"/a","value":2}]"#.to_string();
    let content =
        VersionContent { number: 5, base: 4, digest: content::digest(r#"{"a":3}"#), text: patch.clone() };
    router.receive(ControlMessage::content_part(&content, 0), 1.1);
    assert_eq!(router.versions().received().number, 4);
    assert!(matches!(router.next_command(), Some(Command::Log(Event::DigestMismatch { number: 5, .. }))));
    let frame = router.next_message(2.2).expect("subscribes again");
    assert!(matches!(
        decode(&frame),
        RouterMessage::Subscribe { received: 4, active: 4, needs_snapshot: true, .. }
    ));
    // A patch on a version that the router does not have.
    let content = VersionContent { number: 6, base: 5, digest: content::digest(r#"{"a":2}"#), text: patch };
    router.receive(ControlMessage::content_part(&content, 0), 2.3);
    assert_eq!(router.versions().received().number, 4);
    // Complete settings are accepted. After unusable ones the control server is left.
    let complete = r#"{"a":3}"#.to_string();
    let content = VersionContent { number: 5, base: 0, digest: content::digest(&complete), text: complete };
    router.receive(ControlMessage::content_part(&content, 0), 2.4);
    assert_eq!(router.versions().received().number, 5);
    let content = VersionContent { number: 6, base: 0, digest: 7, text: "{}".into() };
    router.receive(ControlMessage::content_part(&content, 0), 2.5);
    assert_eq!((router.versions().received().number, router.connected_to()), (5, None));
}

#[rstest]
fn one_number_never_has_two_contents() {
    let mut publisher = Publisher::new(PublisherConfig::default(), 0.0);
    assert_eq!(publisher.commit(&version(1, json!({"a": 1})), 0.0), Ok(true));
    assert_eq!(publisher.commit(&version(1, json!({"a": 1})), 0.0), Ok(false));
    assert_eq!(publisher.commit(&version(1, json!({"a": 2})), 0.0), Err(CacheError::Conflict { number: 1 }));
    // A router with other settings keeps them, and both ends say so.
    let mut router = connected_subscriber(Some(ConfigVersion::new(1, r#"{"a":2}"#)));
    let link = publisher.open_link("r", 1, 0.0).expect("room");
    let (received, digest) = (1, content::digest(r#"{"a":2}"#));
    publisher.receive(
        link,
        RouterMessage::Subscribe { received, digest, active: 1, needs_snapshot: false },
        0.0,
    );
    assert_eq!((publisher.next_message(0.0), publisher.metrics.conflicts), (None, 1));
    let content = VersionContent {
        number: 1,
        base: 0,
        digest: content::digest(r#"{"a":1}"#),
        text: r#"{"a":1}"#.into(),
    };
    router.receive(ControlMessage::content_part(&content, 0), 1.1);
    assert_eq!(&*router.versions().received().text, r#"{"a":2}"#);
    assert!(matches!(router.next_command(), Some(Command::Log(Event::Conflict { number: 1, .. }))));
    // The next version is sent to it complete.
    assert_eq!(publisher.commit(&version(2, json!({"a": 1, "b": 1})), 1.0), Ok(true));
    assert!(publisher.next_message(2.0).is_some());
    assert_eq!((publisher.metrics.snapshots, publisher.metrics.patches), (1, 0));
}
