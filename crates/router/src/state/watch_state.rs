//! Decides when a watch is lost and when the next watch opens. A watch is an HTTP response that streams the
//! changes of the endpoint list. It comes from the discovery agent, a process on the machine of the router
//! that provides the endpoint list. Depending on the settings, watches open on their own, or only when the
//! policy, the code that decides about attempts, requests a poll of the endpoint list. The caller reports
//! events with their times, in seconds of the monotonic clock; this module reads no socket and no clock. The
//! longest time from a change in discovery until the router receives it follows from the three constants
//! below and, if watches open only when the policy polls, from the policy's poll interval.

/// A watch is lost if no complete line or object is received for this time, in seconds. The discovery agent
/// sends an empty line every 2 s.
pub const SILENCE_TIMEOUT_S: f64 = 3.0;
/// A watch is lost if the head of its response is not received within this time, in seconds. The discovery
/// agent runs on the router's machine.
pub const RESPONSE_TIMEOUT_S: f64 = 1.0;
/// Pause between the loss of a watch and the opening of the next one, in seconds.
pub const RECONNECT_PAUSE_S: f64 = 0.25;

/// The phase of the current or next watch. Times are seconds of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchPhase {
    /// No watch is open, and the next one opens when the policy requests a poll.
    NotRequested,
    /// No watch is open, and the next one opens after a pause.
    Waiting {
        /// When the next watch opens.
        opens_at_s: f64,
    },
    /// The connection to the discovery agent is being opened, or the head of the response has not been
    /// received.
    Opening {
        /// When the watch is lost unless the head of its response is received before.
        lost_at_s: f64,
    },
    /// The head of the response has been received.
    Open {
        /// When the watch is lost unless a complete line or object is received before.
        lost_at_s: f64,
    },
}

/// The phase of the watch, and whether the policy decides when the next watch opens.
#[derive(Debug)]
pub struct WatchState {
    /// Whether a watch opens only when the policy requests a poll.
    on_request: bool,
    /// The current phase.
    pub phase: WatchPhase,
}

impl WatchState {
    /// A state without an open watch. If `on_request`, a watch opens only when the policy requests a poll;
    /// otherwise the first watch opens immediately, and each lost watch is replaced after a pause.
    pub fn new(on_request: bool) -> Self {
        let phase =
            if on_request { WatchPhase::NotRequested } else { WatchPhase::Waiting { opens_at_s: 0.0 } };
        WatchState { on_request, phase }
    }

    /// Records that the next watch opens at `now`, because the pause is over, the policy requested a poll, or
    /// the address of the discovery agent changed.
    pub fn open(&mut self, now: f64) {
        self.phase = WatchPhase::Opening { lost_at_s: now + RESPONSE_TIMEOUT_S };
    }

    /// Records that the head of the response was received. `SILENCE_TIMEOUT_S` counts from the opening of the
    /// watch until the first line or object is received.
    pub fn response_started(&mut self) {
        if let WatchPhase::Opening { lost_at_s } = self.phase {
            self.phase = WatchPhase::Open { lost_at_s: lost_at_s - RESPONSE_TIMEOUT_S + SILENCE_TIMEOUT_S };
        }
    }

    /// Records that a complete line or object was received at `now`. Bytes of an incomplete line or object do
    /// not extend the time until the watch is lost. Guards against a watch that keeps sending bytes but never
    /// completes a line or object.
    pub fn update_received(&mut self, now: f64) {
        self.phase = WatchPhase::Open { lost_at_s: now + SILENCE_TIMEOUT_S };
    }

    /// Records that the watch was lost at `now`; returns whether the head of its response had been received.
    /// If so and watches open on request, the next watch opens when the policy requests the next poll; in all
    /// other cases the next watch opens after a pause of `RECONNECT_PAUSE_S`.
    pub fn lost(&mut self, now: f64) -> bool {
        let had_response = matches!(self.phase, WatchPhase::Open { .. });
        let awaits_poll = had_response && self.on_request;
        self.phase = if awaits_poll {
            WatchPhase::NotRequested
        } else {
            WatchPhase::Waiting { opens_at_s: now + RECONNECT_PAUSE_S }
        };
        had_response
    }

    /// When the current phase ends if no event ends it before, in seconds of the monotonic clock; infinite if
    /// only an event ends it.
    pub fn deadline(&self) -> f64 {
        match self.phase {
            WatchPhase::NotRequested => f64::INFINITY,
            WatchPhase::Waiting { opens_at_s } => opens_at_s,
            WatchPhase::Opening { lost_at_s } | WatchPhase::Open { lost_at_s } => lost_at_s,
        }
    }
}
