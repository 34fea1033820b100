//! Judges a ledger by the rules of the users' pages.
use super::ledger::{Attempt, Ledger, NodeStart, Outcome, Request, Run, Told};
use super::nodes::MEAN_WORK;
use super::processes::MEMORY_MB;
use super::scenario::{Effect, HELD_UP, Scenario, SlowStart};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The users' protocol: each time limit is 50 ms longer.
const SLACK: f64 = 0.05;
/// STANDING: an attempt may begin so long after its client's close.
const LEFT: f64 = 0.1;
/// STANDING: up to so long after its time an answer only earns nothing.
const LATE: f64 = 0.5;
/// The users' protocol, later edition: a bad client is owed its error or close so long after it connected.
const OWED: f64 = 3.0;
/// A close that takes longer than this to be seen did not cross the request.
const CROSSING: f64 = 0.05;
/// The users' protocol: new connections keep coming for so long after SIGTERM.
const NEW_AFTER_TERM: f64 = 0.4;
/// STANDING: a fall breaks the rule where more than this share came from routers that had been told of the start.
const TOLD_SHARE: f64 = 2.0 / 3.0;
/// STANDING: a restarted router is ready within this.
const READY: f64 = 6.0;
/// The users' protocol: a request that came so long after SIGTERM and is unanswered at SIGKILL is lost.
const AFTER_TERM: f64 = 0.7;

/// One broken rule, with what shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub at: f64,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:8.3} {}: {}", self.at, self.rule, self.what)
    }
}

/// All violations in order of time, and what was counted.
pub fn judge(scenario: &Scenario, ledger: &Ledger) -> (Vec<Violation>, BTreeMap<&'static str, u64>) {
    let mut judge = Judge { scenario, ledger, violations: vec![], counts: ledger.counts.clone() };
    judge.requests();
    judge.stalled();
    judge.attempts();
    judge.drains();
    judge.budgets();
    judge.slow_starts();
    judge.runs();
    judge.violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    (judge.violations, judge.counts)
}

/// Attempts by the id of their query.
fn attempts_by_query(ledger: &Ledger) -> HashMap<&str, Vec<&Attempt>> {
    let mut all: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &ledger.attempts {
        let query = attempt.part.rsplit_once('.').map_or("", |(query, _)| query);
        all.entry(query).or_default().push(attempt);
    }
    all
}

/// Requests of mean work that a data node takes within the rule's span without falling over, `age` seconds after it started:
/// what the rule allows, and STANDING's room for chance.
fn most_requests(rule: &SlowStart, age: f64) -> f64 {
    let grown = (1.0 - rule.initial_fraction) * (age / rule.warm_up).min(1.0);
    let stated = rule.multiple * (rule.initial_fraction + grown) * rule.span / MEAN_WORK;
    if stated < 30.0 { stated + 3.0 * stated.sqrt() + 3.0 } else { stated + 2.0 * stated.sqrt() + 2.0 }
}

struct Judge<'a> {
    scenario: &'a Scenario,
    ledger: &'a Ledger,
    violations: Vec<Violation>,
    counts: BTreeMap<&'static str, u64>,
}

