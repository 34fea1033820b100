//! The desk: where a thing that came in, or a decision of the module, meets what is kept.
use super::CallId;
use super::calls::Calls;
use super::clients::{Client, Clients};
use super::counters::Counters;
use super::ground::Ground;
use super::house::{Figures, House, Word};
use super::lines::{Frame, Line, Place};
use super::queries::{self, Queries, Query};
use super::roster::Roster;
use super::stalls::Stalls;
use super::stamps::Stamps;
use super::terms::Places;
use crate::tier::links::Tier;
use crate::wire::http::Refusal;
use crate::wire::{answer, frames};
use alderway::interface::{
    AttemptOutcome, DecisionSink, Idempotency, NodeObservation, NodeState, PolicyInput, QueryClass,
};
use alderway::permits::{self, Denial};
use alderway_cores::board::Board;
use alderway_cores::fence;
use alderway_cores::ids::Refused;
use alderway_deployment::Settings;
use alderway_deployment::{AdmissionConfig, ConnectionConfig};
use alderway_layouts::ShardId;
use alderway_layouts::coverage::Count;
use alderway_telemetry::clock::Clock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// A connection that a driver has to bring up.
pub struct Dial {
    pub node: String,
    pub line: u64,
    pub address: SocketAddr,
}

/// How far a program is on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub enum Stage {
    #[default]
    Serving,
    /// SIGTERM has come: no new connection is wanted.
    Stopping,
    /// Every connection closes with its present answer.
    Closing,
    /// What comes now would find no time for an answer, and is turned away at once.
    Ended,
}

/// A vertical as the desk knows it.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    pub effect: Idempotency,
    /// The share that makes a whole answer, and the least of any.
    pub need: f64,
    pub floor: f64,
}

impl Class {
    /// All verticals of some settings, in their order.
    pub fn all(settings: &Settings) -> Vec<Class> {
        let both = settings.class_names.iter().zip(&settings.policy.query_classes);
        let class = |(name, vertical): (&String, &QueryClass)| {
            let QueryClass { idempotency: effect, complete_fraction: need, minimum_fraction: floor, .. } =
                *vertical;
            Class { name: name.clone(), effect, need, floor }
        };
        both.map(class).collect()
    }
}

impl From<&str> for Class {
    fn from(name: &str) -> Self {
        Class { name: name.into(), effect: Idempotency::Idempotent, need: 0.0, floor: 0.0 }
    }
}

pub struct Desk {
    pub clock: Clock,
    pub trunk: ConnectionConfig,
    pub room: AdmissionConfig,
    /// By their places, of which `terms` says who has them.
    pub verticals: Vec<Class>,
    pub terms: Places,
    pub queries: Queries,
    pub calls: Calls,
    pub roster: Roster,
    pub clients: Clients,
    pub counters: Counters,
    /// What this core shares with others, and its number there.
    pub house: Arc<House>,
    pub core: usize,
    /// The number of the roster that this core has taken in.
    pub known: u64,
    /// Calls wait until this core knows all that it must know.
    pub fenced: bool,
    /// What other cores saw of data nodes: all that still holds, and whose word has yet to be told.
    pub board: Board,
    /// Where shards lie, where layouts are followed.
    pub ground: Option<Ground>,
    /// What stands between desk and module, on a forwarder.
    pub tier: Option<Tier>,
    /// Other routers, which hear what the own module sees of data nodes.
    pub peers: Option<crate::gossip::Held>,
    heard: BTreeMap<String, NodeObservation>,
    /// How queries of the whole fleet ended, for the next round.
    fleet: Option<(u32, u32)>,
    /// What a test has this core do at its next beat.
    #[cfg(feature = "faults")]
    pub fault: Option<String>,
    /// Connections to give away, and to which core.
    pub giving: Option<(usize, usize)>,
    /// Something came in that the next round tells.
    pub came: Rc<Notify>,
    /// The module asks to follow the roster.
    pub follow: Arc<Notify>,
    pub stage: Stage,
    /// Times at which this thread stood still.
    pub stalls: Stalls,
    /// When bytes came, by the system's stamps.
    pub stamps: Stamps,
    /// Queries could be served once, and the log has said so.
    ready: bool,
    new: Vec<u64>,
    left: Vec<Rc<str>>,
    alarms: Vec<(f64, u64)>,
    dials: Vec<Dial>,
    /// Data nodes that have parts from this round.
    sending: BTreeSet<String>,
}

impl Desk {
    /// A desk that shares with nobody.
    pub fn new(clock: Clock, trunk: ConnectionConfig, room: AdmissionConfig, verticals: Vec<Class>) -> Self {
        Desk::on(House::alone(room.max_open), 0, clock, trunk, room, verticals)
    }

