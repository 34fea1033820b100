//! Which data node an attempt goes to.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn first_attempts_use_round_robin() {
    let mut host = Host::with(|_| ());
    for n in 0..6 {
        let node = last_node(&host.query(n, &[0]), &format!("p{n}.0"));
        assert_eq!(node, format!("n{}", n % 3));
        host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, 0.1);
    }
}

#[rstest]
fn round_robin_is_used_if_all_nodes_are_slow() {
    let mut host = Host::with(|d| d.capabilities.can_hedge = false);
    for n in 0..3 {
        host.query(n, &[0]);
    }
    host.wait(0.6);
    assert_eq!(attempts(&host.query(3, &[0])), ["attempt p3.0 n0"]);
}

#[rstest]
#[case(NodeState::Draining)]
#[case(NodeState::Removed)]
fn no_attempt_goes_to_a_draining_or_removed_node(#[case] state: NodeState) {
    let mut host = Host::with(|_| ());
    host.update_endpoint("n1", 1, state, None);
    host.answer_queries(0, 9, 0.05);
    assert!(!host.decisions.iter().any(|n| n.starts_with("attempt") && n.ends_with("n1")));
}

#[rstest]
fn requests_with_a_common_holder_are_batched_if_attempts_cost_work() {
    let ring = ShardPlacement {
        replica_groups: 6,
        groups_per_shard: 3,
        max_batch: 8,
        attempt_overhead_s: 0.05,
        explicit_holders: None,
    };
    let mut host = Host::with(|d| (d.placement, d.node_count) = (ring, 6));
    assert_eq!(host.query(0, &[0, 1, 2]), ["attempt p0.0 n2", "attempt p0.1 n2", "attempt p0.2 n2"]);
}

#[rstest]
fn a_warm_node_with_a_free_slot_takes_a_whole_batch() {
    let mut host = Host::new(Deployment::of_one_node());
    assert_eq!(attempts(&host.query(0, &[0, 1, 2])).len(), 3);
    assert_eq!(
        attempts(&host.query(1, &[0, 1, 2])).len(),
        3,
        "three of four slots are in use, three more requests are sent"
    );
    assert_eq!(attempts(&host.query(2, &[0])).len(), 0);
}

/// Guards against a separate round robin for each shard: it often selected the same node for neighbouring
/// shards of a query.
#[rstest]
fn shards_with_the_same_holders_share_round_robin() {
    let mut host = Host::with(|_| ());
    let mut nodes: Vec<String> = attempts(&host.query(0, &[0, 3, 6]))
        .iter()
        .map(|c| c.rsplit_once(' ').expect("an attempt").1.into())
        .collect();
    nodes.sort();
    assert_eq!(nodes, ["n0", "n1", "n2"]);
}
