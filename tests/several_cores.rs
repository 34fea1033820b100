//! A router with several cores, each of which has a separate policy. The cores share observations of the
//! health of data nodes, the retry budget, and the load limit of nodes that are warming up.

mod common;
use alderway::interface::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Creates `count` cores of one router, which send no hedges.
fn cores(count: usize, change: impl Fn(&mut Deployment)) -> Vec<Host> {
    let limits = SharedLimits::new(count);
    let core = |core: usize| {
        let mut deployment = Deployment::default();
        deployment.capabilities.can_hedge = false;
        change(&mut deployment);
        let mut host = Host::new(deployment);
        host.use_shared_limits(limits.for_core(core as u8));
        host
    };
    (0..count).map(core).collect()
}

/// Two cores, of which the first has observed a late answer of node n0, and the observations that it shared.
fn cores_after_a_late_answer() -> (Host, Host, Vec<(String, NodeObservation)>) {
    let mut all = cores(2, |_| ());
    let (mut second, mut first) = (all.remove(1), all.remove(0));
    first.query(0, &[0]);
    first.wait(0.6);
    first.attempt_ended("p0.0", 0, "n0", AttemptOutcome::Success, 0.6);
    second.now = first.now;
    let shared = first.shared_observations.clone();
    (first, second, shared)
}

/// Delivers query `n` for shard 0; returns the node that its attempt went to.
fn selected_node(host: &mut Host, n: u64) -> String {
    last_node(&host.query(n, &[0]), &format!("p{n}.0"))
}

#[rstest]
fn a_core_avoids_a_node_that_another_core_observed_as_late() {
    let (_, mut second, shared) = cores_after_a_late_answer();
    assert!(
        shared.iter().any(|(node, observed)| node == "n0"
            && observed.slow_for_s > 0.3
            && observed.unresponsive_for_s == 0.0),
        "{shared:?}"
    );
    second.receive_observations(&shared);
    for n in 0..4 {
        let node = selected_node(&mut second, n);
        assert_ne!(node, "n0");
        second.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, 0.05);
    }
}

#[rstest]
fn an_unanswered_attempt_is_shared_repeatedly_while_it_is_in_flight() {
    let mut all = cores(2, |_| ());
    all[0].query(0, &[0]);
    all[0].wait(2.0);
    let shared = all[0].shared_observations.clone();
    let silent = shared.iter().filter(|(node, observed)| node == "n0" && observed.unresponsive_for_s > 0.0);
    // The observation is shared again while the attempt is unanswered, as other cores use it for half a
    // second only.
    assert!(silent.count() >= 2, "{shared:?}");
    all[1].now = all[0].now;
    let after_observation = all[1].receive_observations(&shared);
    assert!(after_observation.iter().any(|n| n.starts_with("log node n0 ejected")), "{after_observation:?}");
    let after_expiry = all[1].wait(0.6);
    assert!(after_expiry.iter().any(|n| n.starts_with("log node n0 readmitted")), "{after_expiry:?}");
}

#[rstest]
fn an_observation_older_than_an_own_answer_does_not_make_a_core_avoid_the_node() {
    let (_, mut second, shared) = cores_after_a_late_answer();
    second.now += 0.01;
    second.answer_queries(0, 3, 0.05);
    second.receive_observations(&shared);
    let nodes: Vec<String> = (3..6).map(|n| selected_node(&mut second, n)).collect();
    assert!(nodes.contains(&"n0".to_string()), "{nodes:?}");
}

#[rstest]
fn observations_expire_and_do_not_apply_to_another_process_of_the_node() {
    let (_, mut second, mut shared) = cores_after_a_late_answer();
    let longest = shared.iter().map(|t| t.1.slow_for_s).fold(0.0, f64::max);
    second.now += longest + 0.01;
    second.receive_observations(&shared);
    assert!((0..3).any(|n| selected_node(&mut second, n) == "n0"), "the observation has expired");
    let (_, mut second, _) = cores_after_a_late_answer();
    shared.iter_mut().for_each(|t| t.1.started_at_s = Some(50.0));
    second.receive_observations(&shared);
    assert!((0..3).any(|n| selected_node(&mut second, n) == "n0"), "the observation is of another process");
}

#[rstest]
#[case::absurdly_long(0.0, 1e12)]
#[case::in_the_future(100.0, 20.0)]
#[case::not_a_number(0.0, f64::NAN)]
fn an_invalid_observation_does_not_eject_a_node_for_long(#[case] ahead_s: f64, #[case] span_s: f64) {
    let mut all = cores(2, |_| ());
    let observation = NodeObservation {
        started_at_s: None,
        observed_at_s: all[0].now + ahead_s,
        slow_for_s: span_s,
        very_slow_for_s: span_s,
        unresponsive_for_s: span_s,
    };
    all[0].receive_observations(&[("n0".into(), observation), ("unknown".into(), observation)]);
    all[0].now += 30.1;
    assert!((0..3).any(|n| selected_node(&mut all[0], n) == "n0"));
}