    pub fn on(
        house: Arc<House>,
        core: usize,
        clock: Clock,
        trunk: ConnectionConfig,
        room: AdmissionConfig,
        verticals: Vec<Class>,
    ) -> Self {
        Desk {
            follow: house.follow.clone(),
            house,
            core,
            known: 0,
            fenced: false,
            board: Board::default(),
            ground: None,
            tier: None,
            peers: None,
            heard: BTreeMap::new(),
            fleet: None,
            #[cfg(feature = "faults")]
            fault: None,
            giving: None,
            clock,
            trunk,
            room,
            verticals,
            terms: Places::default(),
            queries: Queries::default(),
            calls: Calls::default(),
            roster: Roster::default(),
            clients: Clients::default(),
            counters: Counters::default(),
            came: Rc::default(),
            stage: Stage::default(),
            stalls: Stalls::default(),
            stamps: Stamps::new(clock.now(), clock.unix_now()),
            ready: false,
            new: vec![],
            left: vec![],
            alarms: vec![],
            dials: vec![],
            sending: BTreeSet::new(),
        }
    }

    /// Whether queries can be served: any data node is known, from the start or from discovery.
    pub fn able(&self) -> bool {
        let led = self.house.fence.passes(u64::MAX, self.clock.now()).is_ok();
        let mapped = self.ground.as_ref().is_none_or(|ground| ground.version().is_some());
        self.roster.names_any() && self.stage == Stage::Serving && led && mapped
    }

    /// What this core counted, and what is open on it now.
    pub fn own_figures(&self) -> Figures {
        let lines: usize = self.roster.nodes.values().map(|n| n.lines.len()).sum();
        let mut open = vec![
            ("queries_open", self.queries.len() as u64),
            ("queries_and_parts_held", self.queries.held() as u64),
            ("leaf_calls_open", self.calls.count_out() as u64),
            ("connections_open", lines as u64),
            ("clients_open", self.clients.len() as u64),
            ("nodes_known", self.roster.nodes.len() as u64),
        ];
        let mut counters = self.counters.clone();
        if let Some(peers) = &self.peers {
            let (counted, figures) = peers.borrow().figures();
            counters.join(&counted);
            open.extend(figures);
        }
        if let Some(tier) = &self.tier {
            let tier = tier.borrow();
            counters.join(&tier.counters);
            open.extend(tier.figures());
        }
        Figures { counters, open }
    }

    /// All counters, and what is open now, on all cores.
    pub fn figures(&self) -> String {
        let mut figures = self.own_figures();
        self.house.add_others(Some(self.core), &mut figures);
        figures.text()
    }

    fn count(&mut self, what: &str, vertical: usize) {
        let name = format!("queries_{what}{{{}}}", self.verticals[vertical].name);
        self.counters.one(&name);
    }

    // What clients do.

    /// Takes a query in, or turns it away with no room left; either way it will have its one answer. Refused where
    /// its id is open on some core.
    pub fn take(&mut self, client: &Rc<Client>, query: Query) -> Result<(), Refusal> {
        let vertical = query.vertical;
        let room = self.house.room.take(1 + query.parts.len());
        let id = self.house.ids.claim(self.core as u8, &query.id);
        if matches!(id, Err(Refused::Open)) {
            return Err((400, "a query with this X-Correlation-Id is open"));
        }
        self.count("taken", vertical);
        let permit = permits::may_admit(self.stage == Stage::Ended, room.is_some() && id.is_ok());
        let (Some(room), Ok(id), Ok(())) = (room, id, permit) else {
            self.count("turned_away", vertical);
            self.counters.one(&format!("queries_denied{{{}}}", permit.err().map_or("", Denial::label)));
            let (out, closes) = (&mut client.out.borrow_mut(), client.closes.get());
            answer::plain(out, 503, "too many queries are open, or none is taken any more", None, closes);
            return Ok(());
        };
        // Guards against the answer to a call of an earlier query by the same id, which is out still where
        // nothing is cancelled: it would be taken for that of a call of this one.
        for id in query.parts.iter().flat_map(|part| self.calls.of_part(&part.id)).collect::<Vec<_>>() {
            self.give_up(&id, AttemptOutcome::Cancelled);
        }
        if let Some(ground) = &mut self.ground {
            query.parts.iter().for_each(|part| ground.opened(part));
        }
        let number = self.queries.hold(query, queries::Place { id, room: vec![room] });
        client.query.set(Some(number));
        self.new.push(number);
        self.came.notify_one();
        Ok(())
    }

    /// The client has closed its connection.
    pub fn client_left(&mut self, number: u64) {
        self.drop_query(number, "left");
    }

    /// A query ends from outside the module, which is told in the next round.
    fn drop_query(&mut self, number: u64, what: &str) {
        let Some(query) = self.queries.release(number) else { return };
        self.count(what, query.vertical);
        self.close_parts(&query);
        for part in &query.parts {
            for id in self.calls.of_part(&part.id) {
                self.give_up(&id, AttemptOutcome::Cancelled);
            }
        }
        self.left.push(query.id);
        self.came.notify_one();
    }

