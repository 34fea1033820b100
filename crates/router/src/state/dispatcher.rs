//! The dispatcher: where a thing that came in, or a decision of the module, meets what is kept.
use super::AttemptId;
use super::arrival_time::ArrivalEstimator;
use super::attempts::AttemptTable;
use super::clients::{ClientConnection, ClientTable};
use super::counters::Counters;
use super::endpoints::EndpointTable;
use super::node_connection::{AttemptPosition, NodeConnection, OutboundFrame};
use super::queries::{self, Query, QueryTable};
use super::query_classes::ClassTable;
use super::shard_map::ShardMapView;
use super::shared::{MetricsSnapshot, ObservationMessage, SharedState};
use super::stall_detector::StallDetector;
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
    pub connection: u64,
    pub address: SocketAddr,
}

/// How far a program is on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    #[default]
    Serving,
    /// SIGTERM has come: no new connection is wanted.
    Draining,
    /// Every connection closes with its present answer.
    Closing,
    /// What comes now would find no time for an answer, and is turned away at once.
    Rejecting,
}

/// A vertical as the dispatcher knows it.
#[derive(Clone, Debug)]
pub struct ClassRules {
    pub name: String,
    pub idempotency: Idempotency,
    /// The share that makes a whole answer, and the least of any.
    pub complete_fraction: f64,
    pub minimum_fraction: f64,
}

impl ClassRules {
    /// All verticals of some settings, in their order.
    pub fn all(settings: &Settings) -> Vec<ClassRules> {
        let both = settings.class_names.iter().zip(&settings.policy.query_classes);
        let class = |(name, vertical): (&String, &QueryClass)| {
            let QueryClass { idempotency: effect, complete_fraction: need, minimum_fraction: floor, .. } =
                *vertical;
            ClassRules {
                name: name.clone(),
                idempotency: effect,
                complete_fraction: need,
                minimum_fraction: floor,
            }
        };
        both.map(class).collect()
    }
}

impl From<&str> for ClassRules {
    fn from(name: &str) -> Self {
        ClassRules {
            name: name.into(),
            idempotency: Idempotency::Idempotent,
            complete_fraction: 0.0,
            minimum_fraction: 0.0,
        }
    }
}

pub struct Dispatcher {
    pub clock: Clock,
    pub connection_config: ConnectionConfig,
    pub admission: AdmissionConfig,
    /// By their places, of which `terms` says who has them.
    pub query_classes: Vec<ClassRules>,
    pub class_table: ClassTable,
    pub queries: QueryTable,
    pub attempts: AttemptTable,
    pub endpoints: EndpointTable,
    pub clients: ClientTable,
    pub counters: Counters,
    /// What this core shares with others, and its number there.
    pub shared: Arc<SharedState>,
    pub core: usize,
    /// The number of the endpoint list that this core has taken in.
    pub endpoints_generation: u64,
    /// Calls wait until this core knows all that it must know.
    pub is_fenced: bool,
    /// What other cores saw of data nodes: all that still holds, and whose word has yet to be told.
    pub observations: Board,
    /// Where shards lie, where layouts are followed.
    pub shard_map: Option<ShardMapView>,
    /// What stands between dispatcher and module, on a forwarder.
    pub forwarder: Option<Tier>,
    /// Other routers, which hear what the own module sees of data nodes.
    pub gossip: Option<crate::gossip::Held>,
    remote_observations: BTreeMap<String, NodeObservation>,
    /// How queries of the whole fleet ended, for the next round.
    fleet_counts: Option<(u32, u32)>,
    /// What a test has this core do at its next beat.
    #[cfg(feature = "faults")]
    pub injected_fault: Option<String>,
    /// Connections to give away, and to which core.
    pub handover: Option<(usize, usize)>,
    /// Something came in that the next round tells.
    pub work_ready: Rc<Notify>,
    /// The module asks to follow the endpoint list.
    pub poll_requested: Arc<Notify>,
    pub shutdown_phase: ShutdownPhase,
    /// Times at which this thread stood still.
    pub stall_detector: StallDetector,
    /// When bytes came, by the system's stamps.
    pub arrival_times: ArrivalEstimator,
    /// Queries could be served once, and the log has said so.
    is_readiness_logged: bool,
    new_queries: Vec<u64>,
    disconnected_queries: Vec<Rc<str>>,
    timers: Vec<(f64, u64)>,
    pending_dials: Vec<Dial>,
    /// Data nodes that have parts from this round.
    nodes_to_flush: BTreeSet<String>,
}

impl Dispatcher {
    /// A dispatcher that shares with nobody.
    pub fn new(
        clock: Clock,
        trunk: ConnectionConfig,
        room: AdmissionConfig,
        verticals: Vec<ClassRules>,
    ) -> Self {
        Dispatcher::on(SharedState::single_core(room.max_open), 0, clock, trunk, room, verticals)
    }

