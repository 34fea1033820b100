//! The router's end of its subscription: which control server it is connected to, which versions it accepts, and how old
//! its active version may be.
//!
//! Fed what became of connections and offers, messages, and the time, in seconds of the router's monotonic clock; returns
//! [`Command`]s to its driver and messages to the control server. No query depends on it: without a control server the
//! router goes on with the version that it has.
mod config;
mod connection;
mod endpoint_selection;
mod events;
mod freshness;
mod version_state;

use crate::content::VersionContent;
use crate::messages::{self, ApplyOutcome, ControlMessage, RouterMessage};
use crate::rate_limit::TokenBucket;
use crate::version::VersionNumber;
pub use config::{ControlEndpoint, SubscriptionConfig};
use connection::{Assembled, Connection, Heartbeat, Part};
use endpoint_selection::EndpointSelector;
pub use events::{Command, Event};
use freshness::Freshness;
use std::collections::VecDeque;
pub use version_state::{ConfigVersion, ReceiveResult, VersionState};

/// Bytes of the longest frame with a heartbeat request.
const MAX_HEARTBEAT_REQUEST_BYTES: usize = 24;
/// Upper bound in seconds of the growing time after which a control server that is behind is left.
const MAX_BEHIND_TIMEOUT_S: f64 = 60.0;
/// Commands beyond which no more lines are queued for the log, should the driver not take them.
const MAX_QUEUED_COMMANDS: usize = 256;

/// Counters of a [`Subscriber`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SubscriberMetrics {
    /// Connection attempts.
    pub connect_attempts: u64,
    /// Connections that ended.
    pub connections_lost: u64,
    /// Connections that were given up for lack of messages.
    pub connections_timed_out: u64,
    /// Control servers that were left because they were behind or without a quorum.
    pub replicas_behind: u64,
    /// Versions that became active.
    pub versions_applied: u64,
    /// Versions that are not valid for this router.
    pub versions_rejected: u64,
    /// Versions that need a restart.
    pub versions_pending_restart: u64,
    /// Versions that were received complete.
    pub snapshots: u64,
    /// Versions that were received as patches.
    pub patches: u64,
    /// Contents that did not result in their settings.
    pub digest_mismatches: u64,
    /// Connections on which the control server had other settings under a number.
    pub conflicts: u64,
    /// Messages with versions that the router has or has passed.
    pub stale_messages: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
}

#[derive(Debug)]
enum ConnectionState {
    /// The next attempt is at this time.
    Backoff {
        until: f64,
    },
    /// An attempt is under way; it is given up at this time.
    Connecting {
        until: f64,
    },
    Connected(Box<Connection>),
}

/// The state of a router's subscription.
#[derive(Debug)]
pub struct Subscriber {
    config: SubscriptionConfig,
    selector: EndpointSelector,
    state: ConnectionState,
    versions: VersionState,
    freshness: Freshness,
    /// Seconds after which a control server that is behind is left.
    behind_timeout_s: f64,
    /// An outcome that has yet to be reported.
    unreported: Option<(VersionNumber, ApplyOutcome)>,
    /// The last outcome, if the version did not become active: every control server has to hear of it.
    not_applied: Option<(VersionNumber, ApplyOutcome)>,
    last_sequence: u64,
    bucket: TokenBucket,
    commands: VecDeque<Command>,
    /// Counters.
    pub metrics: SubscriberMetrics,
}

impl Subscriber {
    /// A subscriber that is about to connect. `persisted` is the version that the router started with, if there is one,
    /// and when it was last confirmed to be the newest by the clock that is fed.
    pub fn new(
        config: SubscriptionConfig,
        endpoints: Vec<ControlEndpoint>,
        zone: &str,
        persisted: Option<(ConfigVersion, Option<f64>)>,
        seed: u64,
        now: f64,
    ) -> Self {
        let (active, confirmed_at) = persisted.unwrap_or_default();
        let mut selector = EndpointSelector::new(config, endpoints, zone, seed);
        let until = now + selector.initial_delay_s();
        Subscriber {
            config,
            selector,
            state: ConnectionState::Backoff { until },
            versions: VersionState::resume(active),
            freshness: Freshness::new(&config, confirmed_at, now),
            behind_timeout_s: config.behind_timeout_s,
            unreported: None,
            not_applied: None,
            last_sequence: 0,
            bucket: TokenBucket::empty(config.send_limit, now),
            commands: VecDeque::new(),
            metrics: SubscriberMetrics::default(),
        }
    }

    /// The versions of the router.
    pub fn versions(&self) -> &VersionState {
        &self.versions
    }