    fn close_parts(&mut self, query: &Query) {
        if let Some(ground) = &mut self.ground {
            query.parts.iter().for_each(|part| ground.closed(part));
        }
    }

    // What layouts do.

    /// The holders of these shards are others now, or the shards are gone. Calls that have not begun to go out to a
    /// node that does not hold their keys any more are taken back; open parts that nobody holds whole are divided.
    pub fn layout_changed(&mut self, shards: &[ShardId]) {
        self.counters.one("layout_changes");
        // A change is rare, a query is not: what is open is looked through here, not kept by shard.
        let open = self.queries.parts_in(shards);
        for &shard in shards {
            let Some(ground) = &self.ground else { return };
            let holders = ground.holders(shard);
            for part in open.get(&shard).into_iter().flatten() {
                for id in self.calls_for(part) {
                    let Some(call) = self.calls.get(&id) else { continue };
                    let Some(node) = self.roster.nodes.get(&call.node) else { continue };
                    let line = call.line.and_then(|line| node.lines.get(&line));
                    if !holders.contains(&node.cell)
                        && matches!(line.map(|l| l.place(&id)), Some(Place::Waiting))
                    {
                        self.counters.one("calls_taken_back{moved}");
                        self.give_up(&id, AttemptOutcome::NeverSent);
                    }
                }
                self.divide(part);
            }
        }
        self.came.notify_one();
    }

    /// Calls out for a part, those of the parts that it came from among them.
    fn calls_for(&self, part: &Rc<str>) -> Vec<CallId> {
        match &self.ground {
            Some(ground) => ground.families.line(part).flat_map(|part| self.calls.of_part(part)).collect(),
            None => self.calls.of_part(part),
        }
    }

    fn divide(&mut self, id: &Rc<str>) {
        let Some((number, query, i)) = self.queries.of_part(id) else { return };
        let Some(ground) = self.ground.as_mut().filter(|ground| ground.is_to_divide(&query.parts[i])) else {
            return;
        };
        let heirs = ground.heirs(&query.id, &query.parts[i]);
        // Guards against many queries that grow by a change of layout past what memory is for.
        let Some(room) = self.house.room.take(heirs.len()) else {
            return self.counters.one("divisions_without_room");
        };
        ground.closed(&query.parts[i]);
        heirs.iter().for_each(|heir| ground.opened(heir));
        let into = heirs.iter().map(|heir| (heir.id.clone(), heir.shard, heir.weight)).collect();
        ground.divided((number, id.clone(), into), self.new.contains(&number));
        self.queries.divide(id, heirs, room);
        self.counters.one("parts_divided");
    }

    /// A part's answer is in, for its keys: those of the parts that it was divided into as well.
    fn take_in(&mut self, part: &Rc<str>, value: &str) {
        let heirs = self.ground.as_ref().map_or(vec![], |ground| ground.families.heirs(part).to_vec());
        let Some((_, query, i)) = self.queries.of_part(part) else { return };
        if let (Some(coverage), Some(keys)) = (&mut query.coverage, query.parts[i].keys) {
            let count = coverage.take(keys.range, (query.parts[i].shard, value.to_string()));
            if let Count::Counts { replaced: 1.. } = count {
                self.counters.one("answers_in_place_of_parts");
            }
        }
        #[cfg(feature = "faults")]
        if self.ground.as_ref().is_some_and(|ground| ground.by_answers) {
            query.parts[i].value = Some(value.to_string());
        }
        for id in heirs.iter().chain([part]) {
            if let Some(keys) = self.queries.part(id).and_then(|part| part.keys.as_mut()) {
                keys.merged = true;
            }
        }
        heirs.iter().for_each(|heir| self.take_back(heir, AttemptOutcome::Cancelled));
    }

    // What data nodes do.

    /// A part's reply has come with the node's report, which may speak of the layout.
    pub fn answered(
        &mut self,
        node: &str,
        line: u64,
        part: &str,
        ending: AttemptOutcome,
        report: &str,
        value: &str,
    ) -> bool {
        let mut ending = ending;
        if let Some(ground) = &mut self.ground
            && let Some(record) = self.queries.part(part)
        {
            let success = ending == AttemptOutcome::Success;
            let keys = if success { frames::keys(report).unwrap_or(Some((0, 0))) } else { None };
            let moved = if success { None } else { frames::moved(report) };
            let judged = ground.judge(node, record, ending, moved, keys, self.clock.now());
            if judged == AttemptOutcome::ShardMoved {
                self.counters.one("parts_disowned");
            } else if judged != ending {
                self.counters.one("answers_for_other_keys");
            }
            ending = judged;
        }
        self.replied(node, line, part, ending, value)
    }

