//! How long discovery's watch may keep quiet, and when the next is opened. It is told what happens and when, and
//! knows no socket and no clock. The longest time from when discovery has a change and can be reached to when this
//! router is told of it follows from the three spans here, and from how soon the module asks again where it must.

/// PROTOCOL: an empty line comes every 2 s while nothing changes. A watch that misses one by half is lost.
pub const SILENCE: f64 = 3.0;
/// The agent is on the router's own machine and answers at once: a connection that has brought no head of an
/// answer by then brings none. Guards against an agent that accepts and says nothing.
pub const ANSWER: f64 = 1.0;
/// Between two watches.
pub const PAUSE: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WatchPhase {
    /// Changes come only when asked for, and the module has not asked.
    Unasked,
    /// No watch; the next one opens then.
    Pausing { until: f64 },
    /// A connection comes up, or its answer has not begun; it is lost then.
    Opening { by: f64 },
    /// Told something last so long ago that it is lost then, unless more comes whole.
    Open { by: f64 },
}

/// One router's following of discovery.
#[derive(Debug)]
pub struct WatchState {
    asks: bool,
    pub state: WatchPhase,
}

impl WatchState {
    /// `asks` where changes come only when the module asks for them.
    pub fn new(asks: bool) -> Self {
        let state = if asks { WatchPhase::Unasked } else { WatchPhase::Pausing { until: 0.0 } };
        WatchState { asks, state }
    }

    /// The next watch opens now: its time has come, the module asks for it, or discovery has moved.
    pub fn open(&mut self, now: f64) {
        self.state = WatchPhase::Opening { by: now + ANSWER };
    }

    /// The head of the answer has come: the agent is there, and has yet to say what it has.
    pub fn answered(&mut self) {
        if let WatchPhase::Opening { by } = self.state {
            self.state = WatchPhase::Open { by: by - ANSWER + SILENCE };
        }
    }

    /// A blank line or an object has come whole. Bytes alone say nothing: guards against a watch that drips, or that
    /// never ends what it began.
    pub fn heard(&mut self, now: f64) {
        self.state = WatchPhase::Open { by: now + SILENCE };
    }

    /// The watch is lost; true where one that had answered is. What the module asked for and never got an answer to
    /// is still asked for.
    pub fn lost(&mut self, now: f64) -> bool {
        let answered = matches!(self.state, WatchPhase::Open { .. });
        let ask = answered && self.asks;
        self.state = if ask { WatchPhase::Unasked } else { WatchPhase::Pausing { until: now + PAUSE } };
        answered
    }

    /// When the present state ends by itself.
    pub fn due(&self) -> f64 {
        match self.state {
            WatchPhase::Unasked => f64::INFINITY,
            WatchPhase::Pausing { until } => until,
            WatchPhase::Opening { by } | WatchPhase::Open { by } => by,
        }
    }
}
