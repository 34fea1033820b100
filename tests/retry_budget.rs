//! Which retries and hedges cost a token of the retry budget's token bucket.

mod common;
use alderway::interface::*;
use common::*;
use rstest::rstest;

#[rstest]
fn hedges_stop_when_the_bucket_has_no_whole_token() {
    let mut host = Host::with(|d| d.node_count = 3);
    for n in 0..24 {
        host.query(n, &[0, 1, 2]);
        host.wait(0.52);
        for i in 0..3 {
            for attempt in 0..3 {
                let decisions = host.decisions.clone();
                let nodes: Vec<_> =
                    decisions.iter().filter_map(|c| c.strip_prefix(&format!("attempt p{n}.{i} "))).collect();
                if let Some(node) = nodes.get(attempt) {
                    host.attempt_ended(&format!("p{n}.{i}"), attempt, node, AttemptOutcome::Success, 0.05);
                }
            }
        }
    }
    let hedges = host.count("attempt") - 72;
    assert!(
        (40..=47).contains(&hedges),
        "expected 40 tokens and 0.1 for each of 72 requests, found {hedges} hedges"
    );
}

#[rstest]
fn with_a_configured_budget_every_further_attempt_costs_a_token() {
    let mut host = Host::with(|d| d.retry_budget = Some(RetryBudget { burst: 2.0, ratio: 0.0 }));
    host.query(0, &[0, 1, 2, 0]);
    for request in ["p0.0", "p0.1", "p0.2", "p0.3"] {
        let node = last_node(&host.decisions, request);
        host.attempt_ended(request, 0, &node, AttemptOutcome::Error, 0.01);
    }
    host.wait(0.3);
    assert_eq!(host.count("attempt"), 4 + 2);
}