    /// A part's reply has come on a connection. Replies for parts long over are passed over; false for a part
    /// that is not asked for there.
    pub fn replied(
        &mut self,
        node: &str,
        line: u64,
        part: &str,
        ending: AttemptOutcome,
        value: &str,
    ) -> bool {
        let now = self.clock.now();
        let Some(line) = self.roster.line(node, line) else { return true };
        let Some(hop) = line.replied(part, now) else { return false };
        let Some(hop) = hop else {
            self.counters.one("replies_for_parts_over");
            return true;
        };
        let id: CallId = (part.into(), hop);
        self.end(&id, ending);
        if let (AttemptOutcome::Success, Some(part)) = (ending, self.queries.part(part)) {
            if part.keys.is_some() {
                self.take_in(&id.0, value);
            } else {
                part.value.get_or_insert_with(|| value.to_string());
            }
            self.take_back(&id.0, AttemptOutcome::Cancelled);
        }
        true
    }

    /// An answer cannot be read, so nothing more can be made out on its connection, which this side leaves.
    /// One call has failed: that of the part which the answer names, else the one out longest. Those beside it
    /// are given up, which closing the connection is by the protocol. Guards against a spoilt answer being told
    /// as a break for every call beside it, which would show a sound data node as one that is down.
    pub fn spoilt(&mut self, node: &str, line: u64, part: Option<&str>) {
        self.counters.one("answers_spoilt");
        let record = self.roster.nodes.get_mut(node);
        let Some(line) = record.and_then(|n| n.lines.remove(&line)) else { return };
        let (unsent, mut out) = line.remains();
        unsent.iter().for_each(|id| self.end(id, AttemptOutcome::NeverSent));
        let since = |id: &CallId| self.calls.get(id).map_or(f64::INFINITY, |c| c.at);
        let named = out.iter().position(|id| Some(&*id.0) == part);
        let longest = (0..out.len()).min_by(|&a, &b| since(&out[a]).total_cmp(&since(&out[b])));
        if let Some(at) = named.or(longest) {
            self.end(&out.swap_remove(at), AttemptOutcome::Error);
        }
        out.iter().for_each(|id| self.end(id, AttemptOutcome::Cancelled));
    }

    /// A connection has ended, or never came up. What had not gone out whole never ran.
    pub fn line_lost(&mut self, node: &str, line: u64) {
        let record = self.roster.nodes.get_mut(node);
        let Some(line) = record.and_then(|n| n.lines.remove(&line)) else { return };
        let (unsent, out) = line.remains();
        unsent.iter().for_each(|id| self.end(id, AttemptOutcome::Unreachable));
        out.iter().for_each(|id| self.end(id, AttemptOutcome::ConnectionReset));
    }

    /// A connection could not be opened for want of something on this side: its calls never ran, and say nothing of
    /// the data node.
    pub fn line_not_opened(&mut self, node: &str, line: u64) {
        let record = self.roster.nodes.get_mut(node);
        let Some(line) = record.and_then(|n| n.lines.remove(&line)) else { return };
        let (unsent, _) = line.remains();
        unsent.iter().for_each(|id| self.end(id, AttemptOutcome::NeverSent));
    }

    /// A data node has closed a connection that stood idle. What waits there goes out on another, which was no
    /// decision of whoever chose the node; each such connection has served before, so none is tried for ever.
    pub fn put_back(&mut self, node: &str, line: u64) {
        let Some(record) = self.roster.nodes.get_mut(node) else { return };
        let Some(mut line) = record.lines.remove(&line) else { return };
        let calls = line.take_waiting();
        self.counters.add("calls_put_back", calls.len());
        if !calls.is_empty() {
            for id in &calls {
                self.calls.get_mut(id).into_iter().for_each(|call| call.line = None);
            }
            record.fresh.extend(calls);
            self.sending.insert(node.to_string());
        }
    }

    fn end(&mut self, id: &CallId, ending: AttemptOutcome) {
        if ending.had_no_effect()
            && let Some(part) = self.queries.part(&id.0)
        {
            part.begun.retain(|(hop, _)| *hop != id.1);
        }
        if self.calls.end(id, ending, self.clock.now()).is_some() {
            self.counters.ended(ending);
            self.came.notify_one();
        }
    }

    /// Ends a call from this side. A frame that has not begun is taken back; one that has gone out is
    /// followed by word that the part is given up; in the midst of one only closing the connection helps.
    fn give_up(&mut self, id: &CallId, ending: AttemptOutcome) {
        let Some(call) = self.calls.get(id) else { return };
        let (node, line) = (call.node.clone(), call.line);
        if let Some(record) = self.roster.nodes.get_mut(&node) {
            record.fresh.retain(|fresh| fresh != id);
        }
        let (now, dial) = (self.clock.now(), self.trunk.dial_timeout_s);
        let longest = self.longest_deadline(now);
        if let Some(line) = line.and_then(|l| self.roster.line(&node, l)) {
            match line.place(id) {
                Place::Waiting => line.take_back(id),
                Place::Out => line.give_up(id, now, now + longest, dial),
                Place::Begun => line.cut_over(id),
                Place::Nowhere => {}
            }
        }
        self.end(id, ending);
    }

