//! What a round costs the module: queries are open, one leaf call after the other ends, and each round with it is timed.
//! Nothing here but the module; an example takes this file as it is.
use alderway::interface::*;
use alderway::policy::Policy;
use std::collections::BTreeMap;
use std::time::Instant;

/// What is open, and on how many nodes.
#[derive(Clone, Debug)]
pub struct Shape {
    pub nodes: u32,
    pub cells: u32,
    pub reach: u32,
    pub parts: u64,
    /// Queries that are open.
    pub open: u64,
    /// Each is followed by another when it is answered, so that as many stay open.
    pub followed: bool,
    /// Query routers beside this one.
    pub peers: usize,
    pub slo: f64,
    pub deadline: f64,
    pub budget: Option<RetryBudget>,
    /// One leaf call in two is turned away; otherwise all succeed.
    pub turned_away: bool,
    pub rounds: usize,
    pub seed: u64,
}

/// Microseconds of each round, least first; and how many of all parts waited after they had come.
#[derive(Clone, Debug)]
pub struct Measured {
    pub spent: Vec<f64>,
    pub waiting: u64,
}

impl Measured {
    /// Microseconds that this share of rounds took at the most.
    pub fn quantile(&self, share: f64) -> f64 {
        let at = (self.spent.len() as f64 * share) as usize;
        self.spent.get(at.min(self.spent.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
    }
}

#[derive(Default)]
struct Decided {
    calls: Vec<(String, String)>,
    answered: u64,
}

impl DecisionSink for Decided {
    fn start_attempt(&mut self, part: &str, node: &str, _limit: f64) {
        self.calls.push((part.into(), node.into()));
    }
    fn cancel_attempt(&mut self, _part: &str, _hop: usize) {}
    fn answer(&mut self, _query: &str, _whole: bool) {
        self.answered += 1;
    }
    fn reject(&mut self, _query: &str, _come_back: Option<f64>) {
        self.answered += 1;
    }
    fn fail(&mut self, _query: &str) {
        self.answered += 1;
    }
    fn set_timer(&mut self, _span: f64, _tag: u64) {}
    fn poll_endpoints(&mut self) {}
    fn log(&mut self, _text: &str) {}
}

fn round(router: &mut Policy, now: f64, came_in: impl FnOnce(&mut dyn PolicyInput)) -> Decided {
    let mut decided = Decided::default();
    let told = |intake: &mut dyn PolicyInput| {
        came_in(intake);
        Ok::<(), ()>(())
    };
    router.round(now, told, &mut decided).expect("nothing here can be malformed");
    decided
}

/// Queries come in, of so many parts each, on shards that follow one another.
fn come(intake: &mut dyn PolicyInput, shape: &Shape, numbers: std::ops::Range<u64>, now: f64) {
    let weight = 1.0 / shape.parts as f64;
    for q in numbers {
        intake.query_arrived(q, &format!("q{q}"), 0, "", now + shape.deadline);
        for p in 0..shape.parts {
            let shard = ((q * shape.parts + p) % u64::from(shape.cells)) as u32;
            intake.shard_request_added(q, &format!("p{q}.{p}"), shard, weight);
        }
    }
}

pub fn measure(shape: &Shape) -> Measured {
    let Shape { nodes, cells, reach, open, .. } = *shape;
    let placement = ShardPlacement {
        replica_groups: cells,
        groups_per_shard: reach,
        max_batch: 1,
        ..ShardPlacement::default()
    };
    let vertical = QueryClass {
        latency_objective_s: shape.slo,
        deadline_s: shape.deadline,
        idempotency: Idempotency::Idempotent,
        priority_weight: 1.0,
        late_weight_fraction: 0.3,
        complete_fraction: 1.0,
        minimum_fraction: 1.0,
        second_phase_requests: 0,
    };
    let allowance = RouterCapabilities {
        can_cancel: true,
        can_hedge: true,
        max_attempts: 4,
        ..RouterCapabilities::default()
    };
    let (peers, verticals, budget) = (shape.peers, vec![vertical], shape.budget);
    let terms = PolicyConfig {
        router_count: peers,
        query_classes: verticals,
        placement,
        capabilities: allowance,
        retry_budget: budget,
        ..PolicyConfig::default()
    };
    let mut router = Policy::new(shape.seed, terms);
    round(&mut router, 100.0, |r| {
        (0..nodes).for_each(|n| r.endpoint_updated(&format!("n{n}"), n % cells, NodeState::Serving, None));
    });
    let Decided { mut calls, .. } = round(&mut router, 100.0, |r| come(r, shape, 0..open, 100.0));
    let waiting = (open * shape.parts).saturating_sub(calls.len() as u64);
    let (mut hops, mut next, mut spent) = (BTreeMap::<String, usize>::new(), open, vec![]);
    for step in 0..shape.rounds {
        let Some((part, node)) = calls.pop() else { break };
        let hop = hops.entry(part.clone()).or_insert(0);
        let ended = std::mem::replace(hop, *hop + 1);
        let ending = if shape.turned_away && step % 2 == 0 {
            AttemptOutcome::Rejected
        } else {
            AttemptOutcome::Success
        };
        let now = 100.0 + 0.0001 * step as f64;
        let from = Instant::now();
        let decided = round(&mut router, now, |r| r.attempt_ended(&part, ended, &node, ending, 0.01));
        spent.push(from.elapsed().as_secs_f64() * 1e6);
        calls.extend(decided.calls);
        if shape.followed && decided.answered > 0 {
            let numbers = next..next + decided.answered;
            next = numbers.end;
            calls.extend(round(&mut router, now, |r| come(r, shape, numbers, now)).calls);
        }
    }
    spent.sort_by(f64::total_cmp);
    Measured { spent, waiting }
}