    pub fn on(
        shared: Arc<SharedState>,
        core: usize,
        clock: Clock,
        trunk: ConnectionConfig,
        room: AdmissionConfig,
        verticals: Vec<ClassRules>,
    ) -> Self {
        Dispatcher {
            poll_requested: shared.poll_requested.clone(),
            shared,
            core,
            endpoints_generation: 0,
            is_fenced: false,
            observations: Board::default(),
            shard_map: None,
            forwarder: None,
            gossip: None,
            remote_observations: BTreeMap::new(),
            fleet_counts: None,
            #[cfg(feature = "faults")]
            injected_fault: None,
            handover: None,
            clock,
            connection_config: trunk,
            admission: room,
            query_classes: verticals,
            class_table: ClassTable::default(),
            queries: QueryTable::default(),
            attempts: AttemptTable::default(),
            endpoints: EndpointTable::default(),
            clients: ClientTable::default(),
            counters: Counters::default(),
            work_ready: Rc::default(),
            shutdown_phase: ShutdownPhase::default(),
            stall_detector: StallDetector::default(),
            arrival_times: ArrivalEstimator::new(clock.now(), clock.unix_now()),
            is_readiness_logged: false,
            new_queries: vec![],
            disconnected_queries: vec![],
            timers: vec![],
            pending_dials: vec![],
            nodes_to_flush: BTreeSet::new(),
        }
    }

    /// Whether queries can be served: any data node is known, from the start or from discovery.
    pub fn is_ready(&self) -> bool {
        let led = self.shared.fence.passes(u64::MAX, self.clock.now()).is_ok();
        let mapped = self.shard_map.as_ref().is_none_or(|shard_map| shard_map.version().is_some());
        self.endpoints.has_nodes() && self.shutdown_phase == ShutdownPhase::Serving && led && mapped
    }

    /// What this core counted, and what is open on it now.
    pub fn core_metrics(&self) -> MetricsSnapshot {
        let lines: usize = self.endpoints.nodes.values().map(|n| n.connections.len()).sum();
        let mut open = vec![
            ("queries_open", self.queries.len() as u64),
            ("queries_and_parts_held", self.queries.reserved_count() as u64),
            ("leaf_calls_open", self.attempts.in_flight_count() as u64),
            ("connections_open", lines as u64),
            ("clients_open", self.clients.len() as u64),
            ("nodes_known", self.endpoints.nodes.len() as u64),
        ];
        let mut counters = self.counters.clone();
        if let Some(peers) = &self.gossip {
            let (counted, figures) = peers.borrow().figures();
            counters.merge(&counted);
            open.extend(figures);
        }
        if let Some(tier) = &self.forwarder {
            let tier = tier.borrow();
            counters.merge(&tier.counters);
            open.extend(tier.figures());
        }
        MetricsSnapshot { counters, gauges: open }
    }

    /// All counters, and what is open now, on all cores.
    pub fn metrics_text(&self) -> String {
        let mut figures = self.core_metrics();
        self.shared.add_other_cores(Some(self.core), &mut figures);
        figures.text()
    }

    fn count_query(&mut self, what: &str, vertical: usize) {
        let name = format!("queries_{what}{{{}}}", self.query_classes[vertical].name);
        self.counters.increment(&name);
    }

    // What clients do.

    /// Takes a query in, or turns it away with no room left; either way it will have its one answer. Refused where
    /// its id is open on some core.
    pub fn open_query(&mut self, client: &Rc<ClientConnection>, query: Query) -> Result<(), Refusal> {
        let vertical = query.class;
        let room = self.shared.capacity.take(1 + query.requests.len());
        let id = self.shared.ids.claim(self.core as u8, &query.id);
        if matches!(id, Err(Refused::Open)) {
            return Err((400, "a query with this X-Correlation-Id is open"));
        }
        self.count_query("taken", vertical);
        let permit =
            permits::may_admit(self.shutdown_phase == ShutdownPhase::Rejecting, room.is_some() && id.is_ok());
        let (Some(room), Ok(id), Ok(())) = (room, id, permit) else {
            self.count_query("turned_away", vertical);
            self.counters.increment(&format!("queries_denied{{{}}}", permit.err().map_or("", Denial::label)));
            let (out, closes) = (&mut client.output.borrow_mut(), client.close_after_answer.get());
            answer::plain(out, 503, "too many queries are open, or none is taken any more", None, closes);
            return Ok(());
        };
        // Guards against the answer to a call of an earlier query by the same id, which is out still where
        // nothing is cancelled: it would be taken for that of a call of this one.
        for id in
            query.requests.iter().flat_map(|part| self.attempts.of_request(&part.id)).collect::<Vec<_>>()
        {
            self.abort_attempt(&id, AttemptOutcome::Cancelled);
        }
        if let Some(shard_map) = &mut self.shard_map {
            query.requests.iter().for_each(|part| shard_map.request_opened(part));
        }
        let number =
            self.queries.insert(query, queries::QueryReservation { id_claim: id, capacity: vec![room] });
        client.open_query.set(Some(number));
        self.new_queries.push(number);
        self.work_ready.notify_one();
        Ok(())
    }

    /// The client has closed its connection.
    pub fn client_disconnected(&mut self, number: u64) {
        self.abandon_query(number, "left");
    }

