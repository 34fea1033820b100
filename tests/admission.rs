//! Which queries are admitted, and which are rejected to shed load.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn an_overload_rejects_at_random_and_queries_beyond_their_quota_more_often() {
    let tenants = vec![
        Tenant { name: "over".into(), quota_per_s: 0.0 },
        Tenant { name: "in".into(), quota_per_s: 1e6 },
    ];
    let mut host = Host::with(|d| (d.node_count, d.tenants, d.class.latency_objective_s) = (1, tenants, 2.0));
    host.answer_queries(1000, 16, 0.9);
    let mut rejected = [0, 0];
    for n in 0..200u64 {
        let tenant = (n % 2) as usize;
        let end = host.now + 6.0;
        host.query_until(n, &[0], end, ["in", "over"][tenant]);
        rejected[tenant] += host.count(&format!("reject q{n} "));
        if n > 12 {
            host.round(|r| r.client_disconnected(&format!("q{}", n - 12)));
        }
    }
    assert!(host.count("log load shedding on") > 0);
    assert!(0 < rejected[0] && rejected[0] < rejected[1], "{rejected:?}");
}

#[rstest]
fn queries_that_would_wait_at_their_only_holder_are_rejected_and_others_are_not() {
    let disjoint = ShardPlacement {
        replica_groups: 2,
        groups_per_shard: 1,
        max_batch: 1,
        attempt_overhead_s: 0.0,
        explicit_holders: None,
    };
    let mut host =
        Host::with(|d| (d.placement, d.node_count, d.capabilities.can_hedge) = (disjoint, 2, false));
    host.answer_queries(1000, 16, 0.1);
    for n in 0..30 {
        host.query(n, &[0]);
    }
    // The node continues to answer in time: only the waiting shard requests indicate the overload.
    for n in 0..11 {
        host.wait(0.15);
        host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.1);
    }
    let rejected = host.count("reject");
    for n in 100..120 {
        host.query(n, &[1]);
        host.attempt_ended(&format!("p{n}.0"), 0, "n1", AttemptOutcome::Success, 0.1);
    }
    assert_eq!(host.count("reject"), rejected, "the other node has capacity");
    for n in 200..220 {
        host.query(n, &[0, 1]);
    }
    assert!(host.count("reject q2") >= 10, "{}", host.count("reject q2"));
}

#[rstest]
fn a_query_without_holders_is_rejected_on_arrival() {
    let mut host = Host::with(|d| d.node_count = 0);
    assert!(host.query(0, &[0]).contains(&"reject q0 0.40".to_string()));
}

/// Guards against rejecting queries because of the latency of shard requests that their answers may omit.
#[rstest]
#[case::every_request_is_needed(1.0, true)]
#[case::partial_answers_are_allowed(0.7, false)]
fn the_expected_latency_is_that_of_the_requests_that_the_minimum_fraction_needs(
    #[case] minimum_fraction: f64,
    #[case] rejects: bool,
) {
    let mut host =
        Host::with(|d| (d.capabilities.can_hedge, d.class.minimum_fraction) = (false, minimum_fraction));
    for n in 0..40 {
        let node = last_node(&host.query(n, &[n as u32]), &format!("p{n}.0"));
        let latency = if n % 5 == 0 { 1.9 } else { 0.4 };
        host.wait(latency);
        host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, latency);
    }
    let before = host.count("reject");
    for n in 100..120 {
        host.query(n, &(0..10).map(|index| 100 + index).collect::<Vec<u32>>());
    }
    assert_eq!(host.count("reject") > before, rejects);
}

/// Guards against an undetected overload in which queries are abandoned within milliseconds while the nodes
/// remain at capacity with shard requests of abandoned queries.
#[rstest]
fn requests_rejected_by_full_nodes_indicate_an_overload() {
    let mut host = Host::with(|_| ());
    for n in 0..60 {
        host.query(n, &[0]);
        for attempt in 0..3 {
            let node = host.decisions.iter().rev().find_map(|c| c.strip_prefix(&format!("attempt p{n}.0 ")));
            if let Some(node) = node.map(String::from) {
                host.attempt_ended(&format!("p{n}.0"), attempt, &node, AttemptOutcome::Rejected, 0.002);
            }
        }
    }
    let unsent = (30..60).filter(|n| host.count(&format!("attempt p{n}.0")) == 0).count();
    assert!(unsent >= 10, "{unsent} of 30 rejected without an attempt");
}

/// Guards against an undetected overload in a deployment with many routers, in which each router observes too
/// few late queries to start load shedding.
#[rstest]
#[case::late_on_all_routers(80, 20, true)]
#[case::in_time_on_all_routers(20, 80, false)]
#[case::too_few_queries(6, 1, false)]
fn a_router_without_observations_sheds_load_by_the_counts_of_all_routers(
    #[case] late: u32,
    #[case] in_time: u32,
    #[case] sheds: bool,
) {
    let mut host = Host::with(|_| ());
    host.round(|r| r.fleet_latency_counts(late, in_time));
    (0..20).for_each(|n| drop(host.query(n, &[n as u32])));
    assert_eq!(host.count("reject") > 8, sheds, "{}", host.count("reject"));
}

#[rstest]
fn the_objective_of_a_clients_retry_counts_from_its_first_query() {
    let mut host = Host::with(|d| d.class.late_weight_fraction = 0.0);
    host.answer_queries(0, 3, 0.1);
    let short = |host: &mut Host, n| host.query_until(n, &[0], host.now + 3.9, "");
    assert_eq!(
        attempts(&short(&mut host, 7)).len(),
        1,
        "no query is unserved, so that clients must have shortened their deadlines"
    );
    host.round(|r| r.client_disconnected("q7"));
    assert_eq!(short(&mut host, 8), ["reject q8 0.50"]);
}
