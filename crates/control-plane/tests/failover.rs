//! Which control server a router follows, and what it does without one.
mod common;

use alderway_control_plane::subscriber::Event;
use common::subscription_network::{CONVERGENCE_LIMIT_S, SubscriptionNetwork, settings};
use rstest::rstest;

#[rstest]
fn a_silent_control_server_is_left_and_the_own_zone_is_returned_to() {
    let mut network = SubscriptionNetwork::new(3, 3, 5);
    network.commit(settings(1, 100));
    network.run_until(3.0, SubscriptionNetwork::all_current);
    network.cut_zone(0, None);
    let duration_s = network
        .run_until(CONVERGENCE_LIMIT_S, |network| network.connected_to(0).is_some_and(|name| name != "c0"));
    assert!(duration_s < 3.0 + 1.0 + 0.6, "{duration_s}");
    assert!(network.has_logged(
        0,
        |event| matches!(event, Event::ConnectionTimedOut { endpoint, .. } if endpoint == "c0")
    ));
    network.commit(settings(2, 100));
    network.run_until(1.0, SubscriptionNetwork::all_current);
    network.cut_links.clear();
    let duration_s = network.run_until(500.0, |network| network.connected_to(0) == Some("c0".into()));
    assert!(duration_s > 10.0, "{duration_s}");
    assert!(network.has_logged(0, |event| matches!(event, Event::ReturningToOwnZone { .. })));
    network.commit(settings(3, 100));
    network.run_until(1.0, SubscriptionNetwork::all_current);
}

#[rstest]
fn a_control_server_that_stops_is_left_at_once() {
    let mut network = SubscriptionNetwork::new(2, 2, 6);
    network.commit(settings(1, 100));
    network.run_until(3.0, SubscriptionNetwork::all_current);
    network.stop_server(0);
    let duration_s =
        network.run_until(CONVERGENCE_LIMIT_S, |network| network.connected_to(0) == Some("c1".into()));
    assert!(duration_s < 1.0, "{duration_s}");
}

#[rstest]
fn a_stale_control_server_takes_no_router_back_and_is_left() {
    let mut network = SubscriptionNetwork::new(1, 2, 7);
    network.commit(settings(1, 100));
    network.run_until(3.0, SubscriptionNetwork::all_current);
    // The own zone's server stops following; the router has a later version of the other.
    network.servers[0].follows = false;
    network.commit(settings(2, 100));
    network.commit(settings(3, 100));
    network.cut_zone(0, None);
    network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
    // Now only the stale one can be reached, and it still believes that it sees a quorum.
    network.cut_links.clear();
    network.cut_zone(1, None);
    network.run_until(CONVERGENCE_LIMIT_S, |network| network.connected_to(0) == Some("c0".into()));
    let before = network.routers[0].subscriber.confirmed_at();
    network.run_for(4.0);
    assert_eq!(
        (network.active(0), network.routers[0].applied.last().map(|(_, number)| *number)),
        (3, Some(3))
    );
    assert_eq!(network.routers[0].subscriber.confirmed_at(), before, "its heartbeats do not count");
    network.cut_links.clear();
    let duration_s =
        network.run_until(CONVERGENCE_LIMIT_S, |network| network.connected_to(0) == Some("c1".into()));
    assert!(duration_s < 5.0, "{duration_s}");
    assert!(
        network.has_logged(0, |event| matches!(event, Event::ReplicaBehind { endpoint } if endpoint == "c0"))
    );
    assert_eq!(network.active(0), 3);
}

#[rstest]
fn routers_without_a_quorum_go_on_warn_and_converge_after_healing() {
    let mut network = SubscriptionNetwork::new(10, 5, 9);
    network.commit(settings(1, 400));
    network.run_until(4.0, SubscriptionNetwork::all_current);
    // Zones 0 and 1 are cut off with their control servers; the others go on.
    let side = |zone: &str| zone == "z0" || zone == "z1";
    for (n, router) in network.routers.iter().enumerate() {
        for (m, server) in network.servers.iter().enumerate() {
            if side(&router.zone) != side(&server.zone) {
                network.cut_links.insert((n, m));
            }
        }
    }
    for n in 0..2 {
        (network.servers[n].follows, network.servers[n].has_quorum) = (false, false);
    }
    for n in 2..8 {
        network.commit(settings(n, 400));
        network.run_for(100.0);
    }
    for n in 0..10 {
        let within = side(&network.routers[n].zone);
        assert_eq!(network.active(n), if within { 1 } else { 7 });
        let has_warned = network
            .has_logged(n, |event| matches!(event, Event::Stale { number: 1, staleness_s: Some(_), .. }));
        assert_eq!(has_warned, within);
        let staleness_s = network.routers[n].subscriber.staleness_s(network.router_clock(n)).expect("stated");
        assert!(
            if within { (590.0..620.0).contains(&staleness_s) } else { staleness_s < 3.0 },
            "{n}: {staleness_s}"
        );
    }
    let some =
        network.routers[0].events.iter().filter(|(_, event)| matches!(event, Event::Stale { .. })).count();
    assert!((2..10).contains(&some), "logged ever more rarely: {some}");
    network.cut_links.clear();
    for n in 0..2 {
        network.servers[n].has_quorum = true;
        network.follow(n);
    }
    let duration_s = network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
    assert!(duration_s < CONVERGENCE_LIMIT_S, "{duration_s}");
    network.run_until(CONVERGENCE_LIMIT_S, |network| {
        (0..10).all(|n| {
            network.routers[n]
                .subscriber
                .staleness_s(network.router_clock(n))
                .is_some_and(|staleness_s| staleness_s < 3.0)
        })
    });
    network.assert_rate_limits();
}

#[rstest]
fn a_router_starts_from_its_persisted_version_and_accepts_nothing_older() {
    let mut network = SubscriptionNetwork::new(1, 1, 10);
    (1..4).for_each(|n| network.commit(settings(n, 100)));
    network.run_until(4.0, SubscriptionNetwork::all_current);
    // No control server is left; the router crashes.
    network.stop_server(0);
    network.crash_router(0);
    assert_eq!(network.active(0), 3);
    network.run_for(30.0);
    assert!(
        network.has_logged(0, |event| matches!(event, Event::Stale { number: 3, staleness_s: None, .. }))
    );
    // A control server comes back that has lost the last version.
    network.servers[0].follows = false;
    network.restart_server(0, 2);
    network.run_for(20.0);
    assert_eq!(network.active(0), 3);
    network.follow(0);
    network.commit(settings(4, 100));
    network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
}
