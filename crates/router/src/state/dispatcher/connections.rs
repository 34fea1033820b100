//! Connections to data nodes: which connection carries an attempt, which frames may be written, and how the
//! attempts on a connection end when the connection closes. An attempt uses one stream of its connection
//! until the attempt is answered or cancelled. The policy is the code that decides about queries and
//! attempts. A fence, shared by all cores, keeps this core from starting attempts while its endpoint list may
//! be outdated.
use super::Dispatcher;
use crate::state::attempts::{AdvertisedTimeout, AttemptId};
use crate::state::node_connection::{
    DialRequest, NodeConnection, OutboundFrame, SendProgress, UnfinishedAttempts,
};
use crate::state::node_protocol::{AttemptRequest, KeysAtVersion, NodeFrameWriter};
use crate::state::shard_map::ShardMapView;
use alderway::interface::{AttemptOutcome, NodeState};
use alderway::permits::{self, Denial};
use alderway_cores::fence;

impl Dispatcher {
    /// Chooses a connection to a data node with a free stream for each attempt of a batch: an open
    /// connection, else a connection that is being opened, else a new one. Returns the number of the chosen
    /// connection; `None` if the data node is unknown.
    pub(super) fn choose_connection(&mut self, node: &str, batch: &[AttemptId], now: f64) -> Option<u64> {
        let streams = self.connection_config.streams_per_connection;
        let record = self.endpoints.nodes.get(node)?;
        let least_used = |streams| {
            let usable = record.connections.iter().filter(|(_, c)| c.can_take(batch, streams));
            usable.min_by_key(|(_, c)| (!c.is_open, c.used_streams())).map(|(number, _)| *number)
        };
        if let Some(number) = least_used(streams) {
            return Some(number);
        }
        // Guards against the cores together opening more connections than a data node accepts: at the maximum
        // number of connections, attempts are queued on a connection without free streams.
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
        self.pending_dials.push(DialRequest {
            node: node.into(),
            connection: number,
            address: record.address,
        });
        Some(number)
    }

    pub(super) fn remove_connection(&mut self, node: &str, number: u64) -> Option<NodeConnection> {
        self.endpoints.nodes.get_mut(node)?.connections.remove(&number)
    }

    /// Removes a connection on which an unreadable reply was received; the router closes the connection,
    /// because the bytes that follow cannot be decoded. One attempt fails: the attempt of `request_id` if the
    /// reply names a shard request, else the one that was started first. The other attempts in flight are
    /// cancelled; by the protocol, closing the connection cancels them at the data node. Guards against
    /// counting one unreadable reply as a reset of all these attempts, which would make a healthy data node
    /// look unreachable.
    pub fn connection_corrupted(&mut self, node: &str, number: u64, request_id: Option<&str>) {
        self.counters.increment("answers_spoilt");
        let Some(connection) = self.remove_connection(node, number) else { return };
        let UnfinishedAttempts { unsent, mut in_flight } = connection.into_unfinished();
        unsent.iter().for_each(|id| self.record_attempt_end(id, AttemptOutcome::NeverSent));
        let started_at_s =
            |id: &AttemptId| self.attempts.get(id).map_or(f64::INFINITY, |attempt| attempt.started_at_s);
        let named = in_flight.iter().position(|id| Some(&*id.request_id) == request_id);
        let longest = (0..in_flight.len())
            .min_by(|&a, &b| started_at_s(&in_flight[a]).total_cmp(&started_at_s(&in_flight[b])));
        if let Some(failed) = named.or(longest) {
            self.record_attempt_end(&in_flight.swap_remove(failed), AttemptOutcome::Error);
        }
        in_flight.iter().for_each(|id| self.record_attempt_end(id, AttemptOutcome::Cancelled));
    }

    /// Removes a connection that the data node closed, that broke, or that could not be opened. Attempts
    /// whose frame was not completely written end as unreachable, as the data node cannot have executed them;
    /// the others end as reset.
    pub fn connection_lost(&mut self, node: &str, number: u64) {
        let Some(connection) = self.remove_connection(node, number) else { return };
        let UnfinishedAttempts { unsent, in_flight } = connection.into_unfinished();
        unsent.iter().for_each(|id| self.record_attempt_end(id, AttemptOutcome::Unreachable));
        in_flight.iter().for_each(|id| self.record_attempt_end(id, AttemptOutcome::ConnectionReset));
    }

