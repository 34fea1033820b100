//! What a seed draws: the deployment, how each router is run, and when which trouble happens.
use super::Soak;
use crate::draw;
use rand_pcg::Pcg32;
use std::fmt;

/// What a class of requests allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Idempotent,
    /// Repeats are dropped for so many seconds.
    Deduplicated(f64),
    AtMostOnce,
}

#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
    pub slo: f64,
    pub deadline: f64,
    /// Least share of an answer.
    pub floor: f64,
}

/// How a router is run.
#[derive(Clone, Debug)]
pub struct RouterPlan {
    /// Cores, by the operator's file; one is the platform's own program.
    pub cores: usize,
    /// Faults of system calls and clocks, as text for the preloaded library; none at all where it is empty.
    pub faults: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeTrouble {
    /// Takes parts and answers none.
    Hang,
    Slow,
    /// Answers `failed`.
    Fail,
    /// Answers `full`.
    Full,
    /// Answers that cannot be read.
    Garble,
    /// Half an answer, then the connection ends.
    Truncate,
    /// Answers twice.
    Twice,
    /// Closes connections on which nothing is out.
    CloseIdle,
    /// Accepts connections and resets them at once.
    Refuse,
    /// Answers, and sends replies to health checks at full speed as well.
    Floods,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkTrouble {
    /// Nothing passes from the router to the data node, back, or both ways, until it is over.
    HoldThere,
    HoldBack,
    HoldBoth,
    Delay,
    /// Answers come in small pieces.
    Drip,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryTrouble {
    /// Open watches and new ones say nothing.
    Silent,
    /// New connections are reset, watches end.
    Down,
    /// New watches get a head and nothing more.
    HeadOnly,
    /// Watches get empty lines at full speed, and no changes.
    EmptyLines,
}

/// What clients send that flood a router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FloodKind {
    EmptyLines,
    Ready,
    /// Requests with neither an id nor a time.
    NoId,
    /// Each request of a class that does not exist.
    NewClasses,
    /// Heads of very many short fields.
    ManyFields,
    /// The first part of large requests, on many connections.
    HalfRequests,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Node(usize, NodeTrouble),
    /// Resets all connections of a data node.
    ResetNode(usize),
    Link(usize, usize, LinkTrouble),
    Discovery(usize, DiscoveryTrouble),
    /// Ends a router's watches; with a reset or in order.
    CutWatch(usize, bool),
    Drain(usize),
    /// Leaves the list and ends a moment later.
    Remove(usize),
    /// Ends and starts again, cold, at once.
    RestartNode(usize),
    Terminate(usize),
    Kill(usize),
    /// Stands still for the trouble's span.
    Hold(usize),
    /// A new configuration that moves discovery, and SIGHUP.
    Reload(usize),
    /// A configuration that cannot be read, and SIGHUP.
    SpoiltReload(usize),
    /// Some clients of a router flood it.
    Flood(usize, FloodKind),
}

/// A signal beside the SIGTERM that begins a stop, so many seconds after it; before it where that is negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StopSignal {
    Terminate(f64),
    /// SIGHUP, with the configuration as it is.
    Reload(f64),
}

impl StopSignal {
    pub fn at(self) -> f64 {
        let (StopSignal::Terminate(at) | StopSignal::Reload(at)) = self;
        at
    }
}

/// What happens within a stop.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StopPlan {
    /// In their order.
    pub signals: Vec<StopSignal>,
    /// The process stands still from a moment on, for a span of what the pages allow; both in seconds.
    pub hold: Option<(f64, f64)>,
}

/// One trouble: what begins when, and for how long where it lasts.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub at: f64,
    pub lasts: f64,
    pub act: Act,
    /// For a stop: what happens within it.
    pub stop: StopPlan,
}

impl fmt::Display for Trouble {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:.2} for {:.2}: {:?}", self.at, self.lasts, self.act)?;
        for signal in &self.stop.signals {
            write!(out, ", {signal:.3?}")?;
        }
        self.stop.hold.map_or(Ok(()), |(at, span)| write!(out, ", held at {at:.3} for {span:.3}"))
    }
}