    /// Takes back the calls of a part that is over and that have not begun to be written.
    fn take_back(&mut self, part: &str, ending: AttemptOutcome) {
        for id in self.calls.of_part(part) {
            let Some(call) = self.calls.get(&id) else { continue };
            let line = call.line.and_then(|l| self.roster.nodes.get(&call.node)?.lines.get(&l));
            if line.is_none_or(|l| !matches!(l.place(&id), Place::Out)) {
                self.give_up(&id, ending);
            }
        }
    }

    /// Writes the next frame of a connection into `out`; false when none waits.
    pub fn next_frame(&mut self, node: &str, line: u64, out: &mut Vec<u8>) -> bool {
        self.sift(node, line);
        let now = self.clock.now();
        let passes = self.house.fence.passes(self.known, now);
        let version = self.ground.as_ref().and_then(Ground::version).unwrap_or(0);
        let Some(line) = self.roster.line(node, line) else { return false };
        // Guards against a core that stood still while its roster changed: what it decided before it stood still,
        // or since by the old roster, waits until it has caught up.
        if let (Err(why), true) = (passes, line.next_is_call()) {
            if !std::mem::replace(&mut self.fenced, true) {
                self.counters.one(match why {
                    fence::Held::Behind => "sends_held_back{roster_behind}",
                    fence::Held::Unled => "sends_held_back{lead_late}",
                });
            }
            return false;
        }
        match line.begin() {
            None => return false,
            Some(Frame::GiveUp(part)) => {
                frames::give_up(out, part);
                self.counters.one("frames_sent{give_up}");
            }
            Some(Frame::Call(parts)) => {
                let asked = parts.iter().filter_map(|id| {
                    let (shard, text, not_after, keys) = self.queries.asked(&id.0)?;
                    let until = self.calls.get(id).map_or(not_after, |c| c.until);
                    let keys = keys.map(|keys| (version, keys.from, keys.to));
                    Some((&*id.0, shard, permits::advertised_timeout_ms(now, until, not_after), text, keys))
                });
                frames::call(out, asked);
                self.counters.one("frames_sent{call}");
                let begun = parts.clone();
                for (part, hop) in begun {
                    if let Some(part) = self.queries.part(&part) {
                        part.begun.push((hop, now));
                    }
                }
            }
        }
        true
    }

    /// The socket takes no byte of the frame that was to begin. Guards against a call that goes out as it was composed,
    /// long after: it is looked at, and composed, anew.
    pub fn frame_not_begun(&mut self, node: &str, line: u64) {
        let Some(line) = self.roster.line(node, line) else { return };
        let calls = line.begun_call().to_vec();
        line.not_begun();
        for (part, hop) in calls {
            if let Some(part) = self.queries.part(&part) {
                part.begun.retain(|(begun, _)| *begun != hop);
            }
        }
        self.counters.one("frames_not_taken");
    }

    /// Of a call whose frame is next: why a part may not begin, if it may not. What was decided may have waited for a dial or for
    /// a place since, past a part's time, or past the window in which its node drops what it has run before.
    fn denied(&self, id: &CallId, node: NodeState, now: f64) -> Option<Denial> {
        let Some((vertical, part)) = self.queries.vertical_and_part(&id.0) else {
            return Some(Denial::QueryEnded);
        };
        let until = self.calls.get(id).map_or(now, |call| call.until);
        let begun = part.first_begun(None);
        let effect = self.verticals[vertical].effect;
        permits::may_start_attempt(&permits::AttemptStart {
            now_s: now,
            deadline_s: until,
            idempotency: effect,
            first_effect_at_s: begun,
            node_state: node,
        })
        .err()
    }

    /// Ends the calls of the next frame that come too late to begin, as ones that were never sent.
    fn sift(&mut self, node: &str, number: u64) {
        let now = self.clock.now();
        loop {
            let Some(line) = self.roster.line(node, number) else { return };
            let next = line.next_call().to_vec();
            let state = self.roster.nodes.get(node).map_or(NodeState::Removed, |record| record.state);
            let denied = |id: &CallId| Some((id.clone(), self.denied(id, state, now)?));
            let late: Vec<(CallId, Denial)> = next.iter().filter_map(denied).collect();
            self.counters.add("calls_too_late_to_begin", late.len());
            for (id, denial) in &late {
                self.counters.one(&format!("calls_denied{{{}}}", denial.label()));
                self.give_up(id, AttemptOutcome::NeverSent);
                // Guards against a call that has ended and waits here still: nothing is left to give up.
                self.roster.line(node, number).into_iter().for_each(|line| line.take_back(id));
            }
            // A frame with nothing left in it is gone, and the one behind it is next.
            if late.is_empty() || late.len() < next.len() {
                return;
            }
        }
    }

