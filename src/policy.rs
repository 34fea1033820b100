//! The decision module: which data node each part of a query goes to, when a copy or another leaf call
//! follows, when an answer goes back, and what is rejected. A host makes one `Policy` for each query router,
//! or for each core of one, and calls `round` once for all that came in at one moment; decisions go straight
//! into the writer. Why things are as they are is in `docs/design.md`; the interface is in `src/interface.rs`.

use crate::interface::*;
use crate::kept::{ByAge, Call, Part, Pcg, Recent, share};
mod moves;
mod settings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const LOOK: f64 = 0.010; // Seconds between two looks at what is open.
const AHEAD: f64 = 0.030; // How far ahead of a limit a final answer goes out.
const SLACK: f64 = 0.00005; // What sums of weights may fall short by.
const SILENT: f64 = 2.5; // A node that answered nothing for so many times a part's delay is silent.
const MAX_COPIES: usize = 2;
const LEARNED: usize = 12; // So many latencies of a shard tell its delay; no more are taken over.
const LITTLE: f64 = 0.27; // A late answer worth less of the utility goes in a jam.
const HEARSAY: f64 = 0.5; // How long a node is silent on another core's word, told again while it lasts.

#[derive(Default)]
pub struct Policy {
    now: f64,
    awake: f64, // The clock of lateness, which leaves out what this router itself stood still.
    chance: Pcg,
    peers: f64,
    verticals: Vec<QueryClass>,
    customers: Vec<(Tenant, f64, f64)>,
    calls: u64, // Calls made so far.
    placement: ShardPlacement,
    allowance: RouterCapabilities,
    cold: Option<SlowStartConfig>,
    common: SharedLimits,
    purse: Purse,
    nodes: BTreeMap<String, Node>,
    serving: BTreeMap<u32, Vec<String>>, // Ids of serving nodes by cell, made anew after a roster change.
    shards: BTreeMap<u32, Shard>,
    /// Shards for which no holder has room in this round for a first call of a vertical.
    full: BTreeSet<(u32, usize)>,
    usual: Vec<Recent>,
    bare: Vec<f64>,
    queries: BTreeMap<u64, Query>,
    out: ByAge<(u32, usize)>, // Calls that may still be out, by shard and vertical.
    parts: BTreeMap<String, (u64, usize)>,
    longest_try: Vec<f64>,
    unserved: f64, // Queries given up or left, of which clients may come again.
    dearest: f64,
    /// Smoothed odds of rejection, and whether they are high enough to say so.
    jam: f64,
    shedding: bool,
    follow_at: f64,
    alarm_set: bool,
    over: VecDeque<(f64, u32, u32)>, // When the fleet told of so many queries over late, and in time.
    wary_until: f64,                 // What died under a call of this router may be cold until then.
}

#[derive(Default)]
struct Node {
    cell: u32,
    state: NodeState,
    started: Option<f64>,
    /// Leaf calls not yet ended, by part and number: when sent, and the delay then.
    calls: BTreeMap<(String, usize), (f64, f64)>,
    cap: f64, // Most parts in flight from this query router.
    heard: f64,
    late_until: f64,
    far_until: f64,
    rest: f64,
    failures: i32,
    broke_at: f64,
    shun_until: f64,
    cold_work: VecDeque<(f64, f64)>, // Work sent while cold, with its time.
    /// Number of this router's latest call that went to it.
    turn: u64,
    phase: f64, // Where in its turn this router is among those that send while it is cold, from 0 to 1.
    /// What other cores saw; never told on.
    hearsay: Hearsay,
    /// Whether own calls ended since this core last told of the node, and when; what it told, and until when.
    observed: bool,
    noted: f64,
    told: (u8, f64),
    standing: u8, // As judged at the start of this round.
    /// How long a part may wait for it: as the oldest has; while it is silent, as long again as it was.
    wait: f64,
}

/// Until when others' word makes a node late, far too late or sick, and when they saw it.
#[derive(Clone, Copy, Default)]
struct Hearsay {
    seen: f64,
    late_until: f64,
    far_until: f64,
    sick_until: f64,
}

#[derive(Default)]
struct Shard {
    turn: usize,
    recent: Recent,
}

#[derive(Default)]
struct Query {
    id: String,
    vertical: usize,
    over_share: bool,
    again: bool,
    at: f64,
    not_after: f64,
    slo_at: f64,
    admitted: bool,
    second_step: bool,
    first_whole: bool,
    expected: usize,
    /// When it is next looked at, unless something comes in or a part of it is late before.
    look_at: f64,
    parts: Vec<Part>,
}

/// The token bucket: earns a ratio for each part taken, pays whole tokens. With a stated budget it
/// pays for every leaf call past a first one, so no window can see more than `free` + ratio x parts.
#[derive(Default)]
struct Purse {
    ratio: f64,
    capacity: f64,
    stated: bool,
}

impl Purse {
    fn new(budget: Option<RetryBudget>) -> Self {
        let ratio = budget.map_or(0.1, |b| b.ratio.min(0.1));
        let capacity = budget.map_or(40.0, |b| b.burst.min(40.0));
        Purse { ratio, capacity, stated: budget.is_some() }
    }
}

impl Node {
    /// 0: in turn. 1: late, passed over while another holder is not. 2: far too late, behind those. 3: sick,
    /// last resort only: it refuses connections, fails again and again, or has answered nothing since it was
    /// sent a part now long past its delay (guards against hung, silent and very slow nodes; a pause hurts).
    fn judged(&self, now: f64, silent: f64) -> u8 {
        let age = |(at, delay): &(f64, f64)| (now - at) / delay;
        let oldest = self.calls.values().map(age).fold(0.0, f64::max);
        let unheard = self.calls.values().any(|c| age(c) > silent && self.heard < c.0);
        match () {
            _ if self.shun_until > now || unheard => 3,
            _ if self.far_until > now => 2,
            _ if oldest > 1.0 || self.late_until > now => 1,
            _ => 0,
        }
    }