#[rstest]
fn an_answer_observed_by_one_core_ends_the_avoidance_on_all_cores() {
    let (mut first, mut second, shared) = cores_after_a_late_answer();
    second.receive_observations(&shared);
    // All three nodes are late for the second core, so that it selects the next one in round robin: n0.
    let others = ["n1", "n2"].map(|n| (n.to_string(), shared[0].1));
    second.receive_observations(&others);
    second.now += 0.01;
    assert_eq!(selected_node(&mut second, 0), "n0");
    second.now += 0.05;
    second.attempt_ended("p0.0", 0, "n0", AttemptOutcome::Success, 0.05);
    let healthy = second.shared_observations.last().expect("shared").clone();
    assert_eq!((healthy.0.as_str(), healthy.1.slow_for_s, healthy.1.unresponsive_for_s), ("n0", 0.0, 0.0));
    first.now = second.now;
    first.receive_observations(&[healthy]);
    assert!((1..4).any(|n| selected_node(&mut first, n) == "n0"), "n0 is still avoided");
}

#[rstest]
fn several_cores_send_a_warming_node_no_more_than_one_core() {
    let (rule, router_count) = (
        SlowStartConfig { initial_fraction: 0.2, warm_up_s: 16.0, capacity_multiple: 2.5, window_s: 1.5 },
        1,
    );
    let sent_by = |count: usize| {
        let mut all = cores(count, |d| (d.router_count, d.node_count) = (router_count, 2));
        let started = all[0].now;
        for host in &mut all {
            host.answer_queries(1000, 20, 0.02);
            host.now = started + 1.0;
            host.update_endpoint("new", 2, NodeState::Serving, Some(started));
        }
        let (mut sends, mut n) = (vec![], 0u64);
        for step in 0..600 {
            let now = started + 1.0 + 0.01 * f64::from(step);
            for host in &mut all {
                host.now = now;
                for _ in 0..3 {
                    n += 1;
                    let node = selected_node(host, n);
                    sends.extend((node == "new").then_some(host.now));
                    host.now += 0.002;
                    host.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, 0.002);
                }
            }
        }
        let window = |from: f64| sends.iter().filter(|&&at| at >= from && at < from + rule.window_s).count();
        (sends.iter().map(|&from| window(from)).max().unwrap_or(0), sends.len())
    };
    let ((one, _), (four, sent)) = (sent_by(1), sent_by(4));
    assert!(one > 0 && four <= one, "{four} in a window from four cores, {one} from one");
    assert!(sent > 0, "the cores block each other");
}

/// A configuration that generates the same cases in every run.
fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded(64))]

    /// For any order of events and shared observations, a core shares observations only of nodes that its own
    /// attempts went to.
    #[test]
    fn a_core_does_not_forward_observations_of_other_cores(
        steps in prop::collection::vec((0..3usize, 0..5u8, 0.01..1.2f64), 1..60),
    ) {
        let mut all = cores(3, |_| ());
        // Core 2 never gets a query.
        let (mut n, mut delivered) = (0, [0; 3]);
        let mut open: Vec<(usize, u64, String, f64)> = vec![];
        for (core, event, pause_s) in steps {
            let now = all.iter().map(|h| h.now).fold(0.0, f64::max) + pause_s;
            match event {
                0 | 1 if core < 2 => {
                    n += 1;
                    all[core].now = now;
                    let decisions = all[core].query(n, &[0]);
                    if let Some(attempt) = decisions.iter().find(|t| t.starts_with("attempt ")) {
                        open.push((core, n, attempt.rsplit(' ').next().unwrap_or_default().into(), now));
                    }
                }
                2 | 3 if !open.is_empty() => {
                    let (core, n, node, at) = open.remove(0);
                    all[core].now = now;
                    let outcome = if event == 2 { AttemptOutcome::Success } else { AttemptOutcome::Unreachable };
                    all[core].attempt_ended(&format!("p{n}.0"), 0, &node, outcome, now - at);
                }
                _ => {
                    all[core].now = now;
                    all[core].wait(0.02);
                }
            }
            // Delivers all shared observations to the other cores.
            for from in 0..3 {
                let shared: Vec<_> = all[from].shared_observations[delivered[from]..].to_vec();
                delivered[from] += shared.len();
                for to in (0..3).filter(|&to| to != from) {
                    all[to].now = all[to].now.max(all[from].now);
                    all[to].receive_observations(&shared);
                }
            }
        }
        prop_assert!(all[2].shared_observations.is_empty(), "core 2 shared {:?}", all[2].shared_observations);
    }
}