    // What discovery does.

    /// After a list or a change: nothing that has not begun goes to a node that drains or is gone, and the
    /// connections of gone nodes close as they fall idle.
    pub fn roster_changed(&mut self) {
        let mut unbegun = Vec::new();
        for (name, node) in &mut self.roster.nodes {
            if node.state == NodeState::Removed {
                for line in node.lines.values_mut() {
                    line.retired = true;
                    line.wake.notify_one();
                }
            }
            if node.state != NodeState::Serving && !(node.lines.is_empty() && node.fresh.is_empty()) {
                unbegun.push(name.clone());
            }
        }
        for name in unbegun {
            for id in self.calls.of_node(&name) {
                let line = self.calls.get(&id).and_then(|c| c.line);
                let place = line.and_then(|l| self.roster.line(&name, l)).map(|l| l.place(&id));
                if line.is_none() || matches!(place, Some(Place::Waiting)) {
                    self.give_up(&id, AttemptOutcome::NeverSent);
                }
            }
        }
        self.counters.one("roster_changes");
        self.came.notify_one();
    }

    /// Lets calls go on that the fence held back, once it lets them pass.
    pub fn pass_fence(&mut self) {
        if self.fenced && self.house.fence.passes(self.known, self.clock.now()).is_ok() {
            self.fenced = false;
            let lines = self.roster.nodes.values().flat_map(|n| n.lines.values());
            lines.for_each(|line| line.wake.notify_one());
        }
    }

    /// What another core saw of a data node, for the next round.
    pub fn hear(&mut self, word: Word) {
        self.counters.one("evidence_heard");
        self.board.note(&word.node, word.seen);
        self.heard.insert(word.node, word.seen);
        self.came.notify_one();
    }

    /// How so many queries of all routers ended: too late, and in time.
    pub fn hear_fleet(&mut self, over: (u32, u32)) {
        let (late, in_time) = self.fleet.unwrap_or_default();
        self.fleet = Some((late.saturating_add(over.0), in_time.saturating_add(over.1)));
        self.counters.add("fleet_late", over.0 as usize);
        self.counters.add("fleet_in_time", over.1 as usize);
        self.came.notify_one();
    }

    /// Everything that others saw and that still holds, for a module that starts anew.
    pub fn hear_board(&mut self) {
        self.heard = self.board.tell(self.clock.now()).into_iter().collect();
        self.came.notify_one();
    }

    pub fn roster_failed(&mut self) {
        self.roster.failed = true;
        self.came.notify_one();
    }

    // The round.

    /// When the next round is due though nothing comes in.
    pub fn next_due(&self) -> f64 {
        let alarms = self.alarms.iter().map(|a| a.0).fold(f64::INFINITY, f64::min);
        alarms.min(self.calls.next_due())
    }

    /// Ends what the clock ends: calls past their time-out, and queries whose client waits no longer.
    pub fn expire(&mut self, now: f64) {
        for id in self.calls.overdue(now) {
            self.give_up(&id, AttemptOutcome::TimedOut);
        }
        for number in self.queries.overdue(now) {
            let Some(client) = self.queries.get(number).map(|q| q.client.clone()) else { continue };
            let closes = client.closes.get();
            answer::plain(&mut client.out.borrow_mut(), 504, "the time is up", None, closes);
            client.wake.notify_one();
            self.drop_query(number, "overdue");
        }
    }

    /// Tells the module all that came in since the last round.
    pub fn tell(&mut self, now: f64, module: &mut dyn PolicyInput) {
        if !self.ready && self.able() {
            self.ready = true;
            tracing::info!(target: "ready", "serves: {} data nodes known", self.roster.nodes.len());
        }
        self.tell_terms(module);
        self.roster.tell(module);
        if let Some((late, in_time)) = self.fleet.take() {
            module.fleet_latency_counts(late, in_time);
        }
        for (node, seen) in std::mem::take(&mut self.heard) {
            module.node_observed(&node, seen);
        }
        if let Some(ground) = &mut self.ground {
            ground.tell_shards(now, module);
        }
        for number in std::mem::take(&mut self.new) {
            let Some(query) = self.queries.get(number) else { continue };
            module.query_arrived(number, &query.id, query.vertical, "", query.not_after);
            for part in query.parts.iter().filter(|part| !part.is_divided()) {
                module.shard_request_added(number, &part.id, part.shard, part.weight);
            }
        }
        if let Some(ground) = &mut self.ground {
            ground.tell_divided(module);
        }
        for (id, node, ending, latency) in self.calls.take_ended() {
            match self.ground.as_ref().and_then(|ground| ground.told_of(&id, ending)) {
                Some(heirs) => {
                    heirs.iter().for_each(|heir| module.attempt_ended(heir, id.1, &node, ending, latency));
                }
                None => module.attempt_ended(&id.0, id.1, &node, ending, latency),
            }
        }
        for query in std::mem::take(&mut self.left) {
            module.client_disconnected(&query);
        }
        if self.stage < Stage::Ended {
            self.tell_places(module);
        }
        let due: Vec<u64> = self.alarms.extract_if(.., |a| a.0 <= now).map(|a| a.1).collect();
        due.into_iter().for_each(|tag| module.timer_fired(tag));
        if let Some(ground) = &mut self.ground {
            ground.tell_over(now, module);
            if !ground.families.is_empty() {
                let (queries, calls) = (&self.queries, &self.calls);
                ground.families.forget(|part| !queries.knows(part) && calls.of_part(part).is_empty());
            }
        }
        self.roster.forget_gone();
    }

