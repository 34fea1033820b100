//! How much load the router sends to a data node that is warming up.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn all_routers_together_keep_a_warming_node_below_its_limit() {
    let mut host = Host::with(|d| d.node_count = 1);
    host.answer_queries(0, 20, 0.2);
    host.update_endpoint("n0", 0, NodeState::Serving, Some(host.now));
    let (start, from) = (host.now, host.decisions.len());
    for n in 100..130 {
        let sent = host.query(n, &[0]);
        if !attempts(&sent).is_empty() {
            host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.01);
        }
        host.wait(0.05);
    }
    let sent = attempts(&host.decisions[from..]).len() as f64;
    let bound = 2.5 * 0.2 * (host.now - start);
    assert!(sent >= 1.0, "a warming node gets some load");
    // An answer takes 0.2 s without load, of which 0.15 s counts as work.
    assert!(sent * 0.15 * 2.0 <= bound, "{sent} requests of 0.15 s by each of two routers exceed {bound} s");
}

#[rstest]
fn a_warming_node_gets_single_requests_if_quotas_are_less_than_one() {
    let mut host = Host::with(|d| (d.node_count, d.router_count) = (1, 100));
    host.answer_queries(0, 20, 0.2);
    host.update_endpoint("n0", 0, NodeState::Serving, Some(host.now));
    let from = host.decisions.len();
    for n in 100..400 {
        if !attempts(&host.query(n, &[0])).is_empty() {
            host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.01);
        }
        host.wait(0.05);
        host.round(|r| r.client_disconnected(&format!("q{n}")));
    }
    let sent = attempts(&host.decisions[from..]).len();
    assert!(
        (1..=4).contains(&sent),
        "{sent} requests of 0.2 s in 15 s; the quota is a hundredth of 0.5 to 2.5 s of work per second"
    );
}

#[rstest]
fn a_new_node_gets_one_request_at_first_and_more_after_its_answers() {
    let mut host = Host::with(|d| {
        (d.node_count, d.slow_start) = (
            1,
            Some(SlowStartConfig {
                initial_fraction: 0.9,
                warm_up_s: 60.0,
                capacity_multiple: 99.0,
                window_s: 1.5,
            }),
        )
    });
    host.update_endpoint("n0", 0, NodeState::Serving, Some(host.now));
    assert_eq!(attempts(&host.query(0, &[0, 1, 2])).len(), 1);
    let next = host.attempt_ended("p0.0", 0, "n0", AttemptOutcome::Success, 0.05);
    assert_eq!(attempts(&next).len(), 2, "its concurrency limit has risen to two");
}

#[rstest]
fn the_work_of_a_class_without_samples_is_estimated_from_other_classes() {
    let mut host =
        Host::with(|d| (d.node_count, d.router_count, d.other_classes) = (1, 100, vec![d.class.clone()]));
    host.answer_queries(0, 20, 0.02);
    host.update_endpoint("n0", 0, NodeState::Serving, Some(host.now));
    let from = host.decisions.len();
    for n in 100..400 {
        let not_after = host.now + 6.0;
        host.round(|r| {
            r.query_arrived(n, &format!("q{n}"), 1, "", not_after);
            r.shard_request_added(n, &format!("p{n}.0"), 0, 1.0);
        });
        host.wait(0.05);
        if host.count(&format!("attempt p{n}.0 ")) > 0 {
            host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.01);
        }
        host.round(|r| r.client_disconnected(&format!("q{n}")));
    }
    let sent = attempts(&host.decisions[from..]).len();
    assert!((4..=12).contains(&sent), "{sent} requests; the quota is 0.5 to 2.5 s of work per 100 s");
}

/// Guards against an overload of a node that is warming up: queries that were abandoned within milliseconds
/// counted as requests with a short processing time, so that the router sent the node one every few
/// milliseconds.
#[rstest]
fn queries_abandoned_at_once_do_not_lower_the_estimated_work_for_a_warming_node() {
    let mut host = Host::with(|d| {
        (d.router_count, d.placement.replica_groups, d.placement.groups_per_shard, d.node_count) =
            (20, 2, 1, 2)
    });
    host.answer_queries(0, 20, 0.2);
    for n in 20..120 {
        host.query(n, &[0, 1]);
        host.wait(0.01);
        host.attempt_ended(&format!("p{n}.1"), 0, "n1", AttemptOutcome::Rejected, 0.01);
        assert_eq!(host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Cancelled, 0.01).len(), 0);
    }
    for n in 120..140 {
        let decisions = host.query(n, &[0]);
        host.wait(0.2);
        if !attempts(&decisions).is_empty() {
            host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.2);
        }
    }
    let now = host.now;
    host.update_endpoint("n0", 0, NodeState::Removed, None);
    host.update_endpoint("n0", 0, NodeState::Serving, Some(now));
    let from = host.decisions.len();
    for n in 140..240 {
        let decisions = host.query(n, &[0]);
        host.wait(0.05);
        if !attempts(&decisions).is_empty() {
            host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.05);
        }
    }
    let sent = host.decisions[from..].iter().filter(|note| note.starts_with("attempt")).count();
    // All twenty routers together may send 2.5 times the capacity, which is a fifth of a core. A single
    // router may therefore send one request with 0.2 s of work every 8 s.
    assert!(sent <= 1, "{sent} requests in five seconds");
}