/// What all routers together may send to a data node that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that it starts with.
    pub initial_fraction: f64,
    /// Seconds until it is warm.
    pub warm_up: f64,
    /// It falls over past so many times the capacity that it has, within `span` seconds.
    pub multiple: f64,
    pub span: f64,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub seconds: f64,
    pub routers: Vec<RouterPlan>,
    pub nodes: usize,
    pub cells: usize,
    pub reach: usize,
    pub shards: u32,
    pub classes: Vec<Class>,
    /// Seconds after which nothing new may go to a data node that a router was told drains or is gone.
    pub grace: f64,
    /// Free attempts, ratio, and window in seconds of the budget for further attempts.
    pub budget: Option<(f64, f64, f64)>,
    /// The rule on data nodes that have just started, in some seeds.
    pub slow_start: Option<SlowStart>,
    pub troubles: Vec<Trouble>,
    /// What happens within the stop of each router at the end.
    pub last_stops: Vec<StopPlan>,
    /// Idle clients of each router; in some runs they fill the descriptors.
    pub crowds: Vec<usize>,
}

/// Draws with helpers for what is drawn most.
pub struct Chance(Pcg32);

impl Chance {
    pub fn new(seed: u64, stream: u64) -> Chance {
        Chance(Pcg32::new(seed, stream))
    }

    pub fn draw(&mut self) -> f64 {
        draw(&mut self.0)
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.draw()
    }

    pub fn below(&mut self, count: usize) -> usize {
        ((self.draw() * count as f64) as usize).min(count.saturating_sub(1))
    }

    pub fn happens(&mut self, share: f64) -> bool {
        self.draw() < share
    }

    pub fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.below(from.len())]
    }
}

const NODE_TROUBLES: [NodeTrouble; 9] = [
    NodeTrouble::Hang,
    NodeTrouble::Slow,
    NodeTrouble::Fail,
    NodeTrouble::Full,
    NodeTrouble::Garble,
    NodeTrouble::Truncate,
    NodeTrouble::Twice,
    NodeTrouble::CloseIdle,
    NodeTrouble::Refuse,
];
const LINK_TROUBLES: [LinkTrouble; 5] = [
    LinkTrouble::HoldThere,
    LinkTrouble::HoldBack,
    LinkTrouble::HoldBoth,
    LinkTrouble::Delay,
    LinkTrouble::Drip,
];
const FLOOD_KINDS: [FloodKind; 6] = [
    FloodKind::EmptyLines,
    FloodKind::Ready,
    FloodKind::NoId,
    FloodKind::NewClasses,
    FloodKind::ManyFields,
    FloodKind::HalfRequests,
];
/// Seconds between two floods, and of a flood, at most.
const FLOOD_PAUSE: f64 = 3.0;
const FLOOD_LASTS: f64 = 1.5;
const DISCOVERY_TROUBLES: [DiscoveryTrouble; 3] =
    [DiscoveryTrouble::Silent, DiscoveryTrouble::Down, DiscoveryTrouble::HeadOnly];
/// Faults inside a router's process; each process draws some of them. Those that would end a start begin after it.
const PROCESS_FAULTS: [&str; 10] = [
    "eintr=0.01",
    "short=0.05",
    "nobufs=0.003",
    "accept=0.1",
    "noport=0.03@1-",
    "noroute=0.02@1-",
    "nosocket=0.03@1-",
    "hold=0.002",
    "wall=3600@4-",
    "wobble=3600",
];

/// The users' protocol: SIGKILL comes no sooner than the longest deadline, counted as 3 s at most, and 0.7 s.
const KILL_AFTER_DEADLINE: f64 = 0.7;
const LONGEST_DEADLINE: f64 = 3.0;
/// The users' standing test: a router may be held up so long between its clock and its write, or within a stop.
pub const HELD_UP: f64 = 0.15;
const SERIES_SHARE: f64 = 0.6;
const SERIES_MOST: usize = 5;
const STOP_HOLD_SHARE: f64 = 0.6;
/// Share of seeds in which some routers have a crowd, and of their routers that have one.
const CROWD_SHARE: f64 = 0.3;
const CROWDED_ROUTERS: f64 = 0.4;
/// Share of seeds that have a rule on data nodes that have just started.
const SLOW_START_SHARE: f64 = 0.5;
/// More than a router has descriptors.
const CROWD_CLIENTS: usize = 300;

/// Half of a stop's signals come in quick succession with SIGTERM.
fn draw_signal(chance: &mut Chance, limit: f64) -> StopSignal {
    let quick = chance.happens(0.5);
    if chance.happens(0.5) {
        StopSignal::Terminate(if quick { chance.between(0.0, 0.03) } else { chance.between(0.0, limit) })
    } else {
        StopSignal::Reload(if quick { chance.between(-0.03, 0.03) } else { chance.between(-0.5, limit) })
    }
}

/// Half of the holds come in the last part of a stop, where little time is left to make up for them.
fn draw_moment(chance: &mut Chance, limit: f64) -> f64 {
    let earliest = if chance.happens(0.5) { limit - 0.6 } else { 0.0 };
    chance.between(earliest, limit - 0.05)
}