    /// Gives every open query its final answer.
    pub fn abort_all(&mut self) {
        for query in self.queries.ids() {
            self.fail(&query);
        }
    }

    /// After a failure of the module: aborts what is open and tells the next round everything from the start.
    pub fn start_over(&mut self) {
        self.counters.one("module_failures");
        self.abort_all();
        for id in self.calls.all() {
            self.give_up(&id, AttemptOutcome::Cancelled);
        }
        self.calls.take_ended();
        self.new.clear();
        self.left.clear();
        self.alarms.clear();
        self.begin_terms();
        self.roster.whole = true;
        self.roster.changed = self.roster.nodes.keys().cloned().collect();
        self.ground.iter_mut().for_each(Ground::tell_all);
        self.hear_board();
    }

    /// Makes the parts that this round sends to one node into calls, up to the bundle, and gives each call a
    /// place on a connection.
    pub fn post(&mut self, now: f64) -> Vec<Dial> {
        for node in std::mem::take(&mut self.sending) {
            let Some(record) = self.roster.nodes.get_mut(&node) else { continue };
            let parts = std::mem::take(&mut record.fresh);
            for call in parts.chunks(self.trunk.max_batch.min(self.trunk.streams_per_connection)) {
                match self.line_for(&node, call, now) {
                    Some(line) => {
                        for id in call {
                            if let Some(call) = self.calls.get_mut(id) {
                                call.line = Some(line);
                            }
                        }
                        if let Some(line) = self.roster.line(&node, line) {
                            line.queue(Frame::Call(call.to_vec()));
                        }
                    }
                    None => call.iter().for_each(|id| self.end(id, AttemptOutcome::Unreachable)),
                }
            }
        }
        std::mem::take(&mut self.dials)
    }

    /// A connection with places for a call: one that is up, else one on its way, else a new one.
    fn line_for(&mut self, name: &str, call: &[CallId], now: f64) -> Option<u64> {
        let places = self.trunk.streams_per_connection;
        let node = self.roster.nodes.get(name)?;
        let open = |places| node.lines.iter().filter(move |(_, l)| l.takes(call, places));
        if let Some((line, _)) = open(places).min_by_key(|(_, l)| (!l.up, l.taken())) {
            return Some(*line);
        }
        // Guards against cores that together open more connections than a data node holds: past the number that
        // is stated, parts wait on those that are there, unread by the node until a place is free.
        let usable = node.lines.values().filter(|l| !l.retired && !l.cut).count();
        if usable >= self.house.node_connections
            && let Some((line, _)) = open(usize::MAX).min_by_key(|(_, l)| (!l.up, l.taken()))
        {
            self.counters.one("calls_past_places");
            return Some(*line);
        }
        self.roster.last_line += 1;
        let line = self.roster.last_line;
        let node = self.roster.nodes.get_mut(name)?;
        node.lines.insert(line, Line::new(now));
        self.dials.push(Dial { node: name.into(), line, address: node.address });
        Some(line)
    }

    /// Whether this side ends a connection with its present answer. Guards against dropping what has been read behind
    /// the request: it is owed an answer as well.
    pub fn closes_connection(&self, client: &Client) -> bool {
        let closing =
            permits::ConnectionClose { query_open: false, unwritten: false, unread: client.behind.get() };
        self.stage >= Stage::Closing && permits::may_close_connection(&closing).is_ok()
    }

    fn close(&mut self, query: &str, what: &str) -> Option<(Query, bool)> {
        let query = self.queries.number(query).and_then(|number| self.queries.release(number))?;
        self.count(what, query.vertical);
        self.close_parts(&query);
        for part in &query.parts {
            self.take_back(&part.id, AttemptOutcome::NeverSent);
        }
        let closes = query.client.closes.get() || self.closes_connection(&query.client);
        query.client.closes.set(closes);
        query.client.wake.notify_one();
        Some((query, closes))
    }
}