    /// The same by what others saw.
    fn rumoured(&self, now: f64) -> u8 {
        let (hearsay, at) = (&self.hearsay, |until: f64, standing| if until > now { standing } else { 0 });
        at(hearsay.sick_until, 3).max(at(hearsay.far_until, 2)).max(at(hearsay.late_until, 1))
    }

    /// Takes in what another core saw, `age` seconds ago; what one saw oneself since outranks it (guards
    /// against wrong word on a node that answers here). Word of an answer in time ends what was held.
    fn hear(&mut self, now: f64, age: f64, word: NodeObservation) {
        let (seen, sound) =
            (now - age, word.slow_for_s.max(word.very_slow_for_s).max(word.unresponsive_for_s) <= 0.0);
        let own = if sound { self.noted } else { self.heard };
        if age < 0.0 || seen <= own || seen <= self.hearsay.seen {
            return;
        }
        let until = |span: f64| seen + span.clamp(0.0, 30.0);
        let (late, far, sick) =
            (until(word.slow_for_s), until(word.very_slow_for_s), until(word.unresponsive_for_s));
        self.hearsay = Hearsay { seen, late_until: late, far_until: far, sick_until: sick };
        if sound {
            (self.rest, self.failures, self.told) = (0.0, 0, (0, now));
            self.late_until = self.late_until.min(now);
            self.far_until = self.far_until.min(now);
            self.shun_until = self.shun_until.min(now);
        }
    }

    /// What others should know: own calls show another standing than was told, or the same for longer, or the
    /// node answers here though others say that it does not.
    fn news(&mut self, now: f64, clock: f64, own: u8) -> Option<NodeObservation> {
        let doubted = self.rumoured(now) > 0 && self.hearsay.seen < self.heard && self.late_until <= now;
        let left = |until: f64| (until - now).max(0.0);
        let silent = own == 3 && self.shun_until <= now;
        let sick = if silent { HEARSAY } else { left(self.shun_until) };
        let until = now + sick.max(left(self.late_until));
        let longer =
            own > 0 && until > self.told.1 + if silent { 0.5 * HEARSAY } else { 0.1 * (until - now) };
        if !(silent || std::mem::take(&mut self.observed)) || !(own != self.told.0 || longer || doubted) {
            return None;
        }
        self.told = (own, until);
        self.hearsay =
            if doubted { Hearsay { seen: self.heard, ..Hearsay::default() } } else { self.hearsay };
        let (started, late, far) = (self.started, left(self.late_until), left(self.far_until));
        Some(NodeObservation {
            started_at_s: started,
            observed_at_s: clock,
            slow_for_s: late,
            very_slow_for_s: far,
            unresponsive_for_s: sick,
        })
    }

    /// Takes in how a leaf call ended. The cap on parts in flight grows by answers well inside the SLO time
    /// and shrinks by those beyond, so that waiting happens here, where it can still go elsewhere.
    fn ended(&mut self, now: f64, ending: AttemptOutcome, latency: f64, delay: f64, slo: f64, least: f64) {
        let (late, sent) = (latency > delay, now - latency);
        (self.observed, self.noted) = (true, now);
        match ending {
            AttemptOutcome::Success => {
                (self.heard, self.failures, self.shun_until) = (now, 0, now);
                if latency < 0.15 * slo {
                    self.cap = (self.cap + 1.0 / self.cap).min(24.0);
                } else if latency > 0.25 * slo {
                    self.cap = (self.cap * 0.85).max(1.0);
                }
            }
            AttemptOutcome::Rejected => (self.heard, self.cap) = (now, (self.cap * 0.6).max(1.0)),
            AttemptOutcome::Error | AttemptOutcome::Unreachable | AttemptOutcome::ConnectionReset => {
                // A connection breaks with all its calls: one failure, only a refused dial makes two of it.
                let same =
                    ending != AttemptOutcome::Error && std::mem::replace(&mut self.broke_at, now) == now;
                self.failures += if same { 0 } else { 1 + i32::from(ending == AttemptOutcome::Unreachable) };
                // Six seconds at most: what discovery has to tell of a node counts as told by then.
                let shun = (1.6f64.powi(self.failures).min(16.0) * least.max(0.25)).min(6.0);
                self.shun_until = if self.failures > 1 { now + shun } else { self.shun_until };
            }
            // Nothing heard since the call went out: its next trial is a single part.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if late && self.heard < sent => {
                self.cap = 1.0
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if late => {
                self.cap = (self.cap * 0.85).max(1.0)
            }
            _ => {}
        }
        // Passed over for a rest that doubles while it stays late; the more peers, the longer.
        if late || ending == AttemptOutcome::Rejected {
            self.rest = (self.rest * 2.0).clamp(least, least + 10.0);
            self.late_until = now + self.rest;
            // Guards against trouble that only some see: where all holders are late at times, being late does
            // not tell a slow or far node from a sound one, being far too late does.
            self.far_until = if latency > SILENT * delay { self.late_until } else { self.far_until };
        } else if ending == AttemptOutcome::Success {
            (self.rest, self.late_until, self.far_until) = (0.0, now, now);
        }
    }

