//! Decides when the watch on discovery is lost and when the next one opens. The caller reports events with their times;
//! nothing here reads a socket or a clock. The longest time from a change in discovery to its arrival here follows from the
//! three constants below and, if changes are polled for, from how soon the policy polls again.

/// A watch is lost if it receives no complete line or object for this long. The discovery agent sends an empty line every 2 s.
pub const SILENCE_TIMEOUT_S: f64 = 3.0;
/// A watch is lost if its response does not begin within this time. The discovery agent runs on the router's machine.
pub const RESPONSE_TIMEOUT_S: f64 = 1.0;
/// Pause between the loss of a watch and the next one.
pub const RECONNECT_PAUSE_S: f64 = 0.25;

/// The phase of the watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchPhase {
    /// Changes are polled for, and the policy has not requested a poll.
    NotRequested,
    /// No watch is open.
    Waiting {
        /// When the next watch opens.
        opens_at_s: f64,
    },
    /// The connection is being opened, or its response has not begun.
    Opening {
        /// When the watch is lost.
        lost_at_s: f64,
    },
    /// The response has begun.
    Open {
        /// When the watch is lost, unless a complete line or object is received before.
        lost_at_s: f64,
    },
}

/// The state of the watch.
#[derive(Debug)]
pub struct WatchState {
    on_request: bool,
    /// The current phase.
    pub phase: WatchPhase,
}

impl WatchState {
    /// A state without an open watch. `on_request` says whether changes come only when the policy polls for them.
    pub fn new(on_request: bool) -> Self {
        let phase = if on_request { WatchPhase::NotRequested } else { WatchPhase::Waiting { opens_at_s: 0.0 } };
        WatchState { on_request, phase }
    }

    /// The next watch opens now: the pause is over, the policy requested a poll, or the address of discovery changed.
    pub fn open(&mut self, now: f64) {
        self.phase = WatchPhase::Opening { lost_at_s: now + RESPONSE_TIMEOUT_S };
    }

    /// The head of the response was received. The first object has yet to come.
    pub fn response_started(&mut self) {
        if let WatchPhase::Opening { lost_at_s } = self.phase {
            self.phase = WatchPhase::Open { lost_at_s: lost_at_s - RESPONSE_TIMEOUT_S + SILENCE_TIMEOUT_S };
        }
    }

    /// A complete line or object was received. Guards against a watch that keeps sending single bytes but never completes
    /// anything: such bytes do not postpone the time-out.
    pub fn update_received(&mut self, now: f64) {
        self.phase = WatchPhase::Open { lost_at_s: now + SILENCE_TIMEOUT_S };
    }

    /// The watch is lost; returns whether its response had begun. If it had not, the request for a poll stays in force.
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

    /// When the current phase ends without an event; infinite if it does not.
    pub fn deadline(&self) -> f64 {
        match self.phase {
            WatchPhase::NotRequested => f64::INFINITY,
            WatchPhase::Waiting { opens_at_s } => opens_at_s,
            WatchPhase::Opening { lost_at_s } | WatchPhase::Open { lost_at_s } => lost_at_s,
        }
    }
}
