//! The longest delay until a change in discovery is received: all sequences of failing watches, simulated
//! with the router's time-outs and pauses, without a socket or a clock. A watch is an HTTP response that
//! streams changes from discovery.
use alderway_router::state::watch_state::{
    RECONNECT_PAUSE_S, RESPONSE_TIMEOUT_S, SILENCE_TIMEOUT_S, WatchPhase, WatchState,
};
use rstest::rstest;

/// How a watch fails. In the simulation, watches fail before discovery is reachable again and shortly after.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    /// The connection is refused, reset or unreadable this many seconds after the watch opens.
    Ends(f64),
    /// The connection is accepted, but discovery sends nothing.
    Silent,
    /// Discovery sends the head of the response this many seconds after the watch opens, and nothing else.
    ResponseHead(f64),
}

const OUTCOMES: [Outcome; 6] = [
    Outcome::Ends(0.0),
    Outcome::Ends(0.9),
    Outcome::Silent,
    Outcome::ResponseHead(0.0),
    Outcome::ResponseHead(0.5),
    Outcome::ResponseHead(0.99),
];

/// Delay in seconds from the loss of a watch until the policy requests the next poll: the poll interval of 1
/// s and up to 20 ms until the policy runs.
const POLL_DELAY_S: f64 = 1.0 + 0.02;

/// Simulates a watch that is open and receives nothing from time 0 on. Until `returns_at_s`, discovery is not
/// reachable and further watches fail with `outcomes` in turn; then watches fail with each of `failing`.
/// Returns the time in seconds from `returns_at_s` until a watch opens that does not fail.
fn delay_after_return(on_request: bool, returns_at_s: f64, outcomes: &[Outcome], failing: &[Outcome]) -> f64 {
    let mut watch = WatchState::new(on_request);
    let (mut now, mut opened, mut failed_after) = (0.0, 0, 0);
    watch.open(now);
    watch.update_received(now);
    loop {
        now = match watch.phase {
            WatchPhase::NotRequested => now + POLL_DELAY_S,
            _ => watch.deadline().max(now),
        };
        if matches!(watch.phase, WatchPhase::Open { .. } | WatchPhase::Opening { .. }) {
            watch.lost(now);
            continue;
        }
        watch.open(now);
        let outcome = if now < returns_at_s {
            opened += 1;
            outcomes[(opened - 1) % outcomes.len()]
        } else if let Some(outcome) = failing.get(failed_after) {
            failed_after += 1;
            *outcome
        } else {
            return now - returns_at_s;
        };
        match outcome {
            Outcome::Ends(span_s) => {
                now += span_s;
                watch.lost(now);
            }
            Outcome::Silent => {}
            Outcome::ResponseHead(span_s) => {
                now += span_s;
                watch.response_started();
            }
        }
    }
}

#[rstest]
#[case::pushed(false, 2)]
#[case::on_request(true, 1)]
fn a_change_is_received_within_six_seconds_of_discovery_being_reachable(
    #[case] on_request: bool,
    #[case] failures: usize,
) {
    let mut longest = (0.0, 0.0, vec![], vec![]);
    let pairs = OUTCOMES.iter().flat_map(|a| OUTCOMES.iter().map(move |b| vec![*a, *b]));
    for outcomes in pairs {
        for tenths in 0..150 {
            let returns_at_s = f64::from(tenths) / 10.0 + 0.01;
            // Only watches that fail without a response: a watch that falls silent after the head of its
            // response is a second failure of discovery, to which the limit does not apply.
            for failing in [Outcome::Ends(0.0), Outcome::Ends(0.9), Outcome::Silent] {
                let failing =
                    if failing == Outcome::Silent { vec![failing; 1] } else { vec![failing; failures] };
                let delay_s = delay_after_return(on_request, returns_at_s, &outcomes, &failing);
                if delay_s > longest.0 {
                    longest = (delay_s, returns_at_s, outcomes.clone(), failing);
                }
            }
        }
    }
    assert!(longest.0 < 6.0, "{longest:?}");
    // The longest delay according to docs/configuration.md.
    let pause_s = if on_request { POLL_DELAY_S } else { RECONNECT_PAUSE_S };
    let failures_s = failures as f64 * (0.9 + RECONNECT_PAUSE_S);
    assert!(
        longest.0
            <= SILENCE_TIMEOUT_S + pause_s + failures_s.max(RESPONSE_TIMEOUT_S + RECONNECT_PAUSE_S) + 0.01,
        "{longest:?}"
    );
}

#[rstest]
fn a_requested_poll_stays_requested_until_a_watch_has_a_response() {
    let mut watch = WatchState::new(true);
    assert_eq!(watch.phase, WatchPhase::NotRequested);
    watch.open(1.0);
    assert!(!watch.lost(2.0), "there was no response, so no failed poll is reported");
    assert_eq!(watch.phase, WatchPhase::Waiting { opens_at_s: 2.0 + RECONNECT_PAUSE_S });
    watch.open(2.0 + RECONNECT_PAUSE_S);
    watch.response_started();
    watch.update_received(3.0);
    assert!(watch.lost(6.0));
    assert_eq!(watch.phase, WatchPhase::NotRequested);
}
