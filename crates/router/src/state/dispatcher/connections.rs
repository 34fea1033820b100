//! Connections to data nodes: which one carries an attempt, what may begin to be written, and what the end of a
//! connection proves about the attempts on it.
use super::Dispatcher;
use crate::state::attempts::AttemptId;
use crate::state::node_connection::{AttemptPosition, Dial, NodeConnection, OutboundFrame, Unfinished};
use crate::state::node_protocol::{AttemptRequest, KeysAtVersion, NodeFrameWriter};
use crate::state::shard_map::ShardMapView;
use alderway::interface::{AttemptOutcome, NodeState};
use alderway::permits::{self, Denial};
use alderway_cores::fence;

impl Dispatcher {
    /// A connection with capacity for a batch: one that is up, else one that is being opened, else a new one.
    pub(super) fn choose_connection(&mut self, node: &str, batch: &[AttemptId], now: f64) -> Option<u64> {
        let streams = self.connection_config.streams_per_connection;
        let record = self.endpoints.nodes.get(node)?;
        let least_used = |streams| {
            let usable = record.connections.iter().filter(|(_, c)| c.can_take(batch, streams));
            usable.min_by_key(|(_, c)| (!c.is_up, c.used_streams())).map(|(number, _)| *number)
        };
        if let Some(number) = least_used(streams) {
            return Some(number);
        }
        // Guards against cores that together open more connections than a data node accepts: past the stated number,
        // attempts wait on a full connection until one of its streams is free.
        let open = record.connections.values().filter(|c| !c.is_retired && !c.is_aborted).count();
        if open >= self.shared.max_connections_per_node
            && let Some(number) = least_used(usize::MAX)
        {
            self.counters.increment("calls_past_places");
            return Some(number);
        }
        self.endpoints.last_connection += 1;
        let number = self.endpoints.last_connection;
        let record = self.endpoints.nodes.get_mut(node)?;
        record.connections.insert(number, NodeConnection::new(now));
        self.pending_dials.push(Dial { node: node.into(), connection: number, address: record.address });
        Some(number)
    }

    fn remove_connection(&mut self, node: &str, number: u64) -> Option<NodeConnection> {
        self.endpoints.nodes.get_mut(node)?.connections.remove(&number)
    }

