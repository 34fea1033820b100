//! The simulator's wire: decodes each line straight into a call on the module, and encodes its actions.
use alderway::interface::*;
use alderway::policy::Policy;
use alderway_deployment as deployment;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// What is wrong with a line of the input.
#[derive(Debug)]
pub struct Malformed {
    line: usize,
    message: String,
    field: &'static str,
    expected: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Malformed { line, message, field, expected } = self;
        write!(f, "line {line}: message `{message}`, field {field}: expected {expected}")
    }
}

type Read<T> = Result<T, Malformed>;

/// One line, read field by field from the left.
#[derive(Clone)]
struct Line<'a> {
    number: usize,
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Line<'a> {
    fn new(number: usize, text: &'a str) -> Self {
        let (message, rest) = text.split_once(' ').map_or((text, None), |(m, r)| (m, Some(r)));
        Line { number, message, rest }
    }

    fn malformed<T>(&self, field: &'static str, expected: impl Into<String>) -> Read<T> {
        let (line, message) = (self.number, self.message.to_string());
        Err(Malformed { line, message, field, expected: expected.into() })
    }

    fn optional(&mut self, field: &'static str) -> Read<Option<&'a str>> {
        let Some(rest) = self.rest else { return self.malformed(field, "a value, the line has ended") };
        let (value, rest) = rest.split_once(' ').map_or((rest, None), |(v, r)| (v, Some(r)));
        self.rest = rest;
        if value.is_empty() {
            return self.malformed(field, "a value, it is empty");
        }
        Ok((value != "-").then_some(value))
    }

    fn word(&mut self, field: &'static str) -> Read<&'a str> {
        let value = self.optional(field)?;
        value.map_or_else(|| self.malformed(field, "a value, it is absent"), Ok)
    }

    fn parsed<T: std::str::FromStr>(&mut self, field: &'static str, expected: &str) -> Read<T> {
        let value = self.word(field)?;
        value.parse().or_else(|_| self.malformed(field, format!("{expected}, found `{value}`")))
    }

    fn whole(&mut self, field: &'static str) -> Read<u64> {
        self.parsed(field, "a whole number")
    }

    fn number(&mut self, field: &'static str) -> Read<f64> {
        let value: f64 = self.parsed(field, "a number")?;
        if value.is_finite() { Ok(value) } else { self.malformed(field, "a finite number") }
    }

    fn seconds(&mut self, field: &'static str) -> Read<f64> {
        Ok(self.parsed::<i64>(field, "a time in microseconds")? as f64 / 1e6)
    }

    /// For fields that the module has no use for: present and, where not absent, a number.
    fn unused_number(&mut self, field: &'static str) -> Read<()> {
        match self.optional(field)?.map(str::parse::<f64>) {
            Some(Err(_)) => self.malformed(field, "a number or `-`"),
            _ => Ok(()),
        }
    }

    fn flag(&mut self, field: &'static str) -> Read<bool> {
        match self.word(field)? {
            "0" => Ok(false),
            "1" => Ok(true),
            other => self.malformed(field, format!("0 or 1, found `{other}`")),
        }
    }

    fn text(&mut self, field: &'static str) -> Read<&'a str> {
        self.rest.take().map_or_else(|| self.malformed(field, "text to the end of the line"), Ok)
    }

    fn end(&self) -> Read<()> {
        if self.rest.is_some() { self.malformed("after the last", "the end of the line") } else { Ok(()) }
    }
}

fn ending(line: &mut Line) -> Read<AttemptOutcome> {
    Ok(match line.word("Reason")? {
        "pass" => AttemptOutcome::Success,
        "fault" => AttemptOutcome::Error,
        "no_room" => AttemptOutcome::Rejected,
        "too_slow" => AttemptOutcome::TimedOut,
        "no_route" => AttemptOutcome::Unreachable,
        "cut" => AttemptOutcome::ConnectionReset,
        "undone" => AttemptOutcome::Cancelled,
        "stale_send" => AttemptOutcome::NeverSent,
        other => return line.malformed("Reason", format!("a known outcome, found `{other}`")),
    })
}

/// A numbered list as it stood when it came: the lines of its entries.
type Entries<'a> = Rc<Vec<Line<'a>>>;

fn entry(mut line: Line, intake: &mut dyn PolicyInput) -> Read<()> {
    let node = line.word("Node")?;
    line.optional("RegionPart")?;
    line.optional("Machine")?;
    let state = match line.word("Status")? {
        "healthy" => NodeState::Serving,
        "cordoned" => NodeState::Draining,
        "deregistered" => NodeState::Removed,
        other => return line.malformed("Status", format!("a known state, found `{other}`")),
    };
    line.unused_number("Rating")?;
    let started = match line.optional("StartedAtUs")? {
        None => None,
        Some(text) => match text.parse::<i64>() {
            Ok(at) => (at > 0).then_some(at as f64 / 1e6),
            Err(_) => return line.malformed("StartedAtUs", "a time in microseconds or `-`"),
        },
    };
    let cell = line.parsed("SlotNo", "a whole number")?;
    line.end()?;
    intake.endpoint_updated(node, cell, state, started);
    Ok(())
}

fn bytes(hex: &str) -> Option<Vec<u8>> {
    let pair = |at: usize| u8::from_str_radix(hex.get(at..at + 2)?, 16).ok();
    (0..hex.len()).step_by(2).map(pair).collect()
}

/// Decodes one event straight into a call on the module.
fn event(
    mut line: Line,
    list: Option<&Entries>,
    names: &[String],
    peers: &mut Option<Over>,
    intake: &mut dyn PolicyInput,
) -> Read<()> {
    match line.message {
        "directory_update" => {
            line.optional("Buffer")?;
            let mode = line.word("Mode")?;
            line.unused_number("Generation")?;
            match (mode, list) {
                ("unavailable", _) => intake.endpoint_poll_failed(),
                ("update" | "replace" | "restored", Some(entries)) => {
                    if mode != "update" {
                        intake.endpoint_list_replaced();
                    }
                    for line in entries.iter() {
                        entry(line.clone(), intake)?;
                    }
                }
                (other, _) => return line.malformed("Mode", format!("a known mode, found `{other}`")),
            }
        }
        "req" => {
            let id = line.word("OpId")?;
            let kind = line.word("Type")?;
            let Some(vertical) = names.iter().position(|n| n == kind) else {
                return line.malformed("Type", format!("a vertical of the settings, found `{kind}`"));
            };
            let customer = line.optional("Customer")?.unwrap_or("");
            line.optional("Key")?;
            let not_after = line.seconds("NotAfterUs")?;
            line.unused_number("CostGuessUs")?;
            let number = line.number("Query")? as u64;
            let shard = line.number("Shard")?;
            let heft = line.number("Heft")?;
            line.unused_number("Marks")?;
            if shard < 0.0 {
                intake.query_arrived(number, id, vertical, customer, not_after);
            } else {
                intake.shard_request_added(number, id, shard as u32, heft);
            }
        }
        "finished" => {
            let part = line.word("OpId")?;
            line.flag("Settled")?;
            let latency = line.seconds("LatencyUs")?;
            let hop = line.whole("Hop")? as usize;
            let ending = ending(&mut line)?;
            let node = line.word("Node")?;
            line.optional("Metrics")?;
            intake.attempt_ended(part, hop, node, ending, latency);
        }
        "vanished" => intake.client_disconnected(line.word("OpId")?),
        "timeout_fired" => intake.timer_fired(line.whole("Tag")?),
        // Streams and probes are not used by the module; their lines are still read in full.
        "started" => {
            line.word("OpId")?;
            line.whole("Hop")?;
            line.word("Node")?;
            line.seconds("LatencyUs")?;
        }
        "check_result" => {
            line.word("Node")?;
            ending(&mut line)?;
            line.seconds("LatencyUs")?;
            line.optional("Metrics")?;
        }
        "from_peer" => {
            line.whole("Src")?;
            let text = line.optional("Bytes")?.unwrap_or_default();
            let Some(bytes) = bytes(text) else { return line.malformed("Bytes", "pairs of hex digits") };
            // What is of another form is another program's: it says nothing.
            if let (Some(_), [late, in_time]) = (peers, bytes.as_slice()) {
                intake.fleet_latency_counts(u32::from(*late), u32::from(*in_time));
            }
        }
        _ => return line.malformed("the name", "a message of the wire"),
    }
    line.end()
}

/// Queries over late and in time that the peers have yet to be told of, and when they may be.
#[derive(Default)]
struct Over {
    late: u8,
    in_time: u8,
    next: f64,
}

/// Writes the module's decisions as lines of the reply, and keeps how queries ended.
struct Reply(String, Vec<bool>);

macro_rules! action {
    ($reply:expr, $($line:tt)*) => {{ let _ = writeln!($reply.0, $($line)*); }};
}

fn micros(span: f64) -> i64 {
    (span * 1e6).round() as i64
}

impl DecisionSink for Reply {
    fn start_attempt(&mut self, part: &str, node: &str, limit: f64) {
        // 0 would mean no time-out at all.
        let limit = if micros(limit) == 0 { -1 } else { micros(limit) };
        action!(self, "transmit {part} {node} {limit}");
    }

    fn cancel_attempt(&mut self, part: &str, hop: usize) {
        action!(self, "retract {part} {hop}");
    }

    fn answer(&mut self, query: &str, whole: bool) {
        action!(self, "wrap_up {query} {}", u8::from(whole));
    }

    fn reject(&mut self, query: &str, come_back: Option<f64>) {
        action!(self, "busy {query} {}", micros(come_back.unwrap_or(0.0)));
    }

    fn fail(&mut self, query: &str) {
        action!(self, "surrender {query}");
    }

    fn set_timer(&mut self, span: f64, tag: u64) {
        action!(self, "set_alarm {} {tag}", micros(span));
    }

    fn poll_endpoints(&mut self) {
        action!(self, "subscribe 1");
    }

    fn log(&mut self, text: &str) {
        action!(self, "remark {text}");
    }

    fn query_ended(&mut self, late: bool) {
        self.1.push(late);
    }
}

/// Plays a round; a panic of the module in it becomes that instance's `internal_error`.
fn guarded(acts: &mut Reply, round: impl FnOnce(&mut Reply) -> Read<()>) -> Read<()> {
    catch_unwind(AssertUnwindSafe(|| round(acts))).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("a panic without text");
        action!(acts, "internal_error {}", text.replace('\n', " "));
        Ok(())
    })
}