    /// How many more parts of `work` seconds each the node may be sent now, and the span in which no other
    /// core may send, none for a warm node. A warm node with any room takes a whole bundle, past its cap: in
    /// a jam single parts would each pay for a call. A cold one is held to this router's share of what pushes
    /// it over, taken as one core; where that is under one part a span, it is one part in as long as the
    /// share takes, the first after a part of that drawn by chance, so that peers do not send in step.
    fn room(
        &self,
        now: f64,
        work: f64,
        peers: f64,
        cold: Option<SlowStartConfig>,
        bundle: usize,
    ) -> (usize, f64) {
        let free = (self.cap - self.calls.len() as f64).max(0.0).floor() as usize;
        let warm = if free > 0 { bundle } else { 0 };
        let aged = cold.and_then(|c| self.started.map(|s| (c, (now - s).max(0.0))));
        let Some((rule, age)) = aged.filter(|(c, age)| *age < c.warm_up_s + c.window_s) else {
            return (warm, 0.0);
        };
        let warmth = rule.initial_fraction
            + (1.0 - rule.initial_fraction) * (age - rule.window_s).max(0.0) / rule.warm_up_s;
        let share = rule.capacity_multiple * warmth.min(1.0) / peers;
        // The 1.3 makes up for part of the waiting in `work` (at most 0.39 of the limit was seen); without
        // whole parts in a span, chance adds up over the peers and the margin stays.
        let rare = work > share * rule.window_s;
        let (span, bearable) =
            if rare { (work / share, 1.001 * work) } else { (rule.window_s, 1.3 * share * rule.window_s) };
        let sent: f64 = self.cold_work.iter().filter(|w| w.0 >= now - span - LOOK).map(|w| w.1).sum();
        let room = free.min(bundle).min(((bearable - sent) / work).max(0.0) as usize);
        (if rare && age < self.phase * span { 0 } else { room }, span + LOOK)
    }
}

impl Part {
    /// Whether one more leaf call could be made: rules 2 and the most calls a part may have.
    fn may_call(&self, now: f64, effect: Idempotency, calls: usize) -> bool {
        let ran = self.calls.iter().find(|c| c.may_have_run);
        self.calls.len() < calls
            && match effect {
                Idempotency::Idempotent => true,
                Idempotency::IdempotentWithKey { window_s: window } => {
                    ran.is_none_or(|c| now < c.at + window - AHEAD)
                }
                Idempotency::NonIdempotent => ran.is_none(),
            }
    }

    fn out(&self) -> bool {
        self.calls.iter().any(|c| c.out)
    }
}

impl Query {
    /// Whether nodes may have died of it: connections broke under calls of two nodes, or of one while others
    /// are out, and none of its parts has come in. It gets no further leaf calls. Guards against queries that
    /// bring down whoever begins a part of them; it hurts where nodes die before any part is in.
    fn suspect(&self) -> bool {
        let calls = || self.parts.iter().flat_map(|p| &p.calls);
        let broken: BTreeSet<&str> = calls().filter(|c| c.broke).map(|c| c.node.as_str()).collect();
        (broken.len() > 1 || !broken.is_empty() && calls().any(|c| c.out))
            && !self.parts.iter().any(|p| p.merged)
    }
}

impl PolicyInput for Policy {
    fn endpoint_list_replaced(&mut self) {
        self.nodes.values_mut().for_each(|n| n.state = NodeState::Removed);
        self.serving.clear();
    }

    fn endpoint_updated(&mut self, id: &str, cell: u32, state: NodeState, started: Option<f64>) {
        self.serving.clear();
        let fresh = started.is_some_and(|s| self.cold.is_some_and(|c| self.now - s < c.warm_up_s));
        // Guards against sending a newcomer what its elders can bear: its answers raise its cap.
        let (cap, phase) = if fresh { (1.0, self.chance.draw()) } else { (4.0, 0.0) };
        let new = Node { cell, state, started, cap, phase, ..Node::default() };
        match self.nodes.get_mut(id) {
            Some(node) if node.started == started => (node.cell, node.state) = (cell, state),
            Some(node) => {
                let calls = std::mem::take(&mut node.calls);
                *node = Node { calls, ..new };
            }
            None => drop(self.nodes.insert(id.into(), new)),
        }
    }

    fn endpoint_poll_failed(&mut self) {
        self.follow_at = self.now + 1.0;
    }

    fn query_arrived(&mut self, number: u64, id: &str, vertical: usize, customer: &str, not_after: f64) {
        let v = &self.verticals[vertical];
        let left = not_after - self.now;
        // A try with less time left than others get may be a client's later one: its SLO time counts from the
        // first. Only while unserved queries may come back (guards against clients all impatient at once).
        self.longest_try[vertical] = self.longest_try[vertical].max(left);
        let again = left < self.longest_try[vertical] - 0.05 && self.unserved >= 1.0;
        self.unserved = self.unserved.min(100.0) - f64::from(u8::from(again));
        let slo_at = v.latency_objective_s + if again { not_after - v.deadline_s } else { self.now };
        let mut over_share = false;
        if let Some((c, tokens, at)) = self.customers.iter_mut().find(|c| c.0.name == customer) {
            let rate = c.quota_per_s / self.peers;
            *tokens = (*tokens + (self.now - *at) * rate).min((2.0 * rate).max(2.0));
            *at = self.now;
            over_share = *tokens < 1.0;
            *tokens -= if over_share { 0.0 } else { 1.0 };
        }
        let (id, at) = (id.into(), self.now);
        let q = Query { id, vertical, over_share, at, not_after, slo_at, again, ..Query::default() };
        self.queries.insert(number, q);
    }

