//! Which queries are admitted and which are rejected to shed load.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn overload_rejects_at_random_with_advice_and_cheap_queries_more_often() {
    let few = vec![
        Tenant { name: "over".into(), quota_per_s: 0.0 },
        Tenant { name: "in".into(), quota_per_s: 1e6 },
    ];
    let mut host = Host::with(|d| (d.node_count, d.tenants, d.class.latency_objective_s) = (1, few, 2.0));
    host.answer_queries(1000, 16, 0.9);
    let mut rejected = [0, 0];
    for n in 0..200u64 {
        let who = (n % 2) as usize;
        let end = host.now + 6.0;
        host.query_until(n, &[0], end, ["in", "over"][who]);
        rejected[who] += host.count(&format!("reject q{n} "));
        if n > 12 {
            host.round(|r| r.client_disconnected(&format!("q{}", n - 12)));
        }
    }
    assert!(host.count("log load shedding on") > 0);
    assert!(0 < rejected[0] && rejected[0] < rejected[1], "{rejected:?}");
}

#[rstest]
fn queries_that_would_wait_at_their_only_holder_are_rejected_and_others_are_not() {
    let apart = ShardPlacement {
        replica_groups: 2,
        groups_per_shard: 1,
        max_batch: 1,
        attempt_overhead_s: 0.0,
        explicit_holders: None,
    };
    let mut host = Host::with(|d| (d.placement, d.node_count, d.capabilities.can_hedge) = (apart, 2, false));
    host.answer_queries(1000, 16, 0.1);
    for n in 0..30 {
        host.query(n, &[0]);
    }
    // The node answers all along, so it is neither silent nor late: only the requests that wait tell.
    for n in 0..11 {
        host.wait(0.15);
        host.attempt_ended(&format!("p{n}.0"), 0, "n0", AttemptOutcome::Success, 0.1);
    }
    let rejected = host.count("reject");
    for n in 100..120 {
        host.query(n, &[1]);
        host.attempt_ended(&format!("p{n}.0"), 0, "n1", AttemptOutcome::Success, 0.1);
    }
    assert_eq!(host.count("reject"), rejected, "the other node has room");
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

/// Guards against queries rejected for the slowest of many requests though their answers would leave those
/// out.
#[rstest]
#[case::needs_every_part(1.0, true)]
#[case::may_be_answered_in_part(0.7, false)]
fn a_query_is_as_late_as_the_request_that_its_minimum_fraction_needs(
    #[case] floor: f64,
    #[case] rejects: bool,
) {
    let mut host = Host::with(|d| (d.capabilities.can_hedge, d.class.minimum_fraction) = (false, floor));
    for n in 0..40 {
        let asked = last_node(&host.query(n, &[n as u32]), &format!("p{n}.0"));
        let latency = if n % 5 == 0 { 1.9 } else { 0.4 };
        host.wait(latency);
        host.attempt_ended(&format!("p{n}.0"), 0, &asked, AttemptOutcome::Success, latency);
    }
    let before = host.count("reject");
    for n in 100..120 {
        host.query(n, &(0..10).map(|part| 100 + part).collect::<Vec<u32>>());
    }
    assert_eq!(host.count("reject") > before, rejects);
}

/// Guards against an overload that looks like a quiet hour because its queries end within milliseconds: nodes
/// stayed full of requests of queries that were abandoned.
#[rstest]
fn requests_that_full_nodes_rejected_show_an_overload() {
    let mut host = Host::with(|_| ());
    for n in 0..60 {
        host.query(n, &[0]);
        for attempt in 0..3 {
            let asked = host.decisions.iter().rev().find_map(|c| c.strip_prefix(&format!("attempt p{n}.0 ")));
            if let Some(node) = asked.map(String::from) {
                host.attempt_ended(&format!("p{n}.0"), attempt, &node, AttemptOutcome::Rejected, 0.002);
            }
        }
    }
    let unsent = (30..60).filter(|n| host.count(&format!("attempt p{n}.0")) == 0).count();
    assert!(unsent >= 10, "{unsent} of 30 rejected before any node was asked");
}

/// Guards against an overload of many routers, each of which sees too little of it to shed anything by itself.
#[rstest]
#[case::the_fleet_is_late(80, 20, true)]
#[case::the_fleet_is_in_time(20, 80, false)]
#[case::too_few_to_tell(6, 1, false)]
fn a_router_that_observed_nothing_sheds_load_while_the_fleet_is_late(
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
        "no query is unserved: clients have turned impatient"
    );
    host.round(|r| r.client_disconnected("q7"));
    assert_eq!(short(&mut host, 8), ["reject q8 0.50"]);
}