/// What came for one query router in a batch, from its latest start on.
#[derive(Default)]
struct Inbox<'a> {
    lines: Vec<(Line<'a>, Option<Entries<'a>>)>,
}

/// The query routers of this process, each with the names of its verticals.
#[derive(Default)]
pub struct Routers {
    routers: BTreeMap<String, (Policy, Vec<String>, Option<Over>)>,
    /// Numbered lists, kept from batch to batch as their lines and where these stood.
    lists: BTreeMap<u64, Vec<(usize, String)>>,
}

impl Routers {
    /// Plays one batch, given without its closing `eob`, and returns the whole reply.
    pub fn batch(&mut self, lines: &[String], first: usize) -> Read<String> {
        let mut lines = lines.iter().enumerate().map(|(i, text)| Line::new(first + i, text));
        let mut frame = lines.next().unwrap_or(Line::new(first, "eob"));
        if frame.message != "frame" {
            return frame.malformed("the name", "`frame` at the start of a batch");
        }
        let now = frame.seconds("the clock")?;
        let serial = frame.whole("the batch's number")?;
        frame.end()?;
        let old = std::mem::take(&mut self.lists);
        let mut lists: BTreeMap<u64, Entries> = BTreeMap::new();
        for (number, kept) in &old {
            lists.insert(*number, Rc::new(kept.iter().map(|(n, text)| Line::new(*n, text)).collect()));
        }
        let mut inboxes: BTreeMap<&str, Inbox> = BTreeMap::new();
        let mut order: Vec<&str> = Vec::new();
        let mut whose: Option<&str> = None;
        while let Some(mut line) = lines.next() {
            match line.message {
                "manifest" => {
                    let number = line.whole("Buffer")?;
                    let count = line.whole("Hosts")?;
                    line.end()?;
                    let mut entries = Vec::new();
                    for _ in 0..count {
                        match lines.next() {
                            Some(e) if e.message == "entry" => entries.push(e),
                            _ => return line.malformed("Hosts", format!("{count} `entry` lines to follow")),
                        }
                    }
                    lists.insert(number, Rc::new(entries));
                    continue;
                }
                "to" => {
                    let name = line.word("RouterId")?;
                    line.end()?;
                    whose = Some(name);
                    if !inboxes.contains_key(name) {
                        order.push(name);
                        inboxes.insert(name, Inbox::default());
                    }
                    continue;
                }
                _ => {}
            }
            let Some((name, inbox)) = whose.and_then(|w| inboxes.get_mut(w).map(|i| (w, i))) else {
                return line.malformed("the name", "a `to` line before the first event");
            };
            match line.message {
                "down" => {
                    line.end()?;
                    inbox.lines.clear();
                    self.routers.remove(name);
                }
                "boot" => {
                    inbox.lines.clear();
                    let seed = line.whole("RngSeed")?;
                    let text = line.text("Params")?;
                    let made = deployment::parse(text).and_then(|all| {
                        let (router, names) = deployment::policy(seed, &all)?;
                        Ok((router, names, deployment::allows_gossip(&all)?.then(Over::default)))
                    });
                    let made = made.or_else(|e| line.malformed("Params", e.to_string()))?;
                    self.routers.insert(name.to_string(), made);
                }
                _ if !self.routers.contains_key(name) => {
                    return line.malformed("the name", "`boot` before an instance's other events");
                }
                "directory_update" => {
                    let mut head = line.clone();
                    let number = head.optional("Buffer")?;
                    let list = number.and_then(|n| n.parse().ok()).and_then(|n: u64| lists.get(&n));
                    if list.is_none() && head.word("Mode")? != "unavailable" {
                        return line.malformed("Buffer", "the number of a `manifest` that came before");
                    }
                    inbox.lines.push((line, list.cloned()));
                }
                _ => inbox.lines.push((line, None)),
            }
        }
        let mut reply = Reply(String::new(), vec![]);
        for name in order {
            let Some((router, names, peers)) = self.routers.get_mut(name) else { continue };
            let lines = std::mem::take(&mut inboxes.entry(name).or_default().lines);
            let mut publish = None;
            let came_in = |intake: &mut dyn PolicyInput| {
                let told =
                    |(line, list): (_, Option<Entries>)| event(line, list.as_ref(), names, peers, intake);
                lines.into_iter().try_for_each(told)?;
                if let Some(peers) = peers.as_mut().filter(|p| now >= p.next && p.late + p.in_time > 0) {
                    intake.fleet_latency_counts(u32::from(peers.late), u32::from(peers.in_time));
                    publish = Some((peers.late, peers.in_time));
                    *peers = Over { next: now + 0.5, ..Over::default() };
                }
                Ok(())
            };
            let mut acts = Reply(String::new(), vec![]);
            guarded(&mut acts, |acts| router.round(now, came_in, acts))?;
            if let Some(peers) = peers {
                for late in acts.1.drain(..) {
                    let count = if late { &mut peers.late } else { &mut peers.in_time };
                    *count = (*count + 1).min(100);
                }
                if let Some((late, in_time)) = publish {
                    action!(acts, "publish * {late:02x}{in_time:02x}");
                }
            }
            if !acts.0.is_empty() {
                let _ = write!(reply.0, "as {name}\n{}", acts.0);
            }
        }
        let kept = |l: &Line| (l.number, format!("{} {}", l.message, l.rest.unwrap_or("")));
        self.lists = lists.iter().map(|(n, entries)| (*n, entries.iter().map(kept).collect())).collect();
        let _ = writeln!(reply.0, "ready {serial}");
        Ok(reply.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[rstest::rstest]
    fn a_panic_becomes_one_internal_error_line() {
        let mut acts = Reply(String::new(), vec![]);
        guarded(&mut acts, |_| panic!("a table of {} rows\nhas none", 3)).expect("not malformed");
        assert_eq!(acts.0, "internal_error a table of 3 rows has none\n");
    }
}