    fn shard_request_added(&mut self, number: u64, id: &str, shard: u32, weight: f64) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        // Where many routers see a shard once, turns that all begin alike would all meet on one holder.
        let turn = (self.chance.draw() * f64::from(self.placement.groups_per_shard) * 64.0) as usize;
        self.shards.entry(shard).or_insert_with(|| Shard { turn, ..Shard::default() });
        self.parts.insert(id.into(), (number, query.parts.len()));
        query.look_at = 0.0;
        query.parts.push(Part { id: id.into(), shard, weight, merged: false, copies: 0, calls: vec![] });
        self.common.deposit(self.purse.ratio, self.purse.capacity);
    }

    fn attempt_ended(&mut self, part: &str, hop: usize, node: &str, ending: AttemptOutcome, latency: f64) {
        let record = self.nodes.get_mut(node).and_then(|n| n.calls.remove(&(part.to_string(), hop)));
        let latency = record.map_or(latency, |(at, _)| latency.min(self.awake - at));
        let found = self.parts.get(part).and_then(|&(n, i)| Some((n, self.queries.get_mut(&n)?, i)));
        let slo = self.verticals.iter().map(|v| v.latency_objective_s).fold(f64::MAX, f64::min);
        if let Some((n, query, i)) = found {
            query.look_at = 0.0;
            let part = &mut query.parts[i];
            self.out.remove((part.shard, query.vertical), (n, i, hop));
            part.merged |= ending == AttemptOutcome::Success;
            if let Some(call) = part.calls.get_mut(hop) {
                call.out = false;
                call.may_have_run = !ending.had_no_effect();
                call.turned_away = ending.was_rejected();
                call.broke = ending == AttemptOutcome::ConnectionReset;
            }
            if ending == AttemptOutcome::Success {
                let usual = &mut self.usual[query.vertical];
                usual.note(latency, 256);
                let bare = &mut self.bare[query.vertical];
                *bare = usual.quantile(0.5, 16).map_or(*bare, |median| median.min(*bare));
            }
            // A cancelled call took at least so long: left out, the delay would shrink by its own work.
            if matches!(ending, AttemptOutcome::Success | AttemptOutcome::Cancelled) {
                self.shards.entry(part.shard).or_default().recent.note(latency, 40);
            }
        }
        if let (Some(node), Some((_, delay))) = (self.nodes.get_mut(node), record) {
            let warm = self.now + self.cold.map_or(0.0, |c| c.warm_up_s);
            self.wary_until = if ending == AttemptOutcome::ConnectionReset { warm } else { self.wary_until };
            node.ended(self.awake, ending, latency, delay, slo, (0.25 * self.peers).min(15.0));
        }
    }

    fn client_disconnected(&mut self, query: &str) {
        let gone = self.queries.iter().find(|(_, q)| q.id == query).map(|(n, _)| *n);
        self.unserved += if gone.is_some() { 1.0 } else { 0.0 };
        for part in gone.and_then(|n| self.queries.remove(&n)).iter().flat_map(|q| &q.parts) {
            self.parts.remove(&part.id);
        }
    }

    fn timer_fired(&mut self, _tag: u64) {
        self.alarm_set = false;
    }

    fn fleet_latency_counts(&mut self, late: u32, in_time: u32) {
        self.over.push_back((self.now, late, in_time));
    }

    fn node_observed(&mut self, id: &str, seen: NodeObservation) {
        let (now, age) = (self.awake, self.now - seen.observed_at_s);
        let node = self.nodes.get_mut(id).filter(|n| n.started == seen.started_at_s);
        node.into_iter().for_each(|n| n.hear(now, age, seen));
    }
}

impl Policy {
    pub fn new(seed: u64, terms: PolicyConfig) -> Self {
        let PolicyConfig {
            router_count: peers,
            query_classes: verticals,
            tenants: customers,
            placement,
            capabilities: allowance,
            retry_budget: budget,
            slow_start: cold,
        } = terms;
        let (common, purse) = (SharedLimits::default(), Purse::new(budget));
        common.change_capacity(purse.capacity, purse.stated);
        Policy {
            chance: Pcg(seed),
            common,
            purse,
            peers: peers.max(1) as f64,
            usual: verticals.iter().map(|_| Recent::default()).collect(),
            bare: vec![f64::INFINITY; verticals.len()],
            longest_try: vec![0.0; verticals.len()],
            customers: customers.into_iter().map(|c| (c, 1.0, 0.0)).collect(),
            follow_at: if allowance.polls_endpoints { 0.0 } else { f64::INFINITY },
            verticals,
            placement,
            allowance,
            cold,
            ..Policy::default()
        }
    }

    /// Makes this the module of one core among several; before the first round.
    pub fn join(&mut self, common: SharedLimits) {
        common.change_capacity(self.purse.capacity, self.purse.stated);
        self.common = common;
    }

    /// One round: `came_in` tells all that came in, then every decision is written to `out`.
    pub fn round<E>(
        &mut self,
        now: f64,
        came_in: impl FnOnce(&mut dyn PolicyInput) -> Result<(), E>,
        out: &mut dyn DecisionSink,
    ) -> Result<(), E> {
        // Guards against this router's own pauses, read as lateness of every node: with an alarm due soon,
        // rounds far apart mean that it stood still. Deadlines and windows go by the plain clock.
        let passed = now - self.now;
        self.awake += if self.alarm_set { passed.min(5.0 * LOOK) } else { passed };
        self.now = now;
        came_in(self)?;
        if now >= self.follow_at {
            self.follow_at = f64::INFINITY;
            out.poll_endpoints();
        }
        if self.serving.is_empty() {
            for (id, node) in self.nodes.iter().filter(|(_, n)| n.state == NodeState::Serving) {
                self.serving.entry(self.placement.group_of(node.cell)).or_default().push(id.clone());
            }
        }
        self.look_at_nodes(out);
        self.full.clear();
        // All others would be as they were at the last round.
        let late = self.late();
        let looked_at = self.queries.iter().filter(|(n, q)| q.look_at <= now || late.contains(n));
        let open: Vec<u64> = looked_at.map(|(n, _)| *n).collect();
        for &number in &open {
            self.settle(number, out);
        }
        self.admit(out);
        for &number in &open {
            self.send_waiting(number, out);
        }
        for &number in &open {
            self.rescue(number, out);
            self.settle(number, out);
        }
        if !self.alarm_set && (!self.queries.is_empty() || self.follow_at < f64::INFINITY) {
            self.alarm_set = true;
            out.set_timer(LOOK, 1);
        }
        Ok(())
    }