    /// A reply could not be read, so nothing more can be made out on its connection, which this side closes. One
    /// attempt has failed: that of the request which the reply names, else the one in flight longest. The others are
    /// cancelled, which closing the connection is by the protocol. Guards against an unreadable reply being taken for
    /// a reset of every attempt beside it, which would show a sound data node as one that is down.
    pub fn connection_corrupted(&mut self, node: &str, number: u64, request_id: Option<&str>) {
        self.counters.increment("answers_spoilt");
        let Some(connection) = self.remove_connection(node, number) else { return };
        let Unfinished { unsent, mut in_flight } = connection.into_unfinished();
        unsent.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::NeverSent));
        let started_at_s =
            |id: &AttemptId| self.attempts.get(id).map_or(f64::INFINITY, |attempt| attempt.started_at_s);
        let named = in_flight.iter().position(|id| Some(&*id.request_id) == request_id);
        let longest = (0..in_flight.len())
            .min_by(|&a, &b| started_at_s(&in_flight[a]).total_cmp(&started_at_s(&in_flight[b])));
        if let Some(failed) = named.or(longest) {
            self.end_attempt(&in_flight.swap_remove(failed), AttemptOutcome::Error);
        }
        in_flight.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::Cancelled));
    }

    /// A connection has ended, or could not be opened. What was not written whole was never executed.
    pub fn connection_lost(&mut self, node: &str, number: u64) {
        let Some(connection) = self.remove_connection(node, number) else { return };
        let Unfinished { unsent, in_flight } = connection.into_unfinished();
        unsent.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::Unreachable));
        in_flight.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::ConnectionReset));
    }

    /// A connection could not be opened for lack of resources on this side: its attempts were never sent, which says
    /// nothing about the data node.
    pub fn connection_not_opened(&mut self, node: &str, number: u64) {
        let Some(connection) = self.remove_connection(node, number) else { return };
        let unsent = connection.into_unfinished().unsent;
        unsent.iter().for_each(|id| self.end_attempt(id, AttemptOutcome::NeverSent));
    }

    /// A data node has closed a connection that was idle. What is queued there goes out on another one. This ends:
    /// each such connection has served before.
    pub fn requeue_unsent(&mut self, node: &str, number: u64) {
        let Some(mut connection) = self.remove_connection(node, number) else { return };
        let queued = connection.take_queued();
        self.counters.add("calls_put_back", queued.len());
        if queued.is_empty() {
            return;
        }
        for id in &queued {
            if let Some(attempt) = self.attempts.get_mut(id) {
                attempt.connection = None;
            }
        }
        if let Some(record) = self.endpoints.nodes.get_mut(node) {
            record.unsent_attempts.extend(queued);
            self.nodes_to_flush.insert(node.to_string());
        }
    }

    /// Writes the next frame of a connection; false when there is none that may begin.
    pub fn next_frame(&mut self, node: &str, number: u64, writer: &mut impl NodeFrameWriter) -> bool {
        self.drop_denied_attempts(node, number);
        let now = self.clock.now();
        if self.is_held_by_fence(node, number, now) {
            return false;
        }
        let frame = self.endpoints.connection(node, number).and_then(|connection| connection.begin_frame());
        match frame {
            None => return false,
            Some(OutboundFrame::Cancel(request_id)) => {
                writer.write_cancel(request_id);
                self.counters.increment("frames_sent{give_up}");
            }
            Some(OutboundFrame::Attempts(attempts)) => {
                let attempts = attempts.clone();
                writer.write_attempts(attempts.iter().filter_map(|id| self.attempt_request(id, now)));
                self.counters.increment("frames_sent{call}");
                for id in attempts {
                    if let Some(request) = self.queries.request_mut(&id.request_id) {
                        request.note_execution(id.number, now);
                    }
                }
            }
        }
        true
    }

    /// What a frame says of an attempt; none where its query is over.
    fn attempt_request<'a>(&'a self, id: &'a AttemptId, now: f64) -> Option<AttemptRequest<'a>> {
        let requested = self.queries.requested(&id.request_id)?;
        let timeout_at_s =
            self.attempts.get(id).map_or(requested.not_after_s, |attempt| attempt.timeout_at_s);
        let version = self.shard_map.as_ref().and_then(ShardMapView::version).unwrap_or(0);
        Some(AttemptRequest {
            request_id: &id.request_id,
            shard: requested.shard,
            timeout_ms: permits::attempt_timeout_for_node_ms(now, timeout_at_s, requested.not_after_s),
            text: requested.text,
            keys: requested.keys.map(|keys| KeysAtVersion { version, keys }),
        })
    }

    /// Whether the next frame would start attempts that the fence holds back. Guards against a core that stood still
    /// while its endpoint list changed: what it decided by the old list waits until it has caught up.
    fn is_held_by_fence(&mut self, node: &str, number: u64, now: f64) -> bool {
        let Err(reason) = self.shared.fence.passes(self.endpoints_generation, now) else { return false };
        let connection = self.endpoints.connection(node, number);
        if !connection.is_some_and(|connection| connection.next_starts_attempts()) {
            return false;
        }
        if !std::mem::replace(&mut self.is_fenced, true) {
            self.counters.increment(match reason {
                fence::Held::Behind => "sends_held_back{roster_behind}",
                fence::Held::Unled => "sends_held_back{lead_late}",
            });
        }
        true
    }

    /// The socket took no byte of the frame that was to begin. Guards against a frame that goes out long after it was
    /// encoded: its attempts are checked, and it is encoded, anew.
    pub fn frame_not_started(&mut self, node: &str, number: u64) {
        let Some(connection) = self.endpoints.connection(node, number) else { return };
        let attempts = connection.writing_attempts().to_vec();
        connection.return_frame();
        for id in attempts {
            if let Some(request) = self.queries.request_mut(&id.request_id) {
                request.forget_execution(id.number);
            }
        }
        self.counters.increment("frames_not_taken");
    }

    /// Why an attempt of the next frame may not begin, if it may not. It may have waited for a dial or a stream past its
    /// time, or past the window in which its data node drops repeats.
    fn denial(&self, id: &AttemptId, node: NodeState, now: f64) -> Option<Denial> {
        let Some((class, request)) = self.queries.class_and_request(&id.request_id) else {
            return Some(Denial::QueryEnded);
        };
        let start = permits::AttemptToStart {
            now_s: now,
            deadline_s: self.attempts.get(id).map_or(now, |attempt| attempt.timeout_at_s),
            idempotency: self.query_classes[class].idempotency,
            first_effect_at_s: request.first_possible_execution(None),
            node_state: node,
        };
        permits::may_start_attempt(&start).err()
    }

    /// Ends the attempts of the next frame that may not begin any more, as ones that were never sent.
    fn drop_denied_attempts(&mut self, node: &str, number: u64) {
        let now = self.clock.now();
        loop {
            let Some(connection) = self.endpoints.connection(node, number) else { return };
            let next = connection.next_attempts().to_vec();
            let state = self.endpoints.nodes.get(node).map_or(NodeState::Removed, |record| record.state);
            let denied: Vec<(AttemptId, Denial)> =
                next.iter().filter_map(|id| Some((id.clone(), self.denial(id, state, now)?))).collect();
            self.counters.add("calls_too_late_to_begin", denied.len());
            for (id, denial) in &denied {
                self.counters.increment(&format!("calls_denied{{{}}}", denial.label()));
                self.abort_attempt(id, AttemptOutcome::NeverSent);
                // Guards against an attempt that has ended and is queued still: aborting it changes nothing.
                if let Some(connection) = self.endpoints.connection(node, number) {
                    connection.remove_queued(id);
                }
            }
            // A frame with no attempt left is gone, and the one behind it is next.
            if denied.is_empty() || denied.len() < next.len() {
                return;
            }
        }
    }

    /// After a change of the endpoint list: no attempt that has not begun goes to a node that drains or is gone, and
    /// connections of removed nodes close as they fall idle.
    pub fn endpoints_changed(&mut self) {
        for name in self.endpoints.retire_unserving() {
            for id in self.attempts.on_node(&name) {
                let has_connection =
                    self.attempts.get(&id).is_some_and(|attempt| attempt.connection.is_some());
                if !has_connection || matches!(self.position_of(&id), Some(AttemptPosition::Queued)) {
                    self.abort_attempt(&id, AttemptOutcome::NeverSent);
                }
            }
        }
        self.counters.increment("roster_changes");
        self.work_ready.notify_one();
    }

    /// Polling the endpoint list failed; the last one holds.
    pub fn endpoint_poll_failed(&mut self) {
        self.endpoints.has_poll_failed = true;
        self.work_ready.notify_one();
    }

    /// Lets attempts go on that the fence held back, once it lets them pass.
    pub fn recheck_fence(&mut self) {
        if self.is_fenced && self.shared.fence.passes(self.endpoints_generation, self.clock.now()).is_ok() {
            self.is_fenced = false;
            let connections = self.endpoints.nodes.values().flat_map(|record| record.connections.values());
            connections.for_each(|connection| connection.wake.notify_one());
        }
    }
}