    /// A query ends from outside the module, which is told in the next round.
    fn abandon_query(&mut self, number: u64, what: &str) {
        let Some(query) = self.queries.remove(number) else { return };
        self.count_query(what, query.class);
        self.close_shard_requests(&query);
        for part in &query.requests {
            for id in self.attempts.of_request(&part.id) {
                self.abort_attempt(&id, AttemptOutcome::Cancelled);
            }
        }
        self.disconnected_queries.push(query.id);
        self.work_ready.notify_one();
    }

    fn close_shard_requests(&mut self, query: &Query) {
        if let Some(shard_map) = &mut self.shard_map {
            query.requests.iter().for_each(|part| shard_map.request_closed(part));
        }
    }

    // What layouts do.

    /// The holders of these shards are others now, or the shards are gone. Calls that have not begun to go out to a
    /// node that does not hold their keys any more are taken back; open parts that nobody holds whole are divided.
    pub fn shard_map_changed(&mut self, shards: &[ShardId]) {
        self.counters.increment("layout_changes");
        // A change is rare, a query is not: what is open is looked through here, not kept by shard.
        let open = self.queries.unsplit_requests_of(shards);
        for &shard in shards {
            let Some(shard_map) = &self.shard_map else { return };
            let holders = shard_map.holders(shard);
            for part in open.get(&shard).into_iter().flatten() {
                for id in self.attempts_of_family(part) {
                    let Some(call) = self.attempts.get(&id) else { continue };
                    let Some(node) = self.endpoints.nodes.get(&call.node) else { continue };
                    let line = call.connection.and_then(|line| node.connections.get(&line));
                    if !holders.contains(&node.replica_group)
                        && matches!(line.map(|l| l.position(&id)), Some(AttemptPosition::Queued))
                    {
                        self.counters.increment("calls_taken_back{moved}");
                        self.abort_attempt(&id, AttemptOutcome::NeverSent);
                    }
                }
                self.split_request(part);
            }
        }
        self.work_ready.notify_one();
    }

    /// Calls out for a part, those of the parts that it came from among them.
    fn attempts_of_family(&self, part: &Rc<str>) -> Vec<AttemptId> {
        match &self.shard_map {
            Some(shard_map) => {
                shard_map.families.line(part).flat_map(|part| self.attempts.of_request(part)).collect()
            }
            None => self.attempts.of_request(part),
        }
    }

    fn split_request(&mut self, id: &Rc<str>) {
        let Some((number, query, i)) = self.queries.query_of_request(id) else { return };
        let Some(shard_map) =
            self.shard_map.as_mut().filter(|shard_map| shard_map.must_split(&query.requests[i]))
        else {
            return;
        };
        let heirs = shard_map.split_requests(&query.id, &query.requests[i]);
        // Guards against many queries that grow by a change of layout past what memory is for.
        let Some(room) = self.shared.capacity.take(heirs.len()) else {
            return self.counters.increment("divisions_without_room");
        };
        shard_map.request_closed(&query.requests[i]);
        heirs.iter().for_each(|heir| shard_map.request_opened(heir));
        let into = heirs.iter().map(|heir| (heir.id.clone(), heir.shard, heir.weight)).collect();
        shard_map.request_split((number, id.clone(), into), self.new_queries.contains(&number));
        self.queries.split_request(id, heirs, room);
        self.counters.increment("parts_divided");
    }

    /// A part's answer is in, for its keys: those of the parts that it was divided into as well.
    fn record_value_by_keys(&mut self, part: &Rc<str>, value: &str) {
        let heirs =
            self.shard_map.as_ref().map_or(vec![], |shard_map| shard_map.families.heirs(part).to_vec());
        let Some((_, query, i)) = self.queries.query_of_request(part) else { return };
        if let (Some(coverage), Some(keys)) = (&mut query.coverage, query.requests[i].keys) {
            let count = coverage.take(keys.range, (query.requests[i].shard, value.to_string()));
            if let Count::Counts { replaced: 1.. } = count {
                self.counters.increment("answers_in_place_of_parts");
            }
        }
        #[cfg(feature = "faults")]
        if self.shard_map.as_ref().is_some_and(|shard_map| shard_map.by_answers) {
            query.requests[i].value = Some(value.to_string());
        }
        for id in heirs.iter().chain([part]) {
            if let Some(keys) = self.queries.request_mut(id).and_then(|part| part.keys.as_mut()) {
                keys.is_answered = true;
            }
        }
        heirs.iter().for_each(|heir| self.recall_unsent(heir, AttemptOutcome::Cancelled));
    }

    // What data nodes do.

    /// A part's reply has come with the node's report, which may speak of the layout.
    pub fn reply_received(
        &mut self,
        node: &str,
        line: u64,
        part: &str,
        ending: AttemptOutcome,
        report: &str,
        value: &str,
    ) -> bool {
        let mut ending = ending;
        if let Some(shard_map) = &mut self.shard_map
            && let Some(record) = self.queries.request_mut(part)
        {
            let success = ending == AttemptOutcome::Success;
            let keys = if success { frames::keys(report).unwrap_or(Some((0, 0))) } else { None };
            let moved = if success { None } else { frames::moved(report) };
            let judged = shard_map.classify_outcome(node, record, ending, moved, keys, self.clock.now());
            if judged == AttemptOutcome::ShardMoved {
                self.counters.increment("parts_disowned");
            } else if judged != ending {
                self.counters.increment("answers_for_other_keys");
            }
            ending = judged;
        }
        self.record_reply(node, line, part, ending, value)
    }