    /// Queries with a part that is late.
    fn late(&mut self) -> BTreeSet<u64> {
        let mut calls = std::mem::take(&mut self.out);
        let delay = |(shard, vertical): (u32, usize)| self.delay(shard, vertical);
        let out = |(number, i, hop): (u64, usize, usize)| {
            let part = self.queries.get(&number).and_then(|q| q.parts.get(i));
            part.and_then(|p| p.calls.get(hop)).is_some_and(|c| c.out && !c.cancelled)
        };
        let late = calls.late(self.awake, delay, out).into_iter().map(|c| c.0).collect();
        self.out = calls;
        late
    }

    fn look_at_nodes(&mut self, out: &mut dyn DecisionSink) {
        let (now, clock, shared, mut gone) = (self.awake, self.now, self.common.is_shared(), false);
        for (id, node) in &mut self.nodes {
            gone |= node.state == NodeState::Removed && node.calls.is_empty();
            let (own, rumoured) = (node.judged(now, SILENT), node.rumoured(now));
            if shared && let Some(seen) = node.news(now, clock, own) {
                out.share_observation(id, seen);
            }
            let (standing, sick) = (own.max(rumoured), own.max(rumoured) == 3);
            if sick != (node.standing == 3) && node.state != NodeState::Removed {
                let (n, f, cap, word) =
                    (node.calls.len(), node.failures, node.cap, if sick { "sick" } else { "back" });
                out.log(&format!("node {id} {word}: {n} calls out, {f} failures, cap {cap:.1}"));
            }
            let oldest = node.calls.values().map(|c| now - c.0).fold(0.0, f64::max);
            let silence = if own == 3 { oldest } else { 0.0 };
            let away = (node.shun_until.max(node.hearsay.sick_until) - now).max(silence);
            (node.standing, node.wait) = (standing, if sick { away } else { 0.0 });
        }
        if gone {
            self.nodes.retain(|_, n| n.state != NodeState::Removed || !n.calls.is_empty());
        }
    }

    /// The delay after which a part is late: the 95th percentile of the shard's latest latencies. Until
    /// enough are known, the more of a quarter of the SLO time and twice the median of all shards (a higher
    /// percentile is lifted by slow nodes); never so late that a copy could not be in time.
    fn delay(&self, shard: u32, vertical: usize) -> f64 {
        let slo = self.verticals[vertical].latency_objective_s;
        let learned = self.shards.get(&shard).and_then(|s| s.recent.quantile(0.95, LEARNED));
        let usual = || self.usual[vertical].quantile(0.5, 16).map_or(0.0, |median| 2.0 * median);
        learned.unwrap_or_else(|| usual().max(0.25 * slo)).min(0.5 * slo)
    }

    /// Time that a part takes as a rule, waiting included.
    fn work(&self, vertical: usize) -> f64 {
        let slo = self.verticals[vertical].latency_objective_s;
        self.usual[vertical].quantile(0.5, 5).unwrap_or(0.25 * slo).max(0.001)
    }

    /// Work of one part alone, for the cold rule: the lowest median seen, as in a jam latencies are waiting;
    /// of a vertical not seen yet, the same share of its SLO time as of the heaviest.
    fn bare_work(&self, vertical: usize) -> f64 {
        let share = |v: usize| {
            Some(self.bare[v] / self.verticals[v].latency_objective_s).filter(|share| share.is_finite())
        };
        let heaviest = || (0..self.bare.len()).filter_map(share).reduce(f64::max);
        share(vertical).or_else(heaviest).unwrap_or(0.15).min(0.15)
            * self.verticals[vertical].latency_objective_s
    }

    /// Answers what can be answered and gives up what has no use left.
    fn settle(&mut self, number: u64, out: &mut dyn DecisionSink) {
        let Some(q) = self.queries.get(&number) else { return };
        let v = &self.verticals[q.vertical];
        let weight = |f: &dyn Fn(&Part) -> bool| share(&q.parts, f);
        let merged = weight(&|p| p.merged);
        let least =
            if q.second_step && v.minimum_fraction >= v.complete_fraction { 1.0 } else { v.minimum_fraction };
        let all_in = q.parts.iter().all(|p| p.merged) && q.parts.len() >= q.expected;
        let whole = if q.second_step { all_in } else { merged >= v.complete_fraction - SLACK || all_in };
        let enough = merged >= least - SLACK && q.parts.iter().any(|p| p.merged);
        let late = self.now >= q.slo_at.min(q.not_after) - AHEAD;
        if enough && (whole || late) {
            let whole = whole && (!q.second_step || q.first_whole);
            out.answer(&q.id, whole);
            out.query_ended(self.now > q.slo_at);
            if v.second_phase_requests > 0 && !q.second_step {
                let (fetch, Some(q)) = (v.second_phase_requests, self.queries.get_mut(&number)) else {
                    return;
                };
                q.second_step = true;
                q.first_whole = whole;
                q.expected = q.parts.iter().filter(|p| p.merged).count().min(fetch);
                let first = std::mem::take(&mut q.parts);
                self.stop(&first, out);
            } else {
                self.close(number, out);
            }
            return;
        }
        let may =
            |p: &Part| p.may_call(self.now, v.idempotency, self.allowance.max_attempts) && self.open_to(q, p);
        let may = |p: &Part| !q.suspect() && may(p);
        let reachable = weight(&|p| p.merged || p.out() || may(p));
        let arrived = q.parts.len() >= q.expected;
        let waits = q.suspect() && q.parts.iter().any(Part::out);
        let doomed = arrived && !waits && reachable < least - SLACK;
        let short = weight(&|p| p.merged || p.out()) < least - SLACK;
        let hopeless =
            short && arrived && q.admitted && self.now + self.work(q.vertical) > q.slo_at.min(q.not_after);
        let over = self.now >= q.not_after - AHEAD
            || (late
                && (v.late_weight_fraction <= 0.0
                    || (self.shedding && v.late_weight_fraction * merged < LITTLE)));
        // Every part in or out and time left: nothing changes by itself.
        let still = arrived && q.admitted && !late && q.parts.iter().all(|p| p.merged || p.out());
        let look_at = if still { q.slo_at.min(q.not_after) - AHEAD } else { 0.0 };
        if over || doomed || hopeless {
            self.give_up(number, self.allowance.max_retry_after_s, out);
        } else if let Some(q) = self.queries.get_mut(&number) {
            q.look_at = look_at;
        }
    }