    /// The control server that the router is subscribed at.
    pub fn connected_to(&self) -> Option<&ControlEndpoint> {
        match &self.state {
            ConnectionState::Connected(connection) => self.selector.endpoint(connection.endpoint),
            _ => None,
        }
    }

    /// Upper bound in seconds of the time since the active version was the newest. None if it may be of any age.
    pub fn staleness_s(&self, now: f64) -> Option<f64> {
        self.freshness.staleness_s(now)
    }

    /// When the active version was last known to be the newest.
    pub fn confirmed_at(&self) -> Option<f64> {
        self.freshness.confirmed_at()
    }

    /// Seconds since the last heartbeat of a control server with a quorum and no older version.
    pub fn unconfirmed_s(&self, now: f64) -> f64 {
        self.freshness.unconfirmed_s(now)
    }

    /// The next command, to be carried out in this order.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    fn log(&mut self, event: Event) {
        if self.commands.len() < MAX_QUEUED_COMMANDS {
            self.commands.push_back(Command::Log(event));
        }
    }

    fn endpoint_name(&self, index: usize) -> String {
        self.selector.endpoint(index).map_or_else(String::new, |endpoint| endpoint.name.clone())
    }

    /// When [`Subscriber::tick`] or [`Subscriber::next_message`] has something to do, if nothing comes in before.
    pub fn next_deadline(&self) -> f64 {
        let connection = match &self.state {
            ConnectionState::Backoff { .. } if self.selector.is_empty() => f64::INFINITY,
            ConnectionState::Backoff { until } | ConnectionState::Connecting { until } => *until,
            ConnectionState::Connected(connection) => self.connection_deadline(connection),
        };
        connection.min(self.freshness.warning_due_at())
    }

    fn connection_deadline(&self, connection: &Connection) -> f64 {
        let timeout = connection.last_received + self.config.heartbeat_timeout_s;
        let send = if connection.subscribe.is_some() || self.unreported.is_some() {
            self.bucket.ready_at(self.config.send_limit.burst_bytes as usize)
        } else {
            connection.next_heartbeat_at.max(self.bucket.ready_at(MAX_HEARTBEAT_REQUEST_BYTES))
        };
        let leave = match connection.behind_since {
            Some(since) => since + self.behind_timeout_s,
            None => connection.return_at,
        };
        timeout.min(send).min(leave)
    }

    /// Does what is due by the time alone.
    pub fn tick(&mut self, now: f64) {
        if now >= self.freshness.warning_due_at() {
            self.warn_stale(now);
        }
        match &self.state {
            ConnectionState::Backoff { until } if now >= *until && !self.selector.is_empty() => {
                self.connect(now);
            }
            ConnectionState::Connecting { until } if now >= *until => {
                self.commands.push_back(Command::Disconnect);
                self.back_off(now);
            }
            ConnectionState::Connected(_) => self.check_connection(now),
            ConnectionState::Backoff { .. } | ConnectionState::Connecting { .. } => {}
        }
    }

    fn warn_stale(&mut self, now: f64) {
        let is_connected = matches!(&self.state, ConnectionState::Connected(connection)
            if connection.behind_since.is_some());
        self.log(Event::Stale {
            number: self.versions.active().number,
            unconfirmed_s: self.unconfirmed_s(now),
            staleness_s: self.staleness_s(now),
            is_connected,
        });
        self.freshness.warned(now);
    }

    fn connect(&mut self, now: f64) {
        self.state = ConnectionState::Connecting { until: now + self.config.connect_timeout_s };
        self.metrics.connect_attempts += 1;
        self.commands.push_back(Command::Connect(self.selector.current()));
    }

    /// Leaves a control server that is silent, behind for too long, or of another zone for long enough.
    fn check_connection(&mut self, now: f64) {
        let ConnectionState::Connected(connection) = &self.state else { return };
        let silent_s = now - connection.last_received;
        let is_behind = connection.behind_since.is_some_and(|since| now >= since + self.behind_timeout_s);
        let returns = connection.behind_since.is_none() && now >= connection.return_at;
        let index = connection.endpoint;
        if silent_s >= self.config.heartbeat_timeout_s {
            self.metrics.connections_timed_out += 1;
            self.disconnect(Event::ConnectionTimedOut { endpoint: self.endpoint_name(index), silent_s }, now);
        } else if is_behind {
            self.metrics.replicas_behind += 1;
            // Where all control servers are behind, moving among them helps nobody.
            let longest_s = MAX_BEHIND_TIMEOUT_S.max(self.config.behind_timeout_s);
            self.behind_timeout_s = (2.0 * self.behind_timeout_s).min(longest_s);
            self.disconnect(Event::ReplicaBehind { endpoint: self.endpoint_name(index) }, now);
        } else if returns {
            self.disconnect(Event::ReturningToOwnZone { endpoint: self.endpoint_name(index) }, now);
            self.selector.return_to_own_zone();
            self.state = ConnectionState::Backoff { until: now };
        }
    }

    fn disconnect(&mut self, event: Event, now: f64) {
        self.log(event);
        self.commands.push_back(Command::Disconnect);
        self.back_off(now);
    }

    /// Goes on to the next control server, after a backoff.
    fn back_off(&mut self, now: f64) {
        let until = now + self.selector.advance();
        self.state = ConnectionState::Backoff { until };
    }

    /// The control server that was connected to has said hello.
    pub fn connection_opened(&mut self, now: f64) {
        if !matches!(self.state, ConnectionState::Connecting { .. }) {
            return;
        }
        let endpoint = self.selector.current();
        let return_at = self.selector.connected(endpoint).map_or(f64::INFINITY, |delay_s| now + delay_s);
        self.state = ConnectionState::Connected(Box::new(Connection::new(endpoint, return_at, now)));
        // The subscribe message tells the active version; of one that did not become active this control server has yet
        // to hear.
        self.unreported = self.not_applied.clone();
        self.log(Event::Connected { endpoint: self.endpoint_name(endpoint) });
    }

    /// The connection attempt failed, or the connection ended.
    pub fn connection_closed(&mut self, now: f64) {
        match &self.state {
            ConnectionState::Backoff { .. } => {}
            ConnectionState::Connecting { .. } => self.back_off(now),
            ConnectionState::Connected(connection) => {
                let endpoint = self.endpoint_name(connection.endpoint);
                self.metrics.connections_lost += 1;
                self.log(Event::ConnectionLost { endpoint });
                self.back_off(now);
            }
        }
    }

    /// A message of the control server came.
    pub fn receive(&mut self, message: ControlMessage, now: f64) {
        let ConnectionState::Connected(connection) = &mut self.state else { return };
        connection.last_received = now;
        match message {
            ControlMessage::Heartbeat { sequence, latest, digest, staleness_s, has_quorum } => {
                self.receive_heartbeat(Heartbeat { sequence, latest, digest, staleness_s, has_quorum }, now);
            }
            ControlMessage::ContentPart { number, base, digest, total_bytes, offset, bytes } => {
                let (total_bytes, offset) = (total_bytes as usize, offset as usize);
                self.receive_part(Part { number, base, digest, total_bytes, offset, bytes }, now);
            }
        }
    }

    fn receive_part(&mut self, part: Part, now: f64) {
        let (number, base) = (part.number, part.base);
        if number < self.versions.received().number {
            self.metrics.stale_messages += 1;
            return;
        }
        let ConnectionState::Connected(connection) = &mut self.state else { return };
        match connection.assembly.add(part) {
            Assembled::Incomplete => {}
            Assembled::Complete(content) => self.receive_content(&content, now),
            Assembled::Invalid => self.digest_mismatch(number, base, now),
        }
    }

    fn receive_content(&mut self, content: &VersionContent, now: f64) {
        match self.versions.receive(content) {
            ReceiveResult::New => {
                let metrics = &mut self.metrics;
                let counter = if content.base > 0 { &mut metrics.patches } else { &mut metrics.snapshots };
                *counter += 1;
                self.offer_version();
            }
            ReceiveResult::Stale => self.metrics.stale_messages += 1,
            ReceiveResult::DigestMismatch => self.digest_mismatch(content.number, content.base, now),
            ReceiveResult::Conflict => self.conflict(content.number, now),
        }
    }

    /// The router keeps the settings that it has under this number, and treats the control server as one that is behind.
    fn conflict(&mut self, number: VersionNumber, now: f64) {
        let ConnectionState::Connected(connection) = &mut self.state else { return };
        if connection.behind_since.is_some() {
            return;
        }
        connection.behind_since = Some(now);
        self.metrics.conflicts += 1;
        let endpoint = connection.endpoint;
        self.log(Event::Conflict { endpoint: self.endpoint_name(endpoint), number });
    }

    /// After an unusable patch complete settings are requested. A control server that sends unusable complete settings is
    /// left.
    fn digest_mismatch(&mut self, number: VersionNumber, base: VersionNumber, now: f64) {
        self.metrics.digest_mismatches += 1;
        let ConnectionState::Connected(connection) = &mut self.state else { return };
        connection.subscribe = Some(true);
        let endpoint = connection.endpoint;
        let event = Event::DigestMismatch { endpoint: self.endpoint_name(endpoint), number };
        if base > 0 {
            self.log(event);
        } else {
            self.disconnect(event, now);
        }
    }

    fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: f64) {
        let Heartbeat { sequence, latest, digest, staleness_s, has_quorum } = heartbeat;
        let ConnectionState::Connected(connection) = &mut self.state else { return };
        let Some(requested_at) = connection.heartbeat_answered(sequence) else { return };
        let received = self.versions.received();
        if latest == received.number && digest != received.digest {
            return self.conflict(latest, now);
        }
        // What is not a number or negative confirms nothing.
        let staleness_s = if staleness_s >= 0.0 { staleness_s } else { f64::INFINITY };
        let is_behind = latest < received.number;
        let active = self.versions.active().number;
        if !is_behind {
            self.freshness.record_confirmation(latest, active, staleness_s, requested_at);
        }
        if is_behind || !has_quorum || !self.freshness.is_recent(staleness_s) {
            connection.behind_since.get_or_insert(now);
            return;
        }
        connection.behind_since = None;
        if now - connection.opened_at >= self.config.heartbeat_interval_s {
            self.selector.reset_backoff();
            self.behind_timeout_s = self.config.behind_timeout_s;
        }
        if self.freshness.record_good_heartbeat(now) && latest == active {
            self.log(Event::FreshAgain { number: latest });
        }
    }

    fn offer_version(&mut self) {
        let Some(offer) = self.versions.next_offer() else { return };
        // Received settings were parsed when they were accepted.
        let settings = serde_json::from_str(&offer.text).unwrap_or_default();
        self.commands.push_back(Command::Apply { number: offer.number, settings });
    }

    /// The router has answered [`Command::Apply`].
    pub fn offer_completed(&mut self, number: VersionNumber, outcome: ApplyOutcome) {
        let outcome = outcome.truncated();
        let persisted_before = self.versions.persisted().number;
        if !self.versions.complete_offer(number, &outcome) {
            return;
        }
        self.record_outcome(number, &outcome);
        if self.versions.persisted().number != persisted_before {
            self.commands.push_back(Command::Persist(self.versions.persisted().clone()));
        }
        self.not_applied = Some((number, outcome.clone())).filter(|_| outcome != ApplyOutcome::Applied);
        self.unreported = Some((number, outcome));
        self.offer_version();
    }

    fn record_outcome(&mut self, number: VersionNumber, outcome: &ApplyOutcome) {
        let active = self.versions.active().number;
        match outcome {
            ApplyOutcome::Applied => {
                self.metrics.versions_applied += 1;
                self.freshness.record_applied(number);
                self.log(Event::Applied { number });
            }
            ApplyOutcome::PendingRestart(keys) => {
                self.metrics.versions_pending_restart += 1;
                self.log(Event::PendingRestart { number, active, keys: keys.clone() });
            }
            ApplyOutcome::Rejected(reason) => {
                self.metrics.versions_rejected += 1;
                self.log(Event::Rejected { number, active, reason: reason.clone() });
            }
        }
    }

    /// The next frame, if one may be sent now. A subscribe message precedes a heartbeat request, and that a report.
    pub fn next_message(&mut self, now: f64) -> Option<Vec<u8>> {
        let ConnectionState::Connected(connection) = &mut self.state else { return None };
        let message = if let Some(needs_snapshot) = connection.subscribe {
            let (received, active) = (self.versions.received(), self.versions.active().number);
            RouterMessage::Subscribe {
                received: received.number,
                digest: received.digest,
                active,
                needs_snapshot,
            }
        } else if now >= connection.next_heartbeat_at {
            RouterMessage::HeartbeatRequest { sequence: self.last_sequence + 1 }
        } else {
            let (number, outcome) = self.unreported.clone()?;
            RouterMessage::ApplyReport { number, outcome }
        };
        let frame = messages::encode_frame(&message);
        if !self.bucket.try_take(frame.len(), now) {
            return None;
        }
        self.metrics.bytes_sent += frame.len() as u64;
        match message {
            RouterMessage::Subscribe { .. } => connection.subscribe = None,
            RouterMessage::HeartbeatRequest { sequence } => {
                self.last_sequence = sequence;
                connection.heartbeat_requested(sequence, self.config.heartbeat_interval_s, now);
            }
            RouterMessage::ApplyReport { .. } => self.unreported = None,
        }
        Some(frame)
    }
}
