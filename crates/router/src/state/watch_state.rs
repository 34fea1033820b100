//! How long discovery's watch may keep quiet, and when the next is opened. It is told what happens and when, and
//! knows no socket and no clock. The longest time from when discovery has a change and can be reached to when this
//! router is told of it follows from the three spans here, and from how soon the module asks again where it must.

/// PROTOCOL: an empty line comes every 2 s while nothing changes. A watch that misses one by half is lost.
pub const SILENCE_TIMEOUT_S: f64 = 3.0;
/// The agent is on the router's own machine and answers at once: a connection that has brought no head of an
/// answer by then brings none. Guards against an agent that accepts and says nothing.
pub const RESPONSE_TIMEOUT_S: f64 = 1.0;
/// Between two watches.
pub const RECONNECT_PAUSE_S: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchPhase {
    /// Changes come only when asked for, and the module has not asked.
    NotRequested,
    /// No watch; the next one opens then.
    Waiting { until: f64 },
    /// A connection comes up, or its answer has not begun; it is lost then.
    Opening { by: f64 },
    /// Told something last so long ago that it is lost then, unless more comes whole.
    Open { by: f64 },
}

/// One router's following of discovery.
#[derive(Debug)]
pub struct WatchState {
    on_request: bool,
    pub phase: WatchPhase,
}

impl WatchState {
    /// `asks` where changes come only when the module asks for them.
    pub fn new(asks: bool) -> Self {
        let state = if asks { WatchPhase::NotRequested } else { WatchPhase::Waiting { until: 0.0 } };
        WatchState { on_request: asks, phase: state }
    }

    /// The next watch opens now: its time has come, the module asks for it, or discovery has moved.
    pub fn open(&mut self, now: f64) {
        self.phase = WatchPhase::Opening { by: now + RESPONSE_TIMEOUT_S };
    }

    /// The head of the answer has come: the agent is there, and has yet to say what it has.
    pub fn response_started(&mut self) {
        if let WatchPhase::Opening { by } = self.phase {
            self.phase = WatchPhase::Open { by: by - RESPONSE_TIMEOUT_S + SILENCE_TIMEOUT_S };
        }
    }

    /// A blank line or an object has come whole. Bytes alone say nothing: guards against a watch that drips, or that
    /// never ends what it began.
    pub fn update_received(&mut self, now: f64) {
        self.phase = WatchPhase::Open { by: now + SILENCE_TIMEOUT_S };
    }

    /// The watch is lost; true where one that had answered is. What the module asked for and never got an answer to
    /// is still asked for.
    pub fn lost(&mut self, now: f64) -> bool {
        let answered = matches!(self.phase, WatchPhase::Open { .. });
        let ask = answered && self.on_request;
        self.phase = if ask {
            WatchPhase::NotRequested
        } else {
            WatchPhase::Waiting { until: now + RECONNECT_PAUSE_S }
        };
        answered
    }

    /// When the present state ends by itself.
    pub fn deadline(&self) -> f64 {
        match self.phase {
            WatchPhase::NotRequested => f64::INFINITY,
            WatchPhase::Waiting { until } => until,
            WatchPhase::Opening { by } | WatchPhase::Open { by } => by,
        }
    }
}