    /// Which holders of a part may be asked: none that has it, sick ones only where all are, none that
    /// turned it away within a part's work (guards against leaf calls all spent on one full node).
    fn askable(&self, part: &Part, holders: &[&str], work: f64) -> impl Fn(&str) -> bool {
        let all_sick = part.calls.is_empty() && holders.iter().all(|id| self.nodes[*id].standing == 3);
        move |id| {
            let shut = |c: &Call| c.node == id && (c.out || c.turned_away && self.awake - c.since < work);
            (all_sick || self.nodes[id].standing < 3) && !part.calls.iter().any(shut)
        }
    }

    /// Whether any holder could still take a part in time, no cold one with room only later. Guards against
    /// queries that keep nodes at work where a shard's last holder is full.
    fn open_to(&self, q: &Query, part: &Part) -> bool {
        let (work, holders) = (self.bare_work(q.vertical), self.holders(part.shard));
        let may = self.askable(part, &holders, work);
        let soon = |id: &str| {
            let (room, span) = self.nodes[id].room(self.now, work, self.peers, self.cold, 1);
            room > 0 || span < q.not_after - self.now
        };
        holders.is_empty() || holders.iter().any(|id| may(id) && soon(id))
    }

    /// Until when a part that comes in can still earn: the SLO time, where late answers are worth nothing, or
    /// go in a jam, or a query answers by then with what came. Guards against nodes at work in vain.
    fn useful_until(&self, q: &Query) -> f64 {
        let v = &self.verticals[q.vertical];
        let early = v.late_weight_fraction <= 0.0
            || v.minimum_fraction < v.complete_fraction
            || self.shedding && v.late_weight_fraction < LITTLE;
        if early { q.slo_at.min(q.not_after) } else { q.not_after }
    }

    fn give_up(&mut self, number: u64, come_back: Option<f64>, out: &mut dyn DecisionSink) {
        let q = &self.queries[&number];
        // Guards against a jam that looks like a quiet hour: parts that never came took at least so long.
        // Less than usual tells nothing: queries given up within milliseconds would make all look quick.
        let (usual, slo) = (self.work(q.vertical), self.verticals[q.vertical].latency_objective_s);
        for part in q.parts.iter().filter(|p| !p.merged) {
            let Some(first) = part.calls.first() else { continue };
            // A full node tells of a queue that its part would not have come out of in time.
            let full = part.calls.iter().all(|c| c.turned_away);
            let age = if full { slo } else { self.awake - first.since };
            if age > usual {
                self.usual[q.vertical].note(age, 256);
            }
        }
        self.unserved += if q.again { 0.5 } else { 1.0 };
        if q.parts.iter().any(|p| !p.calls.is_empty()) {
            // One bad node that a wide query met is no jam.
            out.query_ended(q.parts.iter().filter(|p| !p.merged).count() * 10 > q.parts.len());
        }
        let ran = q.second_step || q.parts.iter().flat_map(|p| &p.calls).any(|c| c.may_have_run);
        if self.verticals[q.vertical].idempotency == Idempotency::NonIdempotent && ran {
            out.fail(&q.id);
        } else {
            out.reject(&q.id, come_back);
        }
        self.close(number, out);
    }

    fn close(&mut self, number: u64, out: &mut dyn DecisionSink) {
        if let Some(q) = self.queries.remove(&number) {
            self.stop(&q.parts, out);
        }
    }

    fn stop(&mut self, parts: &[Part], out: &mut dyn DecisionSink) {
        for part in parts {
            self.parts.remove(&part.id);
            let live = part.calls.iter().enumerate().filter(|(_, c)| c.out && !c.cancelled);
            live.filter(|_| self.allowance.can_cancel).for_each(|(hop, _)| out.cancel_attempt(&part.id, hop));
        }
    }

    /// Nodes that hold a shard and serve, in the order in which they take turns.
    fn holders(&self, shard: u32) -> Vec<&str> {
        let holding = self.placement.holding_groups(shard).filter_map(|c| self.serving.get(&c)).flatten();
        let without = self.placement.excluded_nodes(shard);
        holding.map(String::as_str).filter(|id| without.is_none_or(|w| !w.contains(*id))).collect()
    }

