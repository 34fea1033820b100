//! Which links a publisher accepts, and the order of its messages.
mod common;

use alderway_control_plane::messages::RouterMessage;
use alderway_control_plane::publisher::{LinkError, Publisher, PublisherConfig};
use common::subscription_network::{random_settings, version};
use rstest::rstest;

#[rstest]
fn a_stale_incarnation_and_a_router_beyond_the_limit_are_refused() {
    let mut publisher = Publisher::new(PublisherConfig { max_links: 2, ..PublisherConfig::default() }, 0.0);
    let first = publisher.open_link("r", 2, 0.0).expect("room");
    assert_eq!(
        publisher.open_link("r", 1, 0.0),
        Err(LinkError::StaleIncarnation { router: "r".into(), incarnation: 1 })
    );
    let later = publisher.open_link("r", 3, 0.0).expect("in the place of the first");
    assert!(!publisher.has_link(first) && publisher.has_link(later));
    assert!(publisher.open_link("s", 1, 0.0).is_ok());
    assert_eq!(publisher.open_link("t", 1, 0.0), Err(LinkError::TooManyLinks { limit: 2 }));
    assert_eq!(publisher.open_link("", 1, 0.0), Err(LinkError::InvalidName));
    let silent = publisher.tick(11.0);
    assert_eq!((silent.len(), publisher.link_count()), (2, 0));
}

#[rstest]
fn versions_precede_heartbeats_and_links_take_turns() {
    let mut publisher = Publisher::new(PublisherConfig::default(), 0.0);
    publisher.commit(&version(1, random_settings(1, 2_000)), 0.0).expect("a version");
    let links: Vec<u64> =
        (0..3).map(|n| publisher.open_link(&format!("r{n}"), 1, 0.0).expect("room")).collect();
    for link in &links {
        publisher.receive(*link, RouterMessage::HeartbeatRequest { sequence: 1 }, 0.0);
        publisher.receive(
            *link,
            RouterMessage::Subscribe { received: 0, digest: 0, active: 0, needs_snapshot: false },
            0.0,
        );
    }
    // A connection begins without tokens: with a burst each, reconnecting would exceed the limit.
    assert_eq!(publisher.next_message(0.0), None);
    assert!(publisher.next_deadline() > 0.0, "{}", publisher.next_deadline());
    let mut order = vec![];
    while let Some((link, bytes)) = publisher.next_message(1.0) {
        order.push((link, bytes.len() > 100));
        publisher.message_sent(link);
    }
    let expected: Vec<(u64, bool)> =
        links.iter().map(|l| (*l, true)).chain(links.iter().map(|l| (*l, false))).collect();
    assert_eq!(order, expected, "a part to each, then a heartbeat with the tokens that are left");
    assert!(publisher.next_deadline() > 1.0);
}
