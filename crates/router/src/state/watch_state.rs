//! When the watch of discovery counts as lost, and when the next one opens. It is told what happens and when, and knows no
//! socket and no clock. The longest time from a change in discovery to its arrival here follows from the three spans below,
//! and from how soon the policy polls again where it must.

/// A watch from which nothing came whole for so long is lost. The agent sends an empty line every 2 s.
pub const SILENCE_TIMEOUT_S: f64 = 3.0;
/// A connection on which no response has begun by then is lost. The agent is on the router's own machine.
pub const RESPONSE_TIMEOUT_S: f64 = 1.0;
/// Pause between two watches.
pub const RECONNECT_PAUSE_S: f64 = 0.25;

/// What the watch is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchPhase {
    /// Changes come only when polled for, and the policy has not asked.
    NotRequested,
    /// No watch is open.
    Waiting {
        /// When the next one opens.
        until: f64,
    },
    /// A connection is being opened, or its response has not begun.
    Opening {
        /// When it counts as lost.
        by: f64,
    },
    /// The response has begun.
    Open {
        /// When it counts as lost, unless more comes whole.
        by: f64,
    },
}

/// The state of a router's watch.
#[derive(Debug)]
pub struct WatchState {
    on_request: bool,
    /// What it is doing.
    pub phase: WatchPhase,
}

impl WatchState {
    /// `on_request` where changes come only when the policy polls for them.
    pub fn new(on_request: bool) -> Self {
        let phase = if on_request { WatchPhase::NotRequested } else { WatchPhase::Waiting { until: 0.0 } };
        WatchState { on_request, phase }
    }

    /// The next watch opens now: its time has come, the policy asks for it, or discovery has moved.
    pub fn open(&mut self, now: f64) {
        self.phase = WatchPhase::Opening { by: now + RESPONSE_TIMEOUT_S };
    }

    /// The head of the response has come: the agent is there, and has yet to send what it has.
    pub fn response_started(&mut self) {
        if let WatchPhase::Opening { by } = self.phase {
            self.phase = WatchPhase::Open { by: by - RESPONSE_TIMEOUT_S + SILENCE_TIMEOUT_S };
        }
    }

    /// An empty line or an object has come whole. Bytes alone do not count. Guards against a watch that sends single bytes
    /// and never ends what it began.
    pub fn update_received(&mut self, now: f64) {
        self.phase = WatchPhase::Open { by: now + SILENCE_TIMEOUT_S };
    }

    /// The watch is lost; returns whether its response had begun. A poll without a response is still asked for.
    pub fn lost(&mut self, now: f64) -> bool {
        let had_response = matches!(self.phase, WatchPhase::Open { .. });
        let awaits_poll = had_response && self.on_request;
        self.phase = if awaits_poll {
            WatchPhase::NotRequested
        } else {
            WatchPhase::Waiting { until: now + RECONNECT_PAUSE_S }
        };
        had_response
    }

    /// When the present phase ends by itself; infinite if it does not.
    pub fn deadline(&self) -> f64 {
        match self.phase {
            WatchPhase::NotRequested => f64::INFINITY,
            WatchPhase::Waiting { until } => until,
            WatchPhase::Opening { by } | WatchPhase::Open { by } => by,
        }
    }
}