fn draw_slow_start(chance: &mut Chance) -> Option<SlowStart> {
    let rule = SlowStart {
        initial_fraction: chance.between(0.15, 0.3),
        warm_up: chance.between(2.0, 5.0),
        multiple: chance.between(2.0, 3.0),
        span: chance.between(0.5, 1.5),
    };
    chance.happens(SLOW_START_SHARE).then_some(rule)
}

impl Scenario {
    pub fn drawn(soak: &Soak, seed: u64) -> Scenario {
        let mut chance = Chance::new(seed, 11);
        let without = |name: &str| soak.without.iter().any(|word| name.to_lowercase().contains(word));
        let plan = |chance: &mut Chance| {
            let mut faults = String::new();
            for fault in PROCESS_FAULTS {
                if chance.happens(0.25) && !without(fault) {
                    faults = format!("{faults} {fault}");
                }
            }
            let cores = if chance.happens(0.25) && !without("cores") { 2 } else { 1 };
            RouterPlan { cores, faults }
        };
        let routers = (0..soak.routers).map(|_| plan(&mut chance)).collect();
        let class = |chance: &mut Chance, name, effect, floor| {
            let slo = chance.between(0.3, 0.6);
            Class { name, effect, slo, deadline: slo * chance.between(1.5, 4.0), floor }
        };
        let window = chance.between(0.3, 1.0);
        let floor = chance.pick(&[1.0, 0.5]);
        let classes = vec![
            class(&mut chance, "read", Effect::Idempotent, floor),
            class(&mut chance, "keyed", Effect::Deduplicated(window), 1.0),
            class(&mut chance, "write", Effect::AtMostOnce, 1.0),
        ];
        let (cells, reach) = if chance.happens(0.5) { (1, 1) } else { (3, 2) };
        let mut scenario = Scenario {
            seed,
            seconds: soak.seconds,
            routers,
            nodes: soak.nodes,
            cells,
            reach,
            shards: 12,
            classes,
            grace: chance.pick(&[0.25, 0.5, 1.0]),
            budget: chance.happens(0.5).then_some((10.0, 0.05, 10.0)),
            slow_start: None,
            troubles: vec![],
            last_stops: vec![],
            crowds: vec![],
        };
        scenario.draw_troubles(&mut chance, &without);
        scenario.draw_floods(&mut Chance::new(seed, 16), &without);
        scenario.draw_stops(&mut Chance::new(seed, 13), &without);
        scenario.draw_crowds(&mut Chance::new(seed, 14), &without);
        scenario.slow_start = draw_slow_start(&mut Chance::new(seed, 15)).filter(|_| !without("cold"));
        scenario
    }

    /// The users' protocol: how long after SIGTERM a SIGKILL comes at the earliest.
    pub fn stop_limit(&self) -> f64 {
        let longest = self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        longest.min(LONGEST_DEADLINE) + KILL_AFTER_DEADLINE
    }

    fn draw_stops(&mut self, chance: &mut Chance, without: &impl Fn(&str) -> bool) {
        let limit = self.stop_limit();
        let plan = |chance: &mut Chance| {
            let mut signals = vec![];
            if chance.happens(SERIES_SHARE) && !without("series") {
                signals = (0..1 + chance.below(SERIES_MOST)).map(|_| draw_signal(chance, limit)).collect();
                signals.sort_by(|one, other| one.at().total_cmp(&other.at()));
            }
            let holds = chance.happens(STOP_HOLD_SHARE) && !without("stophold");
            let hold = holds.then(|| (draw_moment(chance, limit), chance.between(0.05, HELD_UP)));
            StopPlan { signals, hold }
        };
        for trouble in &mut self.troubles {
            if matches!(trouble.act, Act::Terminate(_)) {
                trouble.stop = plan(chance);
            }
        }
        self.last_stops = self.routers.iter().map(|_| plan(chance)).collect();
    }

    fn draw_crowds(&mut self, chance: &mut Chance, without: &impl Fn(&str) -> bool) {
        let has_crowd = chance.happens(CROWD_SHARE) && !without("crowd");
        let crowd = |chance: &mut Chance| {
            if has_crowd && chance.happens(CROWDED_ROUTERS) { CROWD_CLIENTS } else { 0 }
        };
        self.crowds = self.routers.iter().map(|_| crowd(chance)).collect();
    }

