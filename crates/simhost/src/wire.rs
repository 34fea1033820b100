//! The simulator's line protocol: decodes the lines of a batch into calls of [`PolicyInput`], and encodes the
//! decisions of each query router's policy as lines of the reply. A batch is the lines up to `eob`; it
//! contains the events of one point in time for several routers.
//!
//! The names of messages, fields and values are the simulator's. Times on the wire are in microseconds.

mod line;
mod reply;

use alderway::interface::{AttemptOutcome, NodeState, PolicyInput};
use alderway::policy::Policy;
use alderway_deployment as deployment;
use line::{Line, MESSAGE_NAME_FIELD, Result};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

pub use line::MalformedLine;
pub use reply::{ReplyWriter, run_catching_panics};

const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Shortest time between two gossip messages of a query router to the other routers.
const GOSSIP_INTERVAL_S: f64 = 0.5;
/// Maximum of each count in a gossip message: that of late queries and that of queries in time. Further
/// queries are not counted. The sum of both counts fits into a byte, in which
/// [`PendingLatencyCounts::take_due`] adds them.
const GOSSIP_COUNT_MAX: u8 = 100;

fn attempt_outcome(line: &mut Line) -> Result<AttemptOutcome> {
    Ok(match line.required("Reason")? {
        "pass" => AttemptOutcome::Success,
        "fault" => AttemptOutcome::Error,
        "no_room" => AttemptOutcome::Rejected,
        "too_slow" => AttemptOutcome::TimedOut,
        "no_route" => AttemptOutcome::Unreachable,
        "cut" => AttemptOutcome::ConnectionReset,
        "undone" => AttemptOutcome::Cancelled,
        "stale_send" => AttemptOutcome::NeverSent,
        other => return line.malformed("Reason", format!("the outcome of an attempt, found `{other}`")),
    })
}

/// The `entry` lines of one `manifest` line, which is an endpoint list. A later `manifest` line with the same
/// number does not change these lines.
type EndpointLines<'a> = Rc<Vec<Line<'a>>>;

/// Decodes one `entry` line of an endpoint list and delivers it to the policy.
fn deliver_endpoint(mut line: Line, input: &mut dyn PolicyInput) -> Result<()> {
    let node = line.required("Node")?;
    line.optional("RegionPart")?;
    line.optional("Machine")?;
    let state = match line.required("Status")? {
        "healthy" => NodeState::Serving,
        "cordoned" => NodeState::Draining,
        "deregistered" => NodeState::Removed,
        other => {
            return line
                .malformed("Status", format!("`healthy`, `cordoned` or `deregistered`, found `{other}`"));
        }
    };
    line.skip_number("Rating")?;
    let started_at_s = match line.optional("StartedAtUs")? {
        None => None,
        Some(text) => match text.parse::<i64>() {
            Ok(at_us) => (at_us > 0).then_some(at_us as f64 / MICROSECONDS_PER_SECOND),
            Err(_) => return line.malformed("StartedAtUs", "a time in microseconds or `-`"),
        },
    };
    let replica_group = line.read_parsed("SlotNo", "a whole number")?;
    line.expect_end()?;
    input.endpoint_updated(node, replica_group, state, started_at_s);
    Ok(())
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let byte_at = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte_at).collect()
}