impl<'a> Judge<'a> {
    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn breaks(&mut self, rule: &'static str, at: f64, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    fn run(&self, run: usize) -> &'a Run {
        &self.ledger.runs[run]
    }

    /// One final answer each, in time, with what data nodes made and no less than the floor.
    fn requests(&mut self) {
        let ledger = self.ledger;
        let attempts = attempts_by_query(ledger);
        for request in &ledger.requests {
            self.count("requests");
            match &request.outcome {
                Outcome::Answered { at, status, fault } => {
                    self.count(match status {
                        200 => "merged",
                        429 | 503 => "refused",
                        _ => "failed",
                    });
                    if let Some(fault) = fault {
                        self.breaks("answer", *at, self.about(request, fault));
                    }
                    let limit = request.sent + request.in_order + LATE;
                    if *at > limit + self.delayed(request.run, request.sent, *at) {
                        let late = format!("answered {:.3} s after its time", at - limit + LATE);
                        self.breaks("lost", *at, self.about(request, &late));
                    }
                    self.refusal(request, *status, *at, attempts.get(request.id.as_str()));
                }
                Outcome::Closed { at, reset } => {
                    self.closed(request, *at, *reset, attempts.contains_key(request.id.as_str()));
                }
                Outcome::Open => self.unanswered(request),
                Outcome::Left { .. } => self.count("left"),
            }
        }
    }

    /// A refusal promises that trying again is harmless.
    fn refusal(&mut self, request: &Request, status: u16, at: f64, attempts: Option<&Vec<&Attempt>>) {
        let class = &self.scenario.classes[request.class];
        if class.effect != Effect::AtMostOnce || !matches!(status, 429 | 503) {
            return;
        }
        let may_have_run =
            |attempt: &&&Attempt| attempt.whole < at && attempt.turned_away.is_none_or(|away| away > at);
        if let Some(attempt) = attempts.into_iter().flatten().find(may_have_run) {
            let what = format!("refused though {} may have run", attempt.part);
            self.breaks("duplicate", at, self.about(request, &what));
        }
    }

    /// A connection that ended with no answer. What was `read`, as attempts show, was taken; what was not may cross a close.
    fn closed(&mut self, request: &Request, at: f64, reset: bool, read: bool) {
        let run = self.run(request.run);
        let how = if reset { "reset" } else { "closed" };
        if run.killed.is_some_and(|killed| at >= killed - SLACK) {
            let overdue = run.terminated.is_some_and(|term| request.sent > term + AFTER_TERM);
            return if overdue {
                let what = self.about(request, "unanswered at SIGKILL");
                self.breaks("lost", at, what);
            } else {
                self.count("died with their router");
            };
        }
        // The crash itself is told of.
        if run.crashed.is_some() && run.ended.is_some_and(|ended| at >= ended - SLACK) {
            return self.count("died with their router");
        }
        let allowed = CROSSING + self.delayed(request.run, request.sent, at);
        if !read && (request.pipelined || request.reused && at - request.sent <= allowed) {
            return self.count("crossed by a close");
        }
        let is_crowded = self.scenario.crowds.get(run.router).is_some_and(|crowd| *crowd > 0);
        if !read && !request.reused && is_crowded {
            return self.count("shut unread in a crowd");
        }
        let late_for_front = run.terminated.is_some_and(|term| request.connected > term + NEW_AFTER_TERM);
        if late_for_front && !request.reused {
            return self.count("connected after the listener's time");
        }
        let after = format!("{how} with no answer, {:.3} s after it was sent", at - request.sent);
        let what = self.about(request, &after);
        self.breaks("lost", at, what);
    }

    fn unanswered(&mut self, request: &Request) {
        let run = self.run(request.run);
        let limit = request.sent + request.in_order + LATE;
        if run.killed.is_some_and(|killed| killed <= limit) {
            return self.count("died with their router");
        }
        if self.delayed(request.run, request.sent, limit) > 0.2 {
            return self.count("not waited for, as their router was held");
        }
        let what = self.about(request, "never answered");
        self.breaks("lost", limit, what);
    }

    /// How much later than its limit something may be for reasons that are not the router's.
    fn delayed(&self, run: usize, from: f64, until: f64) -> f64 {
        SLACK + self.run(run).held_within(from, until) + self.ledger.lag(from, until)
    }

    fn about(&self, request: &Request, what: &str) -> String {
        let class = self.scenario.classes[request.class].name;
        let Request { id, run, sent, patience, reused, .. } = request;
        let kind = if *reused { "kept" } else { "new" };
        format!("{id} ({class}, run {run}, {kind} connection, sent {sent:.3}, waits {patience:.3}): {what}")
    }

    fn stalled(&mut self) {
        let ledger = self.ledger;
        for stalled in &ledger.stalled {
            self.count("clients that stall");
            let until = stalled.ended.unwrap_or(f64::INFINITY);
            let run = self.run(stalled.run);
            let died = run.killed.or(run.ended).is_some_and(|end| end < stalled.connected + OWED);
            let looked = stalled.ended.unwrap_or(stalled.connected + OWED);
            let allowed = OWED + self.delayed(stalled.run, stalled.connected, looked);
            if !died && until > stalled.connected + allowed {
                let what = format!("run {}: no error or close within {OWED} s", stalled.run);
                self.breaks("stalled client", stalled.connected, what);
            }
        }
    }

    /// No effect twice, nothing for a client that has gone or waits no longer, and no more time told than it has.
    fn attempts(&mut self) {
        let ledger = self.ledger;
        let requests: HashMap<&str, &Request> =
            ledger.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        for (query, attempts) in attempts_by_query(ledger) {
            let Some(request) = requests.get(query) else {
                // Its client went before it was noted, as at the end of the load.
                self.count("attempts of requests that were not noted");
                continue;
            };
            let mut by_part: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
            for attempt in attempts {
                self.count("attempts");
                let asked_again = ledger.asked_again.get(query);
                if asked_again.is_none_or(|again| attempt.begun < *again) {
                    self.in_time(request, attempt);
                }
                by_part.entry(&attempt.part).or_default().push(attempt);
            }
            for attempts in by_part.into_values() {
                self.repeats(request, &attempts);
            }
        }
    }

    fn in_time(&mut self, request: &Request, attempt: &Attempt) {
        let lag = self.ledger.lag(attempt.begun, attempt.whole);
        let at = attempt.begun;
        // A router that is held up between its last look and its write cannot see what comes meanwhile.
        let run = self.run(attempt.run);
        let held_in_send = run.held_in_send_before(at, SLACK + lag);
        let faults = &self.scenario.routers[run.router].faults;
        let held_up = if faults.contains("hold=") { held_in_send.max(HELD_UP) } else { 0.0 };
        let held_between_clock_and_write = held_in_send.max(HELD_UP);
        let over = match request.outcome {
            Outcome::Left { at } | Outcome::Closed { at, .. } => {
                Some((at + LEFT + held_up, "its client had left"))
            }
            Outcome::Answered { at, .. } => Some((at + SLACK + held_up, "its final answer")),
            Outcome::Open => None,
        };
        let time_up = request.sent + request.patience + held_between_clock_and_write;
        for (limit, why) in over.into_iter().chain([(time_up, "its client's time was up")]) {
            if at > limit + lag {
                let what = format!("{} begins {:.3} s after the limit: {why}", attempt.part, at - limit);
                let what = self.about(request, &what);
                self.breaks("lost", at, what);
            }
        }
        let left = request.sent + request.patience - at;
        // A millisecond is the least that can be told.
        if attempt.told > left.max(0.001) + held_between_clock_and_write + lag {
            let what = format!("{} is told {:.3} s, {left:.3} s are left", attempt.part, attempt.told);
            let what = self.about(request, &what);
            self.breaks("deadline", at, what);
        }
    }

    fn repeats(&mut self, request: &Request, attempts: &[&Attempt]) {
        let effect = self.scenario.classes[request.class].effect;
        for (number, attempt) in attempts.iter().enumerate() {
            let earlier = &attempts[..number];
            let may_have_run =
                |earlier: &&&Attempt| earlier.turned_away.is_none_or(|away| away >= attempt.begun);
            let Some(first) = earlier.iter().find(may_have_run) else { continue };
            self.count("repeats");
            let lag = self.ledger.lag(first.begun, attempt.begun);
            let span = attempt.begun - first.begun;
            let broken = match effect {
                Effect::Idempotent => false,
                Effect::Deduplicated(window) => span > window + HELD_UP + SLACK + lag,
                Effect::AtMostOnce => true,
            };
            if broken {
                let what = format!("{} again {span:.3} s after an attempt that may have run", attempt.part);
                let what = self.about(request, &what);
                self.breaks("duplicate", attempt.begun, what);
            }
        }
    }

    /// Nothing new to a data node after the grace.
    fn drains(&mut self) {
        let mut told: HashMap<(usize, usize), Vec<(f64, bool)>> = HashMap::new();
        for word in &self.ledger.told {
            told.entry((word.run, word.node)).or_default().push((word.at, word.leaving));
        }
        told.values_mut().for_each(|words| words.sort_by(|a, b| a.0.total_cmp(&b.0)));
        for attempt in &self.ledger.attempts {
            let Some(words) = told.get(&(attempt.run, attempt.node)) else { continue };
            let before = words.iter().filter(|(at, _)| *at <= attempt.begun);
            // Since the latest word that it serves.
            let mut since: Option<f64> = None;
            for (at, leaving) in before {
                since = if *leaving { Some(since.unwrap_or(*at)) } else { None };
            }
            let lag = self.ledger.lag(attempt.begun - self.scenario.grace, attempt.begun);
            if let Some(since) = since.filter(|at| attempt.begun > at + self.scenario.grace + SLACK + lag) {
                let (span, run) = (attempt.begun - since, attempt.run);
                let held = self.run(run).held_within(since, attempt.begun);
                let what = format!(
                    "run {run}: {} at node {}, {span:.3} s after the drain was told, {held:.3} s held",
                    attempt.part, attempt.node
                );
                self.breaks("drain", attempt.begun, what);
            }
        }
    }

    /// Further attempts of a process stay within the stated budget in any window.
    fn budgets(&mut self) {
        let Some((free, ratio, window)) = self.scenario.budget else { return };
        let attempted = attempts_by_query(self.ledger);
        // Behind a client that left with much unread, only attempts show what the router has read.
        let was_read = |request: &&Request| {
            let is_unread = request.pipelined && matches!(request.outcome, Outcome::Left { .. });
            !is_unread || attempted.contains_key(request.id.as_str())
        };
        for run in 0..self.ledger.runs.len() {
            let mut taken: Vec<f64> = vec![];
            let requests = self.ledger.requests.iter().filter(|request| request.run == run);
            for request in requests.filter(was_read) {
                taken.extend(std::iter::repeat_n(request.sent, 1 + request.parts.len()));
            }
            let mut parts: BTreeMap<&str, usize> = BTreeMap::new();
            let mut further: Vec<f64> = vec![];
            for attempt in self.ledger.attempts.iter().filter(|attempt| attempt.run == run) {
                let count = parts.entry(&attempt.part).or_default();
                *count += 1;
                if *count > 1 {
                    further.push(attempt.whole);
                }
            }
            further.sort_by(f64::total_cmp);
            for (number, &at) in further.iter().enumerate() {
                let count = further[..=number].iter().filter(|other| **other > at - window + SLACK).count();
                let earned = taken.iter().filter(|taken| **taken > at - window && **taken <= at).count();
                let allowed = free + ratio * earned as f64;
                if count as f64 > allowed {
                    let what = format!("run {run}: {count} further attempts, {allowed:.2} allowed");
                    self.breaks("budget", at, what);
                }
            }
        }
    }

    /// No data node that has just started falls over by what routers send it that were told of the start.
    fn slow_starts(&mut self) {
        let Some(rule) = self.scenario.slow_start else { return };
        let ledger = self.ledger;
        for start in &ledger.node_starts {
            self.count("data nodes started");
            let of_node = |other: &&NodeStart| other.node == start.node && other.at > start.at;
            let next = ledger.node_starts.iter().filter(of_node).map(|other| other.at);
            let warm = start.at + rule.warm_up;
            let until = next.fold(warm, f64::min);
            let mut sent: Vec<&Attempt> = ledger
                .attempts
                .iter()
                .filter(|attempt| attempt.node == start.node)
                .filter(|attempt| attempt.begun >= start.at && attempt.begun < until)
                .collect();
            sent.sort_by(|one, other| one.begun.total_cmp(&other.begun));
            self.falls(&rule, start, &sent);
        }
    }

    /// The first fall of a data node that has just started ends it.
    fn falls(&mut self, rule: &SlowStart, start: &NodeStart, sent: &[&Attempt]) {
        for (number, last) in sent.iter().enumerate() {
            let at = last.begun;
            // A router may be held up between its clock and its write, and this process read late.
            let span = rule.span - HELD_UP - self.ledger.lag(at - rule.span, at);
            let within: Vec<&&Attempt> =
                sent[..=number].iter().filter(|attempt| attempt.begun > at - span).collect();
            let allowed = most_requests(rule, at - start.at);
            if (within.len() as f64) <= allowed {
                continue;
            }
            let told = within.iter().filter(|attempt| self.was_told(start, attempt)).count();
            if told as f64 > TOLD_SHARE * within.len() as f64 {
                let (node, age) = (start.node, at - start.at);
                let what = format!(
                    "node {node}, {age:.3} s after its start: {} requests, {told} of them by routers told of it, {allowed:.1} allowed",
                    within.len()
                );
                self.breaks("slow start", at, what);
            }
            return;
        }
    }

    /// Whether the router of an attempt had been told of the data node's start as it began.
    fn was_told(&self, start: &NodeStart, attempt: &Attempt) -> bool {
        let of_start = |told: &&Told| told.run == attempt.run && told.node == start.node && !told.leaving;
        let mut times = self.ledger.told.iter().filter(of_start).map(|told| told.at);
        times.any(|at| at >= start.at && at + SLACK <= attempt.begun)
    }

    /// Processes start, are ready, end in time and do not fail.
    fn runs(&mut self) {
        for (number, run) in self.ledger.runs.iter().enumerate() {
            self.count("processes");
            let at = run.ended.unwrap_or(run.started);
            if run.memory_kib > MEMORY_MB * 1024 {
                self.breaks("memory", at, format!("run {number}: {} KiB", run.memory_kib));
            }
            if let Some(how) = &run.crashed {
                self.breaks("crash", at, format!("run {number}: {how}"));
            }
            for line in &run.failures {
                self.breaks("crash", at, format!("run {number}: {line}"));
            }
            for (name, count) in run.counted.iter().filter(|(_, count)| **count > 0) {
                self.breaks("counted by the router", at, format!("run {number}: {name} {count}"));
            }
            if run.terminated.is_some() && run.killed.is_some() {
                self.breaks("crash", at, format!("run {number}: not ended when SIGKILL was due"));
            }
            let limit = run.started + READY + run.held_within(run.started, run.started + READY);
            let looked = run.ended.unwrap_or(f64::INFINITY).min(self.scenario.seconds);
            if run.ready.unwrap_or(f64::INFINITY) > limit && looked > limit {
                self.breaks("crash", limit, format!("run {number}: not ready within {READY} s"));
            }
        }
    }
}
