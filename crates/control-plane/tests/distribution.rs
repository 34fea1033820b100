//! How versions reach the routers: patches and complete settings, rate limits, many routers.
mod common;

use alderway_control_plane::content::{self, MAX_SETTINGS_BYTES};
use alderway_control_plane::publisher::{CACHED_VERSIONS, CacheError};
use alderway_control_plane::subscriber::Event;
use common::subscription_network::{
    CONVERGENCE_LIMIT_S, SubscriptionNetwork, random_settings, settings, version,
};
use rstest::rstest;
use std::collections::BTreeMap;

#[rstest]
fn a_committed_version_becomes_active_at_all_routers_and_in_the_summary() {
    let mut network = SubscriptionNetwork::new(10, 2, 1);
    network.commit(settings(1, 400));
    let first = network.run_until(4.0, SubscriptionNetwork::all_current);
    network.commit(settings(2, 400));
    let second = network.run_until(1.0, SubscriptionNetwork::all_current);
    assert!(first < 2.0 && second < 0.3, "{first} {second}");
    network.run_for(1.0);
    let mut all = network.servers[0].publisher.summary(network.server_clock(0));
    all.merge(&network.servers[1].publisher.summary(network.server_clock(1)));
    assert_eq!(all.by_version, BTreeMap::from([(2, 10)]));
    assert_eq!((all.lagging.len(), all.omitted), (0, 0));
    // Each is connected in its own zone.
    (0..10).for_each(|n| assert_eq!(network.connected_to(n), Some(format!("c{}", n % 2))));
    network.assert_rate_limits();
}

#[rstest]
fn a_small_change_is_sent_as_a_patch_and_beyond_the_cache_complete() {
    let mut network = SubscriptionNetwork::new(1, 1, 2);
    network.commit(settings(1, 8_000));
    network.run_until(6.0, SubscriptionNetwork::all_current);
    let complete = network.routers[0].received.total_bytes;
    network.commit(settings(2, 8_000));
    network.run_until(1.0, SubscriptionNetwork::all_current);
    let patch = network.routers[0].received.total_bytes - complete;
    assert!(complete > 8_000 && patch < 400, "{complete} {patch}");
    assert_eq!(
        (network.routers[0].subscriber.metrics.snapshots, network.routers[0].subscriber.metrics.patches),
        (1, 1)
    );
    // Behind by fewer versions than are cached: one patch for all of them.
    network.stop_server(0);
    (0..CACHED_VERSIONS as u64 - 1).for_each(|n| network.commit(settings(3 + n, 8_000)));
    network.restart_server(0, network.latest());
    network.run_until(8.0, SubscriptionNetwork::all_current);
    assert_eq!(
        (network.routers[0].subscriber.metrics.snapshots, network.routers[0].subscriber.metrics.patches),
        (1, 2)
    );
    // And by more: complete settings.
    network.stop_server(0);
    (0..CACHED_VERSIONS as u64).for_each(|n| network.commit(settings(100 + n, 8_000)));
    network.restart_server(0, network.latest());
    network.run_until(10.0, SubscriptionNetwork::all_current);
    assert_eq!(
        (network.routers[0].subscriber.metrics.snapshots, network.routers[0].subscriber.metrics.patches),
        (2, 2)
    );
    network.assert_rate_limits();
}

#[rstest]
fn the_longest_settings_are_sent_in_parts_within_the_rate_limit() {
    let mut network = SubscriptionNetwork::new(2, 1, 3);
    network.run_for(2.0);
    let longest = random_settings(1, MAX_SETTINGS_BYTES - 32);
    assert!(content::canonical_json(&longest).len() > MAX_SETTINGS_BYTES - 32);
    network.commit(longest);
    let duration_s = network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
    network.assert_rate_limits();
    // Heartbeats were answered in between; no connection timed out.
    assert!(
        !network.has_logged(0, |event| matches!(event, Event::ConnectionTimedOut { .. })),
        "{duration_s}"
    );
    // Longer ones are not distributed.
    let at = network.server_clock(0);
    let long = network.servers[0].publisher.commit(&version(2, random_settings(2, MAX_SETTINGS_BYTES)), at);
    assert!(
        matches!(long, Err(CacheError::TooLarge { number: 2, bytes }) if bytes > MAX_SETTINGS_BYTES),
        "{long:?}"
    );
    assert_eq!(network.servers[0].publisher.latest(), 1);
}