/// Decodes one event and calls the corresponding function of the policy. `endpoints` is the endpoint list
/// that the event refers to; `None` if it refers to no list.
fn deliver_event(
    mut line: Line,
    endpoints: Option<&EndpointLines>,
    class_names: &[String],
    accepts_gossip: bool,
    input: &mut dyn PolicyInput,
) -> Result<()> {
    match line.message {
        "directory_update" => {
            line.optional("Buffer")?;
            let mode = line.required("Mode")?;
            line.skip_number("Generation")?;
            match (mode, endpoints) {
                ("unavailable", _) => input.endpoint_poll_failed(),
                ("update" | "replace" | "restored", Some(endpoints)) => {
                    if mode != "update" {
                        input.endpoint_list_replaced();
                    }
                    for line in endpoints.iter() {
                        deliver_endpoint(line.clone(), input)?;
                    }
                }
                (other, _) => {
                    return line.malformed(
                        "Mode",
                        format!("`update`, `replace`, `restored` or `unavailable`, found `{other}`"),
                    );
                }
            }
        }
        // A `req` line with a negative `Shard` adds a query. Any other `req` line adds a shard request to the
        // query whose number is in the field `Query`.
        "req" => {
            let id = line.required("OpId")?;
            let class_name = line.required("Type")?;
            let Some(class) = class_names.iter().position(|name| name == class_name) else {
                let expected = format!("the name of a query class in the settings, found `{class_name}`");
                return line.malformed("Type", expected);
            };
            let tenant = line.optional("Customer")?.unwrap_or("");
            line.optional("Key")?;
            let not_after_s = line.seconds("NotAfterUs")?;
            line.skip_number("CostGuessUs")?;
            let query = line.finite_number("Query")? as u64;
            let shard = line.finite_number("Shard")?;
            let weight = line.finite_number("Heft")?;
            line.skip_number("Marks")?;
            if shard < 0.0 {
                input.query_arrived(query, id, class, tenant, not_after_s);
            } else {
                input.shard_request_added(query, id, shard as u32, weight);
            }
        }
        "finished" => {
            let request = line.required("OpId")?;
            line.flag("Settled")?;
            let latency_s = line.seconds("LatencyUs")?;
            let attempt = line.whole_number("Hop")? as usize;
            let outcome = attempt_outcome(&mut line)?;
            let node = line.required("Node")?;
            line.optional("Metrics")?;
            input.attempt_ended(request, attempt, node, outcome, latency_s);
        }
        "vanished" => input.client_disconnected(line.required("OpId")?),
        "timeout_fired" => input.timer_fired(line.whole_number("Tag")?),
        // The policy uses neither the start of an answer nor health checks: the fields of these events are
        // only checked.
        "started" => {
            line.required("OpId")?;
            line.whole_number("Hop")?;
            line.required("Node")?;
            line.seconds("LatencyUs")?;
        }
        "check_result" => {
            line.required("Node")?;
            attempt_outcome(&mut line)?;
            line.seconds("LatencyUs")?;
            line.optional("Metrics")?;
        }
        "from_peer" => {
            line.whole_number("Src")?;
            let text = line.optional("Bytes")?.unwrap_or_default();
            let Some(bytes) = decode_hex(text) else {
                return line.malformed("Bytes", "pairs of hex digits");
            };
            // Messages of another length are ignored, as this program sends only messages of two bytes.
            if let (true, [late, in_time]) = (accepts_gossip, bytes.as_slice()) {
                input.fleet_latency_counts(u32::from(*late), u32::from(*in_time));
            }
        }
        _ => return line.malformed(MESSAGE_NAME_FIELD, "the name of a message of the protocol"),
    }
    line.expect_end()
}

/// Numbers of this router's queries that have ended since its last gossip message: after their latency
/// objective (`late`), and within it (`in_time`).
#[derive(Default)]
struct PendingLatencyCounts {
    late: u8,
    in_time: u8,
    /// Earliest time of the next gossip message, in seconds on the simulator's clock.
    next_message_at_s: f64,
}

impl PendingLatencyCounts {
    fn count(&mut self, late: bool) {
        let count = if late { &mut self.late } else { &mut self.in_time };
        *count = (*count + 1).min(GOSSIP_COUNT_MAX);
    }

    /// Returns the counts (late, in time) if a gossip message is due and a count is not 0, and resets both to
    /// 0.
    fn take_due(&mut self, now_s: f64) -> Option<(u8, u8)> {
        if now_s < self.next_message_at_s || self.late + self.in_time == 0 {
            return None;
        }
        let counts = (self.late, self.in_time);
        *self = PendingLatencyCounts { next_message_at_s: now_s + GOSSIP_INTERVAL_S, ..Self::default() };
        Some(counts)
    }
}

/// One event for a query router, and the endpoint list that the event refers to, if any.
type RouterEvent<'a> = (Line<'a>, Option<EndpointLines<'a>>);

/// One query router of the simulation.
struct HostedRouter {
    policy: Policy,
    /// Names of the router's query classes, in the order of the classes' indices.
    class_names: Vec<String>,
    /// Counts for the next gossip message; `None` if the settings do not allow gossip between routers.
    gossip: Option<PendingLatencyCounts>,
}

impl HostedRouter {
    fn start(seed: u64, settings: &str) -> std::result::Result<Self, deployment::SettingsError> {
        let settings = deployment::parse(settings)?;
        let (policy, class_names) = deployment::policy(seed, &settings)?;
        let gossip = deployment::allows_gossip(&settings)?.then(PendingLatencyCounts::default);
        Ok(HostedRouter { policy, class_names, gossip })
    }

    /// Runs one round of the policy, which is one call of [`Policy::round`], with the events of a batch.
    /// Returns the policy's decisions as lines of the reply.
    fn run_round(&mut self, now_s: f64, events: Vec<RouterEvent>) -> Result<String> {
        let HostedRouter { policy, class_names, gossip } = self;
        let mut sent_counts = None;
        let deliver_events = |input: &mut dyn PolicyInput| {
            for (line, endpoints) in events {
                deliver_event(line, endpoints.as_ref(), class_names, gossip.is_some(), input)?;
            }
            sent_counts = gossip.as_mut().and_then(|pending| pending.take_due(now_s));
            if let Some((late, in_time)) = sent_counts {
                input.fleet_latency_counts(u32::from(late), u32::from(in_time));
            }
            Ok(())
        };
        let mut reply = ReplyWriter::default();
        run_catching_panics(&mut reply, |reply| policy.round(now_s, deliver_events, reply))?;
        if let Some(pending) = gossip {
            reply.take_ended_queries().into_iter().for_each(|late| pending.count(late));
            if let Some((late, in_time)) = sent_counts {
                reply.write_line(format_args!("publish * {late:02x}{in_time:02x}"));
            }
        }
        Ok(reply.into_lines())
    }
}