    /// Turns away by chance under overload, the cheaper more often. Pressure is the expected latency over the
    /// time left: of the slowest of n parts, the one that a share of 1 / (n + 1) exceeds, or of the floor's
    /// where it may be answered in part. The geometric mean with a median part tells a jam, where both rise,
    /// from a few slow or far nodes. Some are always let in, or no answer would show a jam's end.
    fn admit(&mut self, out: &mut dyn DecisionSink) {
        let new: Vec<u64> = self.queries.iter().filter(|(_, q)| !q.admitted).map(|(n, _)| *n).collect();
        let mut oldest = BTreeMap::new();
        for q in self.queries.values().filter(|q| q.admitted && q.look_at <= self.now) {
            for p in q.parts.iter().filter(|p| p.calls.is_empty()) {
                let at = oldest.entry(p.shard).or_insert(q.at);
                *at = q.at.min(*at);
            }
        }
        for (shard, at) in oldest {
            for id in self.placement.holding_groups(shard).filter_map(|c| self.serving.get(&c)).flatten() {
                self.nodes.get_mut(id).into_iter().for_each(|n| n.wait = n.wait.max(self.now - at));
            }
        }
        // Guards against a jam of many routers, each of which sees too little of it: the whole fleet's share
        // of queries over late, as soon as there are enough to tell; it hurts where nodes fail without a jam.
        self.over.retain(|o| o.0 > self.now - 2.0);
        let (late, in_time) = self.over.iter().fold((0, 0), |sum, o| (sum.0 + o.1, sum.1 + o.2));
        let fleet = if late + in_time < 8 { 0.0 } else { f64::from(late) / f64::from(late + in_time) };
        for number in new {
            let q = &self.queries[&number];
            let v = &self.verticals[q.vertical];
            let left = (q.slo_at.min(q.not_after) - self.now).max(0.001);
            let last = 1.0 - 1.0 / (1.0 + q.parts.len() as f64);
            let (share, in_part) = (last.min(v.minimum_fraction), v.minimum_fraction < v.complete_fraction);
            let slowest = self.usual[q.vertical].quantile(share, 16).unwrap_or(0.25 * v.latency_objective_s);
            // Guards against parts that hold room for nothing while one of their query waits in vain.
            let wait =
                |p: &Part| self.holders(p.shard).iter().map(|id| self.nodes[*id].wait).fold(9e9, f64::min);
            let near: Vec<_> = q.parts.iter().map(|p| (wait(p), p.weight)).filter(|n| n.0 < left).collect();
            let wait = near.iter().map(|n| n.0).fold(0.0, f64::max);
            let usual = if in_part { slowest } else { (slowest * self.work(q.vertical)).sqrt() };
            let likely = (usual / left).max((usual + wait) / left - 0.2).max(fleet);
            let some = near.len() < q.parts.len()
                && near.iter().map(|n| n.1).sum::<f64>() < v.minimum_fraction - SLACK;
            let pressure = if some { 1.0 } else { likely };
            let utility = v.priority_weight
                * if q.over_share { self.allowance.over_quota_weight_fraction } else { 1.0 };
            let value = utility / (q.parts.len().max(1) as f64 * self.bare_work(q.vertical));
            self.dearest = (self.dearest * 0.99).max(value);
            let cheap = 2.0 - value / self.dearest;
            let most = if left < self.work(q.vertical) { 1.0 } else { 0.85 };
            let odds = (((pressure - 0.3) / 0.4).clamp(0.0, 1.0) * cheap).min(most);
            self.jam += 0.1 * (odds.min(1.0) - self.jam);
            if (self.jam > if self.shedding { 0.03 } else { 0.15 }) != self.shedding {
                self.shedding = !self.shedding;
                let word = if self.shedding { "rejecting by chance" } else { "admitting all" };
                let (open, jam) = (self.queries.len(), self.jam);
                out.log(&format!("{word}: odds {jam:.2}, pressure {pressure:.2}, {open} queries open"));
            }
            if self.chance.draw() < odds {
                self.give_up(number, self.allowance.max_retry_after_s.map(|most| most.min(0.2 * left)), out);
            } else if let Some(q) = self.queries.get_mut(&number) {
                q.admitted = true;
            }
        }
    }

    /// Sends the parts of a query that have no call out: the first one, or the next after a failure.
    fn send_waiting(&mut self, number: u64, out: &mut dyn DecisionSink) {
        let Some(q) = self.queries.get(&number).filter(|q| !q.suspect()) else { return };
        let effect = self.verticals[q.vertical].idempotency;
        let waits =
            |p: &Part| !p.merged && !p.out() && p.may_call(self.now, effect, self.allowance.max_attempts);
        let mut waiting: VecDeque<usize> = (0..q.parts.len()).filter(|&i| waits(&q.parts[i])).collect();
        let bundle = if self.placement.attempt_overhead_s > 0.0 { self.placement.max_batch } else { 1 };
        // Guards against queries that bring down whoever begins a part of them: while what died is cold, one
        // call goes ahead of a query's others; it hurts where nodes die of something else.
        let wary = self.now < self.wary_until && !q.parts.iter().any(|p| p.merged);
        if wary && q.parts.iter().any(Part::out) {
            return;
        }
        while let Some(&first) = waiting.front() {
            let q = &self.queries[&number];
            let key = (q.parts[first].shard, q.vertical);
            let fresh = Some(key).filter(|_| q.parts[first].calls.is_empty());
            // Looked at once a round, a part that nothing pays for would cost a search of holders.
            let unpaid = fresh.is_none() && self.purse.stated && self.common.tokens() < 1.0;
            if unpaid || self.full.contains(&key) {
                waiting.pop_front();
                continue;
            }
            // A node that holds this shard may hold others of the query's too: those ride along.
            let along = if bundle > 1 { waiting.len() } else { 1 };
            let group: Vec<usize> = waiting.iter().take(along).copied().collect();
            let shards: Vec<u32> = group.iter().map(|&i| q.parts[i].shard).collect();
            let Some((node, room)) = self.next_node(number, first, &shards, bundle) else {
                self.full.extend(fresh);
                waiting.pop_front();
                continue;
            };
            let (cell, mut taken) = (self.nodes[&node].cell, BTreeSet::new());
            for (i, &shard) in group.into_iter().zip(&shards) {
                if taken.len() < room && self.placement.holds(&node, cell, shard) {
                    taken.insert(i);
                    let further = !self.queries[&number].parts[i].calls.is_empty();
                    if !further || !self.purse.stated || self.common.try_withdraw() {
                        self.send(number, i, &node, out);
                    }
                }
            }
            waiting.retain(|i| !taken.contains(i));
            if wary && !taken.is_empty() {
                break;
            }
        }
    }