/// The module's decisions, carried out as they are written.
impl DecisionSink for Desk {
    fn start_attempt(&mut self, part: &str, node: &str, limit: f64) {
        let others_out = match &self.ground {
            Some(ground) if !ground.families.is_empty() => !self.calls_for(&part.into()).is_empty(),
            _ => !self.calls.of_part(part).is_empty(),
        };
        let now = self.clock.now();
        let Some(record) = self.queries.part(part) else { return self.counters.one("calls_of_parts_over") };
        let id = (record.id.clone(), record.calls);
        record.calls += 1;
        self.counters.one(match (id.1, others_out) {
            (0, _) => "leaf_calls_sent{first}",
            (_, true) => "leaf_calls_sent{copy}",
            (_, false) => "leaf_calls_sent{further}",
        });
        // Guards against two calls of a part at one node, whose answers nobody could tell apart.
        let twice =
            self.calls.of_part(part).iter().any(|id| self.calls.get(id).is_some_and(|c| c.node == node));
        self.calls.start(id.clone(), node, now, now + limit);
        if twice {
            self.counters.one("calls_twice_at_a_node");
            return self.end(&id, AttemptOutcome::NeverSent);
        }
        match self.roster.nodes.get_mut(node) {
            // Guards against a planner that has not heard of a drain: its decision is no more than a wish.
            Some(there) if there.state == NodeState::Serving => {
                if there.fresh.is_empty() {
                    self.sending.insert(node.to_string());
                }
                there.fresh.push(id);
            }
            _ => {
                self.counters.one("calls_of_nodes_not_serving");
                self.end(&id, AttemptOutcome::NeverSent);
            }
        }
    }

    fn cancel_attempt(&mut self, part: &str, hop: usize) {
        self.counters.one("leaf_calls_cancelled");
        let id: CallId = (part.into(), hop);
        let shared = match &mut self.ground {
            Some(ground) if self.calls.get(&id).is_none() => {
                let mut line = ground.families.line(&id.0).map(|part| (part.clone(), hop));
                line.find(|call| self.calls.get(call).is_some())
            }
            _ => None,
        };
        let (Some(call), Some(ground)) = (shared, &mut self.ground) else {
            return self.give_up(&id, AttemptOutcome::Cancelled);
        };
        // Others may wait for it still: it is over for this part, and given up with the last.
        let last = ground.families.release(&call, &id.0);
        if let Some(record) = self.calls.get(&call) {
            let (node, latency) = (record.node.clone(), self.clock.now() - record.at);
            self.calls.tell(id, &node, AttemptOutcome::Cancelled, latency);
            self.came.notify_one();
        }
        if last {
            self.give_up(&call, AttemptOutcome::Cancelled);
        }
    }

    fn answer(&mut self, query: &str, whole: bool) {
        let what = if whole { "merged" } else { "merged_in_part" };
        let Some((query, closes)) = self.close(query, what) else { return };
        self.audit_answer(&query, whole);
        let mut out = query.client.out.borrow_mut();
        #[cfg(feature = "faults")]
        if self.ground.as_ref().is_some_and(|ground| ground.by_answers) {
            let parts = query.parts.iter().filter_map(|p| {
                let keys = p.keys.map(|keys| (keys.range.from, keys.range.to));
                Some((p.shard, keys, p.value.as_deref()?))
            });
            return answer::merged_by_keys(&mut out, whole, parts, closes);
        }
        if let Some(coverage) = &query.coverage {
            let answers = coverage.answers();
            let parts =
                answers.map(|(keys, (shard, value))| (*shard, Some((keys.from, keys.to)), value.as_str()));
            return answer::merged_by_keys(&mut out, whole, parts, closes);
        }
        let parts = query.parts.iter().filter_map(|p| Some((p.shard, p.value.as_deref()?)));
        answer::merged(&mut out, whole, parts, closes);
    }

    fn reject(&mut self, query: &str, come_back: Option<f64>) {
        let Some((query, closes)) = self.close(query, "rejected") else { return };
        self.audit_reject(&query);
        answer::plain(&mut query.client.out.borrow_mut(), 503, "rejected, try again", come_back, closes);
    }

    fn fail(&mut self, query: &str) {
        let Some((query, closes)) = self.close(query, "aborted") else { return };
        answer::plain(&mut query.client.out.borrow_mut(), 504, "aborted", None, closes);
    }

    fn set_timer(&mut self, span: f64, tag: u64) {
        self.alarms.push((self.clock.now() + span, tag));
    }

    fn poll_endpoints(&mut self) {
        self.follow.notify_one();
    }

    fn share_observation(&mut self, node: &str, seen: NodeObservation) {
        if let Some(peers) = &self.peers {
            peers.borrow_mut().say(node, seen);
            self.counters.one("evidence_told");
        }
        if self.house.tell(Word { core: self.core, node: node.into(), seen }) {
            self.counters.one("evidence_told");
        }
    }

    fn query_ended(&mut self, late: bool) {
        self.peers.iter().for_each(|peers| peers.borrow_mut().view.over(late));
    }

    fn log(&mut self, text: &str) {
        tracing::info!(target: "module", "{text}");
    }
}