    /// A part's reply has come on a connection. Replies for parts long over are passed over; false for a part
    /// that is not asked for there.
    pub fn record_reply(
        &mut self,
        node: &str,
        line: u64,
        part: &str,
        ending: AttemptOutcome,
        value: &str,
    ) -> bool {
        let now = self.clock.now();
        let Some(line) = self.endpoints.connection(node, line) else { return true };
        let Some(hop) = line.reply_received(part, now) else { return false };
        let Some(hop) = hop else {
            self.counters.increment("replies_for_parts_over");
            return true;
        };
        let id: AttemptId = (part.into(), hop);
        self.end_attempt(&id, ending);
        if let (AttemptOutcome::Success, Some(part)) = (ending, self.queries.request_mut(part)) {
            if part.keys.is_some() {
                self.record_value_by_keys(&id.0, value);
            } else {
                part.value.get_or_insert_with(|| value.to_string());
            }
            self.recall_unsent(&id.0, AttemptOutcome::Cancelled);
        }
        true
    }

    /// An answer cannot be read, so nothing more can be made out on its connection, which this side leaves.
    /// One call has failed: that of the part which the answer names, else the one out longest. Those beside it
    /// are given up, which closing the connection is by the protocol. Guards against a spoilt answer being told
    /// as a break for every call beside it, which would show a sound data node as one that is down.
    pub fn connection_corrupted(&mut self, node: &str, line: u64, part: Option<&str>) {
        self.counters.increment("answers_spoilt");
        let record = self.endpoints.nodes.get_mut(node);
        let Some(line) = record.and_then(|n| n.connections.remove(&line)) else { return };
        let (unsent, mut out) = line.into_unfinished();
        unsent.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::NeverSent));
        let since = |id: &AttemptId| self.attempts.get(id).map_or(f64::INFINITY, |c| c.started_at_s);
        let named = out.iter().position(|id| Some(&*id.0) == part);
        let longest = (0..out.len()).min_by(|&a, &b| since(&out[a]).total_cmp(&since(&out[b])));
        if let Some(at) = named.or(longest) {
            self.end_attempt(&out.swap_remove(at), AttemptOutcome::Error);
        }
        out.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::Cancelled));
    }

    /// A connection has ended, or never came up. What had not gone out whole never ran.
    pub fn connection_lost(&mut self, node: &str, line: u64) {
        let record = self.endpoints.nodes.get_mut(node);
        let Some(line) = record.and_then(|n| n.connections.remove(&line)) else { return };
        let (unsent, out) = line.into_unfinished();
        unsent.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::Unreachable));
        out.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::ConnectionReset));
    }

    /// A connection could not be opened for want of something on this side: its calls never ran, and say nothing of
    /// the data node.
    pub fn connection_not_opened(&mut self, node: &str, line: u64) {
        let record = self.endpoints.nodes.get_mut(node);
        let Some(line) = record.and_then(|n| n.connections.remove(&line)) else { return };
        let (unsent, _) = line.into_unfinished();
        unsent.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::NeverSent));
    }

    /// A data node has closed a connection that stood idle. What waits there goes out on another, which was no
    /// decision of whoever chose the node; each such connection has served before, so none is tried for ever.
    pub fn requeue_unsent(&mut self, node: &str, line: u64) {
        let Some(record) = self.endpoints.nodes.get_mut(node) else { return };
        let Some(mut line) = record.connections.remove(&line) else { return };
        let calls = line.take_queued();
        self.counters.add("calls_put_back", calls.len());
        if !calls.is_empty() {
            for id in &calls {
                self.attempts.get_mut(id).into_iter().for_each(|call| call.connection = None);
            }
            record.unsent_attempts.extend(calls);
            self.nodes_to_flush.insert(node.to_string());
        }
    }

    fn end_attempt(&mut self, id: &AttemptId, ending: AttemptOutcome) {
        if ending.had_no_effect()
            && let Some(part) = self.queries.request_mut(&id.0)
        {
            part.possibly_executed.retain(|(hop, _)| *hop != id.1);
        }
        if self.attempts.end(id, ending, self.clock.now()).is_some() {
            self.counters.attempt_ended(ending);
            self.work_ready.notify_one();
        }
    }

    /// Ends a call from this side. A frame that has not begun is taken back; one that has gone out is
    /// followed by word that the part is given up; in the midst of one only closing the connection helps.
    fn abort_attempt(&mut self, id: &AttemptId, ending: AttemptOutcome) {
        let Some(call) = self.attempts.get(id) else { return };
        let (node, line) = (call.node.clone(), call.connection);
        if let Some(record) = self.endpoints.nodes.get_mut(&node) {
            record.unsent_attempts.retain(|fresh| fresh != id);
        }
        let (now, dial) = (self.clock.now(), self.connection_config.dial_timeout_s);
        let longest = self.longest_deadline_s(now);
        if let Some(line) = line.and_then(|l| self.endpoints.connection(&node, l)) {
            match line.position(id) {
                AttemptPosition::Queued => line.remove_queued(id),
                AttemptPosition::InFlight => line.cancel(id, now, now + longest, dial),
                AttemptPosition::Writing => line.abort_for(id),
                AttemptPosition::Absent => {}
            }
        }
        self.end_attempt(id, ending);
    }

    /// Takes back the calls of a part that is over and that have not begun to be written.
    fn recall_unsent(&mut self, part: &str, ending: AttemptOutcome) {
        for id in self.attempts.of_request(part) {
            let Some(call) = self.attempts.get(&id) else { continue };
            let line =
                call.connection.and_then(|l| self.endpoints.nodes.get(&call.node)?.connections.get(&l));
            if line.is_none_or(|l| !matches!(l.position(&id), AttemptPosition::InFlight)) {
                self.abort_attempt(&id, ending);
            }
        }
    }

    /// Writes the next frame of a connection into `out`; false when none waits.
    pub fn next_frame(&mut self, node: &str, line: u64, out: &mut Vec<u8>) -> bool {
        self.drop_denied_attempts(node, line);
        let now = self.clock.now();
        let passes = self.shared.fence.passes(self.endpoints_generation, now);
        let version = self.shard_map.as_ref().and_then(ShardMapView::version).unwrap_or(0);
        let Some(line) = self.endpoints.connection(node, line) else { return false };
        // Guards against a core that stood still while its endpoint list changed: what it decided before it stood still,
        // or since by the old endpoint list, waits until it has caught up.
        if let (Err(why), true) = (passes, line.next_starts_attempts()) {
            if !std::mem::replace(&mut self.is_fenced, true) {
                self.counters.increment(match why {
                    fence::Held::Behind => "sends_held_back{roster_behind}",
                    fence::Held::Unled => "sends_held_back{lead_late}",
                });
            }
            return false;
        }
        match line.begin_frame() {
            None => return false,
            Some(OutboundFrame::Cancel(part)) => {
                frames::give_up(out, part);
                self.counters.increment("frames_sent{give_up}");
            }
            Some(OutboundFrame::Attempts(parts)) => {
                let asked = parts.iter().filter_map(|id| {
                    let (shard, text, not_after, keys) = self.queries.asked(&id.0)?;
                    let until = self.attempts.get(id).map_or(not_after, |c| c.timeout_at_s);
                    let keys = keys.map(|keys| (version, keys.from, keys.to));
                    Some((&*id.0, shard, permits::advertised_timeout_ms(now, until, not_after), text, keys))
                });
                frames::call(out, asked);
                self.counters.increment("frames_sent{call}");
                let begun = parts.clone();
                for (part, hop) in begun {
                    if let Some(part) = self.queries.request_mut(&part) {
                        part.possibly_executed.push((hop, now));
                    }
                }
            }
        }
        true
    }

    /// The socket takes no byte of the frame that was to begin. Guards against a call that goes out as it was composed,
    /// long after: it is looked at, and composed, anew.
    pub fn frame_not_started(&mut self, node: &str, line: u64) {
        let Some(line) = self.endpoints.connection(node, line) else { return };
        let calls = line.writing_attempts().to_vec();
        line.return_frame();
        for (part, hop) in calls {
            if let Some(part) = self.queries.request_mut(&part) {
                part.possibly_executed.retain(|(begun, _)| *begun != hop);
            }
        }
        self.counters.increment("frames_not_taken");
    }

    /// Of a call whose frame is next: why a part may not begin, if it may not. What was decided may have waited for a dial or for
    /// a place since, past a part's time, or past the window in which its node drops what it has run before.
    fn denial(&self, id: &AttemptId, node: NodeState, now: f64) -> Option<Denial> {
        let Some((vertical, part)) = self.queries.class_and_request(&id.0) else {
            return Some(Denial::QueryEnded);
        };
        let until = self.attempts.get(id).map_or(now, |call| call.timeout_at_s);
        let begun = part.first_possible_execution(None);
        let effect = self.query_classes[vertical].idempotency;
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
    fn drop_denied_attempts(&mut self, node: &str, number: u64) {
        let now = self.clock.now();
        loop {
            let Some(line) = self.endpoints.connection(node, number) else { return };
            let next = line.next_attempts().to_vec();
            let state = self.endpoints.nodes.get(node).map_or(NodeState::Removed, |record| record.state);
            let denied = |id: &AttemptId| Some((id.clone(), self.denial(id, state, now)?));
            let late: Vec<(AttemptId, Denial)> = next.iter().filter_map(denied).collect();
            self.counters.add("calls_too_late_to_begin", late.len());
            for (id, denial) in &late {
                self.counters.increment(&format!("calls_denied{{{}}}", denial.label()));
                self.abort_attempt(id, AttemptOutcome::NeverSent);
                // Guards against a call that has ended and waits here still: nothing is left to give up.
                self.endpoints.connection(node, number).into_iter().for_each(|line| line.remove_queued(id));
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
    pub fn endpoints_changed(&mut self) {
        let mut unbegun = Vec::new();
        for (name, node) in &mut self.endpoints.nodes {
            if node.state == NodeState::Removed {
                for line in node.connections.values_mut() {
                    line.is_retired = true;
                    line.wake.notify_one();
                }
            }
            if node.state != NodeState::Serving
                && !(node.connections.is_empty() && node.unsent_attempts.is_empty())
            {
                unbegun.push(name.clone());
            }
        }
        for name in unbegun {
            for id in self.attempts.on_node(&name) {
                let line = self.attempts.get(&id).and_then(|c| c.connection);
                let place = line.and_then(|l| self.endpoints.connection(&name, l)).map(|l| l.position(&id));
                if line.is_none() || matches!(place, Some(AttemptPosition::Queued)) {
                    self.abort_attempt(&id, AttemptOutcome::NeverSent);
                }
            }
        }
        self.counters.increment("roster_changes");
        self.work_ready.notify_one();
    }

    /// Lets calls go on that the fence held back, once it lets them pass.
    pub fn recheck_fence(&mut self) {
        if self.is_fenced && self.shared.fence.passes(self.endpoints_generation, self.clock.now()).is_ok() {
            self.is_fenced = false;
            let lines = self.endpoints.nodes.values().flat_map(|n| n.connections.values());
            lines.for_each(|line| line.wake.notify_one());
        }
    }

    /// What another core saw of a data node, for the next round.
    pub fn remote_observation(&mut self, word: ObservationMessage) {
        self.counters.increment("evidence_heard");
        self.observations.note(&word.node, word.observation);
        self.remote_observations.insert(word.node, word.observation);
        self.work_ready.notify_one();
    }

    /// How so many queries of all routers ended: too late, and in time.
    pub fn remote_fleet_counts(&mut self, over: (u32, u32)) {
        let (late, in_time) = self.fleet_counts.unwrap_or_default();
        self.fleet_counts = Some((late.saturating_add(over.0), in_time.saturating_add(over.1)));
        self.counters.add("fleet_late", over.0 as usize);
        self.counters.add("fleet_in_time", over.1 as usize);
        self.work_ready.notify_one();
    }

    /// Everything that others saw and that still holds, for a module that starts anew.
    pub fn replay_observations(&mut self) {
        self.remote_observations = self.observations.tell(self.clock.now()).into_iter().collect();
        self.work_ready.notify_one();
    }

    pub fn endpoint_poll_failed(&mut self) {
        self.endpoints.has_poll_failed = true;
        self.work_ready.notify_one();
    }

    // The round.

    /// When the next round is due though nothing comes in.
    pub fn next_timer_s(&self) -> f64 {
        let alarms = self.timers.iter().map(|a| a.0).fold(f64::INFINITY, f64::min);
        alarms.min(self.attempts.next_timeout_s())
    }

    /// Ends what the clock ends: calls past their time-out, and queries whose client waits no longer.
    pub fn expire_due(&mut self, now: f64) {
        for id in self.attempts.overdue(now) {
            self.abort_attempt(&id, AttemptOutcome::TimedOut);
        }
        for number in self.queries.overdue(now) {
            let Some(client) = self.queries.get(number).map(|q| q.client.clone()) else { continue };
            let closes = client.close_after_answer.get();
            answer::plain(&mut client.output.borrow_mut(), 504, "the time is up", None, closes);
            client.wake.notify_one();
            self.abandon_query(number, "overdue");
        }
    }

    /// Tells the module all that came in since the last round.
    pub fn notify_policy(&mut self, now: f64, module: &mut dyn PolicyInput) {
        if !self.is_readiness_logged && self.is_ready() {
            self.is_readiness_logged = true;
            tracing::info!(target: "ready", "serves: {} data nodes known", self.endpoints.nodes.len());
        }
        self.notify_config(module);
        self.endpoints.notify_policy(module);
        if let Some((late, in_time)) = self.fleet_counts.take() {
            module.fleet_latency_counts(late, in_time);
        }
        for (node, seen) in std::mem::take(&mut self.remote_observations) {
            module.node_observed(&node, seen);
        }
        if let Some(shard_map) = &mut self.shard_map {
            shard_map.notify_shards(now, module);
        }
        for number in std::mem::take(&mut self.new_queries) {
            let Some(query) = self.queries.get(number) else { continue };
            module.query_arrived(number, &query.id, query.class, "", query.not_after_s);
            for part in query.requests.iter().filter(|part| !part.is_split()) {
                module.shard_request_added(number, &part.id, part.shard, part.weight);
            }
        }
        if let Some(shard_map) = &mut self.shard_map {
            shard_map.notify_splits(module);
        }
        for (id, node, ending, latency) in self.attempts.take_ended() {
            match self.shard_map.as_ref().and_then(|shard_map| shard_map.outcome_recipients(&id, ending)) {
                Some(heirs) => {
                    heirs.iter().for_each(|heir| module.attempt_ended(heir, id.1, &node, ending, latency));
                }
                None => module.attempt_ended(&id.0, id.1, &node, ending, latency),
            }
        }
        for query in std::mem::take(&mut self.disconnected_queries) {
            module.client_disconnected(&query);
        }
        if self.shutdown_phase < ShutdownPhase::Rejecting {
            self.notify_retired_classes(module);
        }
        let due: Vec<u64> = self.timers.extract_if(.., |a| a.0 <= now).map(|a| a.1).collect();
        due.into_iter().for_each(|tag| module.timer_fired(tag));
        if let Some(shard_map) = &mut self.shard_map {
            shard_map.notify_retired(now, module);
            if !shard_map.families.is_empty() {
                let (queries, calls) = (&self.queries, &self.attempts);
                shard_map
                    .families
                    .forget(|part| !queries.has_request(part) && calls.of_request(part).is_empty());
            }
        }
        self.endpoints.drop_removed();
    }

    /// Gives every open query its final answer.
    pub fn fail_all_queries(&mut self) {
        for query in self.queries.ids() {
            self.fail(&query);
        }
    }

    /// After a failure of the module: aborts what is open and tells the next round everything from the start.
    pub fn restart_policy(&mut self) {
        self.counters.increment("module_failures");
        self.fail_all_queries();
        for id in self.attempts.ids() {
            self.abort_attempt(&id, AttemptOutcome::Cancelled);
        }
        self.attempts.take_ended();
        self.new_queries.clear();
        self.disconnected_queries.clear();
        self.timers.clear();
        self.reset_classes();
        self.endpoints.is_replaced = true;
        self.endpoints.changed = self.endpoints.nodes.keys().cloned().collect();
        self.shard_map.iter_mut().for_each(ShardMapView::mark_all_changed);
        self.replay_observations();
    }

    /// Makes the parts that this round sends to one node into calls, up to the bundle, and gives each call a
    /// place on a connection.
    pub fn flush_attempts(&mut self, now: f64) -> Vec<Dial> {
        for node in std::mem::take(&mut self.nodes_to_flush) {
            let Some(record) = self.endpoints.nodes.get_mut(&node) else { continue };
            let parts = std::mem::take(&mut record.unsent_attempts);
            for call in parts
                .chunks(self.connection_config.max_batch.min(self.connection_config.streams_per_connection))
            {
                match self.choose_connection(&node, call, now) {
                    Some(line) => {
                        for id in call {
                            if let Some(call) = self.attempts.get_mut(id) {
                                call.connection = Some(line);
                            }
                        }
                        if let Some(line) = self.endpoints.connection(&node, line) {
                            line.enqueue(OutboundFrame::Attempts(call.to_vec()));
                        }
                    }
                    None => call.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::Unreachable)),
                }
            }
        }
        std::mem::take(&mut self.pending_dials)
    }

    /// A connection with places for a call: one that is up, else one on its way, else a new one.
    fn choose_connection(&mut self, name: &str, call: &[AttemptId], now: f64) -> Option<u64> {
        let places = self.connection_config.streams_per_connection;
        let node = self.endpoints.nodes.get(name)?;
        let open = |places| node.connections.iter().filter(move |(_, l)| l.can_take(call, places));
        if let Some((line, _)) = open(places).min_by_key(|(_, l)| (!l.is_up, l.used_streams())) {
            return Some(*line);
        }
        // Guards against cores that together open more connections than a data node holds: past the number that
        // is stated, parts wait on those that are there, unread by the node until a place is free.
        let usable = node.connections.values().filter(|l| !l.is_retired && !l.is_aborted).count();
        if usable >= self.shared.max_connections_per_node
            && let Some((line, _)) = open(usize::MAX).min_by_key(|(_, l)| (!l.is_up, l.used_streams()))
        {
            self.counters.increment("calls_past_places");
            return Some(*line);
        }
        self.endpoints.last_connection += 1;
        let line = self.endpoints.last_connection;
        let node = self.endpoints.nodes.get_mut(name)?;
        node.connections.insert(line, NodeConnection::new(now));
        self.pending_dials.push(Dial { node: name.into(), connection: line, address: node.address });
        Some(line)
    }

    /// Whether this side ends a connection with its present answer. Guards against dropping what has been read behind
    /// the request: it is owed an answer as well.
    pub fn closes_connection(&self, client: &ClientConnection) -> bool {
        let closing = permits::ConnectionClose {
            query_open: false,
            unwritten: false,
            unread: client.has_bytes_behind.get(),
        };
        self.shutdown_phase >= ShutdownPhase::Closing && permits::may_close_connection(&closing).is_ok()
    }

    fn close_query(&mut self, query: &str, what: &str) -> Option<(Query, bool)> {
        let query = self.queries.number(query).and_then(|number| self.queries.remove(number))?;
        self.count_query(what, query.class);
        self.close_shard_requests(&query);
        for part in &query.requests {
            self.recall_unsent(&part.id, AttemptOutcome::NeverSent);
        }
        let closes = query.client.close_after_answer.get() || self.closes_connection(&query.client);
        query.client.close_after_answer.set(closes);
        query.client.wake.notify_one();
        Some((query, closes))
    }
}

/// The module's decisions, carried out as they are written.
impl DecisionSink for Dispatcher {
    fn start_attempt(&mut self, part: &str, node: &str, limit: f64) {
        let others_out = match &self.shard_map {
            Some(shard_map) if !shard_map.families.is_empty() => {
                !self.attempts_of_family(&part.into()).is_empty()
            }
            _ => !self.attempts.of_request(part).is_empty(),
        };
        let now = self.clock.now();
        let Some(record) = self.queries.request_mut(part) else {
            return self.counters.increment("calls_of_parts_over");
        };
        let id = (record.id.clone(), record.attempts);
        record.attempts += 1;
        self.counters.increment(match (id.1, others_out) {
            (0, _) => "leaf_calls_sent{first}",
            (_, true) => "leaf_calls_sent{copy}",
            (_, false) => "leaf_calls_sent{further}",
        });
        // Guards against two calls of a part at one node, whose answers nobody could tell apart.
        let twice = self
            .attempts
            .of_request(part)
            .iter()
            .any(|id| self.attempts.get(id).is_some_and(|c| c.node == node));
        self.attempts.start(id.clone(), node, now, now + limit);
        if twice {
            self.counters.increment("calls_twice_at_a_node");
            return self.end_attempt(&id, AttemptOutcome::NeverSent);
        }
        match self.endpoints.nodes.get_mut(node) {
            // Guards against a planner that has not heard of a drain: its decision is no more than a wish.
            Some(there) if there.state == NodeState::Serving => {
                if there.unsent_attempts.is_empty() {
                    self.nodes_to_flush.insert(node.to_string());
                }
                there.unsent_attempts.push(id);
            }
            _ => {
                self.counters.increment("calls_of_nodes_not_serving");
                self.end_attempt(&id, AttemptOutcome::NeverSent);
            }
        }
    }

    fn cancel_attempt(&mut self, part: &str, hop: usize) {
        self.counters.increment("leaf_calls_cancelled");
        let id: AttemptId = (part.into(), hop);
        let shared = match &mut self.shard_map {
            Some(shard_map) if self.attempts.get(&id).is_none() => {
                let mut line = shard_map.families.line(&id.0).map(|part| (part.clone(), hop));
                line.find(|call| self.attempts.get(call).is_some())
            }
            _ => None,
        };
        let (Some(call), Some(shard_map)) = (shared, &mut self.shard_map) else {
            return self.abort_attempt(&id, AttemptOutcome::Cancelled);
        };
        // Others may wait for it still: it is over for this part, and given up with the last.
        let last = shard_map.families.release(&call, &id.0);
        if let Some(record) = self.attempts.get(&call) {
            let (node, latency) = (record.node.clone(), self.clock.now() - record.started_at_s);
            self.attempts.report_end(id, &node, AttemptOutcome::Cancelled, latency);
            self.work_ready.notify_one();
        }
        if last {
            self.abort_attempt(&call, AttemptOutcome::Cancelled);
        }
    }

    fn answer(&mut self, query: &str, whole: bool) {
        let what = if whole { "merged" } else { "merged_in_part" };
        let Some((query, closes)) = self.close_query(query, what) else { return };
        self.check_answer(&query, whole);
        let mut out = query.client.output.borrow_mut();
        #[cfg(feature = "faults")]
        if self.shard_map.as_ref().is_some_and(|shard_map| shard_map.by_answers) {
            let parts = query.requests.iter().filter_map(|p| {
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
        let parts = query.requests.iter().filter_map(|p| Some((p.shard, p.value.as_deref()?)));
        answer::merged(&mut out, whole, parts, closes);
    }

    fn reject(&mut self, query: &str, come_back: Option<f64>) {
        let Some((query, closes)) = self.close_query(query, "rejected") else { return };
        self.check_rejection(&query);
        answer::plain(&mut query.client.output.borrow_mut(), 503, "rejected, try again", come_back, closes);
    }

    fn fail(&mut self, query: &str) {
        let Some((query, closes)) = self.close_query(query, "aborted") else { return };
        answer::plain(&mut query.client.output.borrow_mut(), 504, "aborted", None, closes);
    }

    fn set_timer(&mut self, span: f64, tag: u64) {
        self.timers.push((self.clock.now() + span, tag));
    }

    fn poll_endpoints(&mut self) {
        self.poll_requested.notify_one();
    }

    fn share_observation(&mut self, node: &str, seen: NodeObservation) {
        if let Some(peers) = &self.gossip {
            peers.borrow_mut().say(node, seen);
            self.counters.increment("evidence_told");
        }
        if self.shared.broadcast_observation(ObservationMessage {
            core: self.core,
            node: node.into(),
            observation: seen,
        }) {
            self.counters.increment("evidence_told");
        }
    }

    fn query_ended(&mut self, late: bool) {
        self.gossip.iter().for_each(|peers| peers.borrow_mut().view.over(late));
    }

    fn log(&mut self, text: &str) {
        tracing::info!(target: "module", "{text}");
    }
}