    /// Removes a connection that could not be opened because this process lacks resources. The attempts
    /// queued on it end as never sent, so that the policy does not count them as failures of the data node.
    pub fn connection_not_opened(&mut self, node: &str, number: u64) {
        let Some(connection) = self.remove_connection(node, number) else { return };
        let unsent = connection.into_unfinished().unsent;
        unsent.iter().for_each(|id| self.record_attempt_end(id, AttemptOutcome::NeverSent));
    }

    /// Removes a connection that the data node closed while no attempt was in flight, and queues the attempts
    /// of which no byte was written for another connection. Called only for a connection on which a reply was
    /// received before. Attempts on a connection that has received no reply, such as a new one, end when the
    /// connection closes, so no attempt is moved forever.
    pub fn requeue_unsent(&mut self, node: &str, number: u64) {
        let Some(mut connection) = self.remove_connection(node, number) else { return };
        let queued = connection.take_queued();
        self.put_back(node, queued);
    }

    /// Writes the next queued frame of a connection, or the frame that is being written, to `writer`. False
    /// if there is no frame, or if the frame starts attempts and the fence does not allow this core to start
    /// attempts.
    pub fn encode_next_frame(&mut self, node: &str, number: u64, writer: &mut impl NodeFrameWriter) -> bool {
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
                self.set_advertised_timeouts(&attempts, now);
                writer.write_attempts(attempts.iter().filter_map(|id| self.attempt_request(id)));
                self.counters.increment("frames_sent{call}");
                attempts.iter().for_each(|id| self.record_possible_execution(id, now));
            }
        }
        true
    }

    /// Sets the time-outs that the data node is told in the frame with these attempts. The time-outs count
    /// from the arrival of the frame, which takes longer for a large frame.
    fn set_advertised_timeouts(&mut self, attempts: &[AttemptId], now: f64) {
        let text_bytes = |id: &AttemptId| {
            self.queries.request_content(&id.request_id).map_or(0, |content| content.text.len())
        };
        let frame_bytes = attempts.iter().map(text_bytes).sum();
        for id in attempts {
            let Some(content) = self.queries.request_content(&id.request_id) else { continue };
            let not_after_s = content.not_after_s;
            let Some(attempt) = self.attempts.get_mut(id) else { continue };
            let arrival_s = now + permits::transit_time_s(frame_bytes, not_after_s - now);
            let timeout_ms =
                permits::attempt_timeout_for_node_ms(arrival_s, attempt.timeout_at_s, not_after_s);
            let arrive_by_s = permits::latest_arrival_s(timeout_ms, not_after_s);
            attempt.advertised = Some(AdvertisedTimeout { timeout_ms, arrive_by_s });
        }
    }

    /// The content of an attempt in a frame; `None` if the query of the attempt has ended.
    fn attempt_request<'a>(&'a self, id: &'a AttemptId) -> Option<AttemptRequest<'a>> {
        let requested = self.queries.request_content(&id.request_id)?;
        let advertised = self.attempts.get(id)?.advertised?;
        let version = self.shard_map.as_ref().and_then(ShardMapView::version).unwrap_or(0);
        Some(AttemptRequest {
            request_id: &id.request_id,
            shard: requested.shard,
            timeout_ms: advertised.timeout_ms,
            text: requested.text,
            keys: requested.keys.map(|keys| KeysAtVersion { version, keys }),
        })
    }

    /// Whether the next frame starts attempts while the fence does not allow this core to start attempts.
    /// Guards against a core that was stalled while the endpoint list changed: attempts that its policy
    /// started by the old list wait until the core has applied the new list.
    fn is_held_by_fence(&mut self, node: &str, number: u64, now: f64) -> bool {
        let Err(reason) = self.shared.fence.check(self.endpoints_generation, now) else { return false };
        let connection = self.endpoints.connection(node, number);
        if !connection.is_some_and(|connection| connection.next_starts_attempts()) {
            return false;
        }
        if !std::mem::replace(&mut self.has_held_attempts, true) {
            self.counters.increment(match reason {
                fence::Blocked::ListOutdated => "sends_held_back{roster_behind}",
                fence::Blocked::DiscoveryStale => "sends_held_back{lead_late}",
            });
        }
        true
    }

    /// Puts an encoded frame back into the queue, because the socket accepted no byte of it. Guards against
    /// writing a frame long after the frame was encoded: the attempts in the frame are checked and encoded
    /// again before the next write.
    pub fn frame_not_started(&mut self, node: &str, number: u64) {
        let Some(connection) = self.endpoints.connection(node, number) else { return };
        let attempts = connection.writing_attempts().to_vec();
        connection.return_frame();
        attempts.iter().for_each(|id| self.rule_out_execution(id));
        self.counters.increment("frames_not_taken");
    }

    /// The reason why an attempt of the next frame may not be sent at `now`; `None` if the attempt may be
    /// sent. For example, the attempt has waited for a connection or a stream until after its time-out or
    /// after the time in which data nodes drop duplicates.
    fn denial(&self, id: &AttemptId, node: NodeState, now: f64) -> Option<Denial> {
        let Some((class, request)) = self.queries.class_and_request(&id.request_id) else {
            return Some(Denial::QueryEnded);
        };
        let start = permits::AttemptToStart {
            now_s: now,
            deadline_s: self.attempt_deadline_s(id).unwrap_or(now),
            idempotency: self.query_classes[class].idempotency,
            first_effect_at_s: request.first_possible_execution(None),
            node_state: node,
        };
        permits::may_start_attempt(&start).err()
    }

    /// When the attempt's time-out or the client's deadline passes, whichever is first, in seconds of the
    /// monotonic clock; `None` if the attempt or its query has ended. The time-out may be the later one: a
    /// planner's decision takes time to arrive, and the time-out counts from its arrival.
    pub(super) fn attempt_deadline_s(&self, id: &AttemptId) -> Option<f64> {
        let not_after_s = self.queries.request_content(&id.request_id)?.not_after_s;
        Some(self.attempts.get(id)?.timeout_at_s.min(not_after_s))
    }

    /// Removes the attempts that may no longer be sent (see [`denial`](Self::denial)) from the next frame,
    /// and ends them as never sent.
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
                // Guards against an attempt that has ended but is still in the queued frame: `abort_attempt`
                // ignores ended attempts.
                if let Some(connection) = self.endpoints.connection(node, number) {
                    connection.remove_queued(id);
                }
            }
            // If all attempts of the frame were denied, the frame was removed and the following frame has to
            // be checked.
            if denied.is_empty() || denied.len() < next.len() {
                return;
            }
        }
    }

    /// Applies a change of the endpoint list to attempts and connections: attempts to a draining or removed
    /// data node end if no byte of their frame has been written, and connections to removed data nodes close
    /// when they are idle.
    pub fn endpoints_changed(&mut self) {
        for name in self.endpoints.retire_unserving() {
            for id in self.attempts.on_node(&name) {
                let has_connection =
                    self.attempts.get(&id).is_some_and(|attempt| attempt.connection.is_some());
                if !has_connection || matches!(self.send_progress_of(&id), Some(SendProgress::Queued)) {
                    self.abort_attempt(&id, AttemptOutcome::NeverSent);
                }
            }
        }
        self.counters.increment("roster_changes");
        self.work_ready.notify_one();
    }

    /// Records that a poll of the endpoint list failed. The last received list stays in use.
    pub fn endpoint_poll_failed(&mut self) {
        self.endpoints.has_poll_failed = true;
        self.work_ready.notify_one();
    }

    /// Wakes the connections whose frames with attempts were held back, if the fence now allows this core to
    /// start attempts.
    pub fn resume_held_attempts(&mut self) {
        if self.has_held_attempts
            && self.shared.fence.check(self.endpoints_generation, self.clock.now()).is_ok()
        {
            self.has_held_attempts = false;
            let connections = self.endpoints.nodes.values().flat_map(|record| record.connections.values());
            connections.for_each(|connection| connection.wake.notify_one());
        }
    }
}