/// Hosts the policies of all query routers that this process runs for the simulator, by the routers' ids.
#[derive(Default)]
pub struct RouterHost {
    routers: BTreeMap<String, HostedRouter>,
    /// The latest endpoint list with each `manifest` number, as line numbers and texts. Later batches may
    /// refer to these lists.
    endpoint_lists: BTreeMap<u64, Vec<(usize, String)>>,
}

impl RouterHost {
    /// Runs one batch and returns the reply. `lines` are the lines of the batch without the closing `eob`;
    /// `first_line_number` is the number of the first of them in the input, counted from 1.
    ///
    /// # Errors
    /// A [`MalformedLine`] for the first line of the batch that cannot be decoded.
    pub fn run_batch(&mut self, lines: &[String], first_line_number: usize) -> Result<String> {
        let mut lines =
            lines.iter().enumerate().map(|(index, text)| Line::new(first_line_number + index, text));
        let mut frame = lines.next().unwrap_or(Line::new(first_line_number, "eob"));
        if frame.message != "frame" {
            return frame.malformed(MESSAGE_NAME_FIELD, "`frame` at the start of a batch");
        }
        let now_s = frame.seconds("(clock)")?;
        let serial = frame.whole_number("(batch number)")?;
        frame.expect_end()?;
        let previous_lists = std::mem::take(&mut self.endpoint_lists);
        let mut endpoint_lists: BTreeMap<u64, EndpointLines> = BTreeMap::new();
        for (number, entries) in &previous_lists {
            let entries = entries.iter().map(|(line_number, text)| Line::new(*line_number, text));
            endpoint_lists.insert(*number, Rc::new(entries.collect()));
        }
        let mut events_by_router: BTreeMap<&str, Vec<RouterEvent>> = BTreeMap::new();
        // Ids of routers in the order in which the batch first names them; the reply has the same order.
        let mut router_order: Vec<&str> = Vec::new();
        let mut current_router: Option<&str> = None;
        while let Some(mut line) = lines.next() {
            match line.message {
                "manifest" => {
                    let number = line.whole_number("Buffer")?;
                    let count = line.whole_number("Hosts")?;
                    line.expect_end()?;
                    let mut entries = Vec::new();
                    for _ in 0..count {
                        match lines.next() {
                            Some(entry) if entry.message == "entry" => entries.push(entry),
                            _ => {
                                return line
                                    .malformed("Hosts", format!("{count} `entry` lines after this line"));
                            }
                        }
                    }
                    endpoint_lists.insert(number, Rc::new(entries));
                    continue;
                }
                "to" => {
                    let name = line.required("RouterId")?;
                    line.expect_end()?;
                    current_router = Some(name);
                    if !events_by_router.contains_key(name) {
                        router_order.push(name);
                        events_by_router.insert(name, Vec::new());
                    }
                    continue;
                }
                _ => {}
            }
            let current =
                current_router.and_then(|name| events_by_router.get_mut(name).map(|events| (name, events)));
            let Some((name, events)) = current else {
                return line.malformed(MESSAGE_NAME_FIELD, "a `to` line before the first event");
            };
            match line.message {
                "down" => {
                    line.expect_end()?;
                    events.clear();
                    self.routers.remove(name);
                }
                "boot" => {
                    events.clear();
                    let seed = line.whole_number("RngSeed")?;
                    let settings = line.remaining_text("Params")?;
                    let started = HostedRouter::start(seed, settings);
                    let router = started.or_else(|error| line.malformed("Params", error.to_string()))?;
                    self.routers.insert(name.to_string(), router);
                }
                _ if !self.routers.contains_key(name) => {
                    return line
                        .malformed(MESSAGE_NAME_FIELD, "a `boot` line before the other events of a router");
                }
                "directory_update" => {
                    // The list is looked up here, as a later `manifest` line of the batch may have the same
                    // number.
                    let mut fields = line.clone();
                    let number = fields.optional("Buffer")?.and_then(|number| number.parse::<u64>().ok());
                    let endpoints = number.and_then(|number| endpoint_lists.get(&number));
                    if endpoints.is_none() && fields.required("Mode")? != "unavailable" {
                        return line.malformed("Buffer", "the number of an earlier `manifest` line");
                    }
                    events.push((line, endpoints.cloned()));
                }
                _ => events.push((line, None)),
            }
        }
        let mut reply = String::new();
        for name in router_order {
            let Some(router) = self.routers.get_mut(name) else { continue };
            let events = events_by_router.remove(name).unwrap_or_default();
            let decisions = router.run_round(now_s, events)?;
            if !decisions.is_empty() {
                let _ = write!(reply, "as {name}\n{decisions}");
            }
        }
        let stored = |line: &Line| (line.number, format!("{} {}", line.message, line.unread.unwrap_or("")));
        self.endpoint_lists = endpoint_lists
            .iter()
            .map(|(number, entries)| (*number, entries.iter().map(stored).collect()))
            .collect();
        let _ = writeln!(reply, "ready {serial}");
        Ok(reply)
    }
}