#[rstest]
fn frequent_changes_starve_no_router_and_skip_versions() {
    let mut network = SubscriptionNetwork::new(4, 1, 4);
    network.run_for(2.0);
    for n in 0..60 {
        network.commit(random_settings(n, 3_000));
        network.run_for(0.1);
    }
    network.run_until(4.0, SubscriptionNetwork::all_current);
    let applied = network.routers[0].applied.len();
    assert!((4..30).contains(&applied), "{applied}");
    network.assert_rate_limits();
}

#[rstest]
fn an_idle_subscription_takes_few_bytes() {
    let mut network = SubscriptionNetwork::new(5, 5, 13);
    network.commit(settings(1, 6_000));
    network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
    let total = |network: &SubscriptionNetwork| {
        let bytes =
            network.routers.iter().map(|router| (router.received.total_bytes, router.sent.total_bytes));
        bytes.fold((0, 0), |sum, (received, sent)| (sum.0 + received, sum.1 + sent))
    };
    let before = total(&network);
    network.run_for(60.0);
    let after = total(&network);
    let bytes_per_s = |bytes: usize| bytes as f64 / 5.0 / 60.0;
    let (received, sent) = (bytes_per_s(after.0 - before.0), bytes_per_s(after.1 - before.1));
    println!("at rest, bytes a second and router: {received:.0} received, {sent:.0} sent");
    assert!(received < 50.0 && sent < 20.0, "{received} {sent}");
}

/// 550 routers are cut off from five control servers, and all reconnect at once.
#[rstest]
fn many_routers_that_reconnect_at_once_stay_within_the_rate_limits_and_converge() {
    let mut network = SubscriptionNetwork::new(550, 5, 11);
    network.commit(settings(1, 6_000));
    network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
    (0..5).for_each(|n| network.cut_zone(n, None));
    network.run_for(30.0);
    let received = |network: &SubscriptionNetwork| -> usize {
        network.routers.iter().map(|router| router.received.total_bytes).sum()
    };
    let before = received(&network);
    // More versions than are cached: all routers need complete settings.
    (0..CACHED_VERSIONS as u64 + 1).for_each(|n| network.commit(settings(2 + n, 6_000)));
    network.cut_links.clear();
    let duration_s = network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
    network.assert_rate_limits();
    let peaks = network.routers.iter().map(|router| (router.received.peak_bytes, router.sent.peak_bytes));
    let (peak_received, peak_sent) = peaks.max().expect("550 routers");
    let peak_server =
        network.servers.iter().map(|server| server.sent.peak_bytes).max().expect("five servers");
    println!(
        "550 routers at 5 control servers: all current {duration_s:.1} s after healing, {} bytes a router, in a \
         second {peak_received} to one router, {peak_sent} from it, {peak_server} from one control server",
        (received(&network) - before) / 550,
    );
}

/// The same with four control servers stopped: one has all 550 routers.
#[rstest]
fn one_control_server_serves_all_routers() {
    let mut network = SubscriptionNetwork::new(550, 5, 12);
    (1..5).for_each(|n| network.stop_server(n));
    network.commit(settings(1, 6_000));
    let duration_s = network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
    network.assert_rate_limits();
    println!("550 routers that start at one control server: current after {duration_s:.1} s");
    network.cut_zone(0, None);
    network.run_for(20.0);
    (0..CACHED_VERSIONS as u64 + 1).for_each(|n| network.commit(settings(2 + n, 6_000)));
    network.cut_links.clear();
    let duration_s = network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
    network.assert_rate_limits();
    let peak = network.servers[0].sent.peak_bytes;
    println!("after a cut: {duration_s:.1} s, in a second {peak} bytes from the control server");
}
