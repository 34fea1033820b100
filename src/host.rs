//! The interface between the decision module and whatever hosts it: what comes in, what goes out, and
//! the plain trade types that both sides speak. Times are seconds; ids are kept as they came.

/// What a second run of a part would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Repeatable,
    /// Repeats are dropped for so long after the first call that may have run.
    Deduplicated {
        window: f64,
    },
    SideEffecting,
}

/// One sort of query.
#[derive(Clone, Debug)]
pub struct Vertical {
    pub slo: f64,
    pub deadline: f64,
    pub effect: Effect,
    pub utility: f64,
    /// Share of the utility left when the answer comes after the SLO time.
    pub late_share: f64,
    /// Share of the parts' weight that makes a whole answer.
    pub need: f64,
    /// Least share of the weight that may be answered.
    pub floor: f64,
    /// Parts of a second step; 0 where there is one step only.
    pub fetch: usize,
}

/// A customer and what it may ask of one query router within its share.
#[derive(Clone, Debug)]
pub struct Customer {
    pub name: String,
    pub quota: f64,
}

/// Where shards lie: shard s is held by the cells (s + j) mod `cells`, j below `reach`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    pub cells: u32,
    pub reach: u32,
    /// Most parts in one call, and the work that a call costs beside its parts.
    pub bundle: usize,
    pub call_work: f64,
}

impl Placement {
    /// How many cells a cell lies past the first one of a shard.
    pub fn steps(&self, cell: u32, shard: u32) -> u32 {
        (cell % self.cells + self.cells - shard % self.cells) % self.cells
    }

    /// The cells that hold a shard, from its first one on.
    pub fn holding(&self, shard: u32) -> impl Iterator<Item = u32> {
        let (cells, first) = (self.cells, shard % self.cells);
        (0..self.reach.min(cells)).map(move |step| (first + step) % cells)
    }

    pub fn holds(&self, cell: u32, shard: u32) -> bool {
        self.steps(cell, shard) < self.reach
    }
}

/// What the deployment allows a query router to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    pub cancel: bool,
    pub parallel: bool,
    pub calls: usize,
    /// Longest come-back advice that clients follow; none where it is not passed on.
    pub come_back: Option<f64>,
    /// Roster changes come only when followed.
    pub follow: bool,
    /// Share of the usual utility that traffic beyond a customer's share has.
    pub over_share: f64,
}

/// The stated budget for leaf calls past a part's first.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    pub free: f64,
    pub ratio: f64,
}

/// When a cold data node is pushed over.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    pub share: f64,
    pub warm_up: f64,
    pub multiple: f64,
    pub span: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NodeState {
    #[default]
    Serving,
    Draining,
    Gone,
}

/// How a leaf call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Success,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Reset,
    Cancelled,
    NeverSent,
}

impl Ending {
    /// True where the ending proves that the call had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreachable | Ending::NeverSent)
    }
}

/// What a host tells the module; one call for each thing that came in, in order.
pub trait Intake {
    /// The roster that follows is the whole one: nodes that it does not name are gone.
    fn roster_whole(&mut self);
    fn roster_entry(&mut self, node: &str, cell: u32, state: NodeState, started: Option<f64>);
    /// Following or asking for the roster failed; the old one holds.
    fn roster_failed(&mut self);
    fn query(&mut self, number: u64, id: &str, vertical: usize, customer: &str, not_after: f64);
    fn part(&mut self, number: u64, id: &str, shard: u32, weight: f64);
    fn call_ended(&mut self, part: &str, hop: usize, node: &str, ending: Ending, latency: f64);
    fn client_left(&mut self, query: &str);
    fn alarm(&mut self, tag: u64);
}

/// Where the module writes its decisions, in the order in which they are to happen.
pub trait Writer {
    /// Starts a leaf call; `limit` is its time-out.
    fn call(&mut self, part: &str, node: &str, limit: f64);
    fn cancel(&mut self, part: &str, hop: usize);
    fn answer(&mut self, query: &str, whole: bool);
    fn reject(&mut self, query: &str, come_back: Option<f64>);
    fn abort(&mut self, query: &str);
    fn alarm(&mut self, span: f64, tag: u64);
    fn follow_roster(&mut self);
    fn remark(&mut self, text: &str);
}
