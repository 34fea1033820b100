//! What may happen in a moment, by the facts of that moment.
use alderway::interface::{Idempotency, NodeState};
use alderway::permits::{self, Call, Closing, Denial};
use rstest::rstest;

const KEYED: Idempotency = Idempotency::IdempotentWithKey { window_s: 1.0 };

#[rstest]
#[case::first(Idempotency::NonIdempotent, None, 2.0, NodeState::Serving, Ok(()))]
#[case::time_over(Idempotency::Idempotent, None, 1.0, NodeState::Serving, Err(Denial::TimeOver))]
#[case::drains(Idempotency::Idempotent, None, 2.0, NodeState::Draining, Err(Denial::NodeLeaving))]
#[case::gone(Idempotency::Idempotent, None, 2.0, NodeState::Removed, Err(Denial::NodeLeaving))]
#[case::repeatable(Idempotency::Idempotent, Some(-9.0), 2.0, NodeState::Serving, Ok(()))]
#[case::in_the_window(KEYED, Some(0.1), 2.0, NodeState::Serving, Ok(()))]
#[case::past_the_window(KEYED, Some(0.0), 2.0, NodeState::Serving, Err(Denial::WindowOver))]
#[case::may_have_run(Idempotency::NonIdempotent, Some(0.9), 2.0, NodeState::Serving, Err(Denial::MayHaveRun))]
fn a_leaf_call_begins_only_within_the_rules(
    #[case] effect: Idempotency,
    #[case] begun: Option<f64>,
    #[case] until: f64,
    #[case] node: NodeState,
    #[case] wanted: Result<(), Denial>,
) {
    assert_eq!(permits::call(&Call { now: 1.0, until, effect, begun, node }), wanted);
}

#[rstest]
#[case(false, false, false, Ok(()))]
#[case(true, true, true, Err(Denial::QueryOpen))]
#[case(false, true, true, Err(Denial::Unwritten))]
#[case(false, false, true, Err(Denial::Unread))]
fn a_connection_is_closed_only_with_nothing_owed_on_it(
    #[case] query_open: bool,
    #[case] unwritten: bool,
    #[case] unread: bool,
    #[case] wanted: Result<(), Denial>,
) {
    assert_eq!(permits::close(&Closing { query_open, unwritten, unread }), wanted);
}

#[rstest]
fn a_rejection_is_given_only_where_trying_again_is_harmless() {
    assert_eq!(permits::reject(Idempotency::NonIdempotent, true), Err(Denial::MayHaveRun));
    assert_eq!(permits::reject(Idempotency::NonIdempotent, false), Ok(()));
    assert_eq!(permits::reject(KEYED, true), Ok(()));
}

#[rstest]
#[case(1.0, 2.0, 9.0, 1000)]
#[case(1.0, 9.0, 2.0, 990)]
#[case(1.0, 9.0, 1.0, 1)]
fn a_call_tells_less_than_what_its_client_has_left(
    #[case] now: f64,
    #[case] until: f64,
    #[case] not_after: f64,
    #[case] told: u64,
) {
    assert_eq!(permits::told_ms(now, until, not_after), told);
}
