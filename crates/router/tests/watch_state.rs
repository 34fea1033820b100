//! The longest time to be told of a change: every order of what can go wrong with watches, played without a socket
//! or a clock against the spans by which the router follows discovery.
use alderway_router::state::watch_state::{
    RECONNECT_PAUSE_S, RESPONSE_TIMEOUT_S, SILENCE_TIMEOUT_S, WatchPhase, WatchState,
};
use rstest::rstest;

/// What becomes of a watch that opens before discovery can be reached again, and of those right after.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// Ends so soon: refused, reset, or unreadable.
    Ends(f64),
    /// Accepts and says nothing.
    Mute,
    /// Answers so late, and says nothing after that.
    Head(f64),
}

const FATES: [Fate; 6] =
    [Fate::Ends(0.0), Fate::Ends(0.9), Fate::Mute, Fate::Head(0.0), Fate::Head(0.5), Fate::Head(0.99)];

/// The module asks again so long after it hears that the watch is lost: its second, and its next look.
const ASKS: f64 = 1.0 + 0.02;

/// Plays one watch that was open and fell silent at 0, and further ones by `fates` in turn for as long as discovery
/// cannot be reached, which is until `back`; then `failing` more watches that end or stay mute. Returns how long after
/// `back` the router is told.
fn told_after(asks: bool, back: f64, fates: &[Fate], failing: &[Fate]) -> f64 {
    let mut following = WatchState::new(asks);
    let (mut now, mut opened, mut after) = (0.0, 0, 0);
    following.open(now);
    following.update_received(now);
    loop {
        now = match following.phase {
            WatchPhase::NotRequested => now + ASKS,
            _ => following.deadline().max(now),
        };
        if matches!(following.phase, WatchPhase::Open { .. } | WatchPhase::Opening { .. }) {
            following.lost(now);
            continue;
        }
        following.open(now);
        let fate = if now < back {
            opened += 1;
            fates[(opened - 1) % fates.len()]
        } else if let Some(fate) = failing.get(after) {
            after += 1;
            *fate
        } else {
            return now - back;
        };
        match fate {
            Fate::Ends(span) => {
                now += span;
                following.lost(now);
            }
            Fate::Mute => {}
            Fate::Head(span) => {
                now += span;
                following.response_started();
            }
        }
    }
}

#[rstest]
#[case::pushed(false, 2)]
#[case::asked_for(true, 1)]
fn a_change_is_told_six_seconds_after_discovery_can_be_reached(#[case] asks: bool, #[case] failures: usize) {
    let mut longest = (0.0, 0.0, vec![], vec![]);
    let pairs = FATES.iter().flat_map(|a| FATES.iter().map(move |b| vec![*a, *b]));
    for fates in pairs {
        for tenths in 0..150 {
            let back = f64::from(tenths) / 10.0 + 0.01;
            // What ends or stays mute before it has answered; a head without more is silence, which counts anew.
            for failing in [Fate::Ends(0.0), Fate::Ends(0.9), Fate::Mute] {
                let failing = if failing == Fate::Mute { vec![failing; 1] } else { vec![failing; failures] };
                let span = told_after(asks, back, &fates, &failing);
                if span > longest.0 {
                    longest = (span, back, fates.clone(), failing);
                }
            }
        }
    }
    assert!(longest.0 < 6.0, "{longest:?}");
    // The sum that docs/configuration.md states.
    let asked = if asks { ASKS } else { RECONNECT_PAUSE_S };
    let ends = failures as f64 * (0.9 + RECONNECT_PAUSE_S);
    assert!(
        longest.0 <= SILENCE_TIMEOUT_S + asked + ends.max(RESPONSE_TIMEOUT_S + RECONNECT_PAUSE_S) + 0.01,
        "{longest:?}"
    );
}

#[rstest]
fn what_the_module_asked_for_is_still_asked_for_until_a_watch_has_answered() {
    let mut following = WatchState::new(true);
    assert_eq!(following.phase, WatchPhase::NotRequested);
    following.open(1.0);
    assert!(!following.lost(2.0), "nothing had answered, so the module hears of no failure");
    assert_eq!(following.phase, WatchPhase::Waiting { until: 2.0 + RECONNECT_PAUSE_S });
    following.open(2.0 + RECONNECT_PAUSE_S);
    following.response_started();
    following.update_received(3.0);
    assert!(following.lost(6.0));
    assert_eq!(following.phase, WatchPhase::NotRequested);
}
