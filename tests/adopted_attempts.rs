//! Attempts that another router process started and that this policy adopts: it continues the attempts'
//! queries.
mod common;
use common::Host;
use rstest::rstest;

/// Guards against a panic or a lost attempt if a router adopts an attempt at a data node that its endpoint
/// list does not contain.
#[rstest]
fn a_query_with_an_adopted_attempt_at_an_unlisted_node_gets_one_final_response() {
    let mut host = Host::with(|d| d.capabilities.can_hedge = false);
    host.round(|r| {
        r.query_arrived(1, "q1", 0, "", 106.0);
        r.shard_request_added(1, "p1.0", 0, 1.0);
        r.adopt_attempt("p1.0", "unlisted", 0.0, None);
    });
    host.wait(6.5);
    let responses = ["answer q1 ", "reject q1 ", "fail q1"].map(|response| host.count(response));
    assert_eq!(responses.iter().sum::<usize>(), 1, "{:?}", host.decisions);
}