    /// Floods come one after the other: of clients, of a data node, or of discovery.
    fn draw_floods(&mut self, chance: &mut Chance, without: &impl Fn(&str) -> bool) {
        let mut at = chance.between(0.5, FLOOD_PAUSE);
        while at < self.seconds - 0.5 {
            let (router, node) = (chance.below(self.routers.len()), chance.below(self.nodes));
            let act = match chance.below(8) {
                0 => Act::Node(node, NodeTrouble::Floods),
                1 => Act::Discovery(router, DiscoveryTrouble::EmptyLines),
                _ => Act::Flood(router, chance.pick(&FLOOD_KINDS)),
            };
            let lasts = chance.between(0.3, FLOOD_LASTS);
            if !without(&format!("{act:?}")) && !without("flood") {
                self.troubles.push(Trouble { at, lasts, act, stop: StopPlan::default() });
            }
            at += lasts + chance.between(0.0, FLOOD_PAUSE);
        }
        self.troubles.sort_by(|one, other| one.at.total_cmp(&other.at));
    }

    /// Troubles begin every quarter of a second in the mean and last longer than that, so that several overlap.
    fn draw_troubles(&mut self, chance: &mut Chance, without: &impl Fn(&str) -> bool) {
        let mut at = 1.0;
        while at < self.seconds - 1.0 {
            let (router, node) = (chance.below(self.routers.len()), chance.below(self.nodes));
            let act = match chance.below(20) {
                0..=4 => Act::Node(node, chance.pick(&NODE_TROUBLES)),
                5 => Act::ResetNode(node),
                6..=8 => Act::Link(router, node, chance.pick(&LINK_TROUBLES)),
                9 => Act::Discovery(router, chance.pick(&DISCOVERY_TROUBLES)),
                10 => Act::CutWatch(router, chance.happens(0.5)),
                11 | 12 => Act::Drain(node),
                13 => Act::Remove(node),
                14 => Act::RestartNode(node),
                15 | 16 => Act::Terminate(router),
                17 => Act::Kill(router),
                18 => Act::Hold(router),
                _ if chance.happens(0.7) => Act::Reload(router),
                _ => Act::SpoiltReload(router),
            };
            let longest = match act {
                Act::Hold(_) => 0.8,
                Act::Discovery(..) => 6.0,
                _ => 2.5,
            };
            let lasts = chance.between(0.1, longest);
            if !without(&format!("{act:?}")) {
                self.troubles.push(Trouble { at, lasts, act, stop: StopPlan::default() });
            }
            at += chance.between(0.05, 0.45);
        }
    }

    /// The cell of a data node by its number.
    pub fn cell(&self, node: usize) -> usize {
        node % self.cells
    }

    /// The settings as routers read them.
    pub fn settings(&self) -> String {
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        let service = |class: &Class| {
            let (effect, window) = match class.effect {
                Effect::Idempotent => ("idempotent", 0.0),
                Effect::Deduplicated(window) => ("deduplicated", window),
                Effect::AtMostOnce => ("at_most_once", 0.0),
            };
            let (slo, deadline, window) = (micros(class.slo), micros(class.deadline), micros(window));
            format!(
                r#"{{"Name":"{}","PromiseUs":{slo},"DeadlineUs":{deadline},"Effect":"{effect}","WindowUs":{window},"Worth":1,"LateShare":0.3}}"#,
                class.name
            )
        };
        let services: Vec<String> = self.classes.iter().map(service).collect();
        let floors: Vec<String> = self.classes.iter().map(|class| class.floor.to_string()).collect();
        let budget = self.budget.map(|(free, ratio, window)| {
            format!(r#""ExtraFree":{free},"ResendRatio":{ratio},"CountedOverUs":{}"#, micros(window))
        });
        let slow_start = self.slow_start.map(|rule| {
            let SlowStart { initial_fraction, warm_up, multiple, span } = rule;
            format!(
                r#""ColdFrom":{initial_fraction},"WarmUpUs":{},"FallMultiple":{multiple},"FallUs":{}"#,
                micros(warm_up),
                micros(span)
            )
        });
        let obligations: Vec<String> = budget.into_iter().chain(slow_start).collect();
        format!(
            r#"{{"Extra":{{"Cells":{},"Reach":{},"Slices":{},"BundleMax":4,"PerCallWorkUs":2000,
            "ClassNeed":[1,1,1],"FloorByClass":[{}]}},
            "Discovery":"automatic","TickUs":2000,"ReplicasOfMe":{},"Obligations":{{{}}},
            "Limits":{{"MayCancel":true,"ParallelTries":true,"MaxAttempts":4,"MaxOpen":400,
            "StreamsPerConn":4,"DialTimeoutUs":250000,"KeepaliveUs":3000000}},
            "Services":[{}]}}"#,
            self.cells,
            self.reach,
            self.shards,
            floors.join(","),
            self.routers.len(),
            obligations.join(","),
            services.join(",")
        )
    }
}