    /// The next holder in turn for a part, past late ones and those without room; one tried before counts as
    /// late. The turn is that of the node this router asked longest ago, for whatever shard: turns by shard
    /// would send neighbouring shards of a query to one node by chance. Where calls cost work, a node that
    /// can take more of the query's waiting parts goes first. A cold node is any core's whose turn it is.
    fn next_node(&self, n: u64, i: usize, group: &[u32], bundle: usize) -> Option<(String, usize)> {
        let q = &self.queries[&n];
        let (part, work) = (&q.parts[i], self.bare_work(q.vertical));
        let (shard, holders) = (part.shard, self.holders(part.shard));
        let may = self.askable(part, &holders, work);
        let turn = self.shards.get(&shard).map_or(0, |s| s.turn);
        let mut able = vec![];
        for step in 0..holders.len() {
            let at = (turn + step) % holders.len();
            let node = &self.nodes[holders[at]];
            let (room, span) = node.room(self.now, work, self.peers, self.cold, bundle);
            if room == 0 || !may(holders[at]) {
                continue;
            }
            let tried = part.calls.iter().any(|c| c.node == holders[at]);
            let covers = group.iter().filter(|&&s| self.placement.holds(holders[at], node.cell, s)).count();
            let rank = (node.standing + u8::from(tried), usize::MAX - covers.min(room), node.turn, step);
            able.push((rank, at, room, span));
        }
        able.sort_unstable_by_key(|a| a.0);
        let turn =
            |at: usize, span| span <= 0.0 || self.common.try_slow_start_turn(holders[at], self.now, span);
        let (_, at, room, _) = able.into_iter().find(|&(_, at, _, span)| turn(at, span))?;
        Some((holders[at].to_string(), room))
    }

    fn send(&mut self, number: u64, i: usize, id: &str, out: &mut dyn DecisionSink) {
        let q = &self.queries[&number];
        let v = &self.verticals[q.vertical];
        let (now, vertical) = (self.now, q.vertical);
        let (delay, work) = (self.delay(q.parts[i].shard, vertical), self.bare_work(vertical));
        let more = v.idempotency == Idempotency::Idempotent
            && q.parts[i].calls.len() + 1 < self.allowance.max_attempts;
        let timed =
            if more && !self.allowance.can_cancel { 0.5 * v.latency_objective_s } else { f64::INFINITY };
        let limit = timed.min(self.useful_until(q) - now);
        let Some(part) = self.queries.get_mut(&number).map(|q| &mut q.parts[i]) else { return };
        let Some(node) = self.nodes.get_mut(id) else { return };
        self.out.add((part.shard, vertical), self.awake, (number, i, part.calls.len()));
        node.calls.insert((part.id.clone(), part.calls.len()), (self.awake, delay));
        self.calls += 1;
        node.turn = self.calls;
        node.cold_work.retain(|w| w.0 >= now - self.cold.map_or(0.0, |c| c.warm_up_s + c.window_s));
        node.cold_work.push_back((now, work));
        out.start_attempt(&part.id, id, limit);
        part.copies += usize::from(part.out());
        let (node, since) = (id.into(), self.awake);
        part.calls.push(Call { node, at: now, since, out: true, may_have_run: true, ..Call::default() });
    }

    /// Cancels losers, copies late parts while the bucket pays, and gives up calls that are stuck.
    fn rescue(&mut self, number: u64, out: &mut dyn DecisionSink) {
        let Some(q) = self.queries.get(&number) else { return };
        let (v, vertical, suspect) = (self.verticals[q.vertical].clone(), q.vertical, q.suspect());
        for i in 0..q.parts.len() {
            let part = &self.queries[&number].parts[i];
            let (shard, merged) = (part.shard, part.merged);
            let live = |h: &usize| part.calls[*h].out && !part.calls[*h].cancelled;
            let outs = || (0..part.calls.len()).filter(live).collect::<Vec<_>>();
            let Some(newest) = (0..part.calls.len()).rfind(live) else { continue };
            if merged {
                outs().iter().for_each(|&hop| self.cancel(number, i, hop, out));
                continue;
            }
            let (age, delay) = (self.awake - part.calls[newest].since, self.delay(shard, vertical));
            let may = part.may_call(self.now, v.idempotency, self.allowance.max_attempts);
            if age <= delay || !may || suspect || (self.purse.stated && self.common.tokens() < 1.0) {
                continue;
            }
            // Guards against hung and silent nodes when the bucket is dry: their calls move on where a holder
            // has room. Age alone proves nothing: one part of many is heavy.
            let outs = outs();
            let stuck = outs.iter().all(|&hop| {
                let (call, node) = (&part.calls[hop], &self.nodes[&part.calls[hop].node]);
                self.awake - call.since > SILENT * delay && node.standing == 3
            });
            let more = v.idempotency == Idempotency::Idempotent
                && self.allowance.can_hedge
                && part.copies < MAX_COPIES;
            // Guards against copies that feed a jam for parts that an answer may leave out.
            let owed = v.minimum_fraction >= v.complete_fraction || part.weight > 1.0 - v.minimum_fraction;
            let copy = more && owed && self.common.tokens() >= 1.0;
            let useful = self.now + 0.5 * self.work(vertical) < self.queries[&number].slo_at;
            if !(copy || useful && stuck) {
                continue;
            }
            let Some((node, _)) = self.next_node(number, i, &[shard], 1) else { continue };
            if copy {
                if !self.common.try_withdraw() {
                    continue;
                }
                self.send(number, i, &node, out);
            } else {
                outs.iter().for_each(|&hop| self.cancel(number, i, hop, out));
            }
        }
    }

    fn cancel(&mut self, number: u64, i: usize, hop: usize, out: &mut dyn DecisionSink) {
        let Some(part) = self.queries.get_mut(&number).map(|q| &mut q.parts[i]) else { return };
        if self.allowance.can_cancel {
            part.calls[hop].cancelled = true;
            out.cancel_attempt(&part.id, hop);
        }
    }
}
