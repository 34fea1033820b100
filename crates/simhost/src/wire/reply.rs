//! Encodes the decisions of a policy as lines of the simulator's protocol.

use super::MICROSECONDS_PER_SECOND;
use alderway::interface::DecisionSink;
use std::fmt::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Writes the decisions of one policy as lines of the reply.
#[derive(Default)]
pub struct ReplyWriter {
    lines: String,
    /// Whether the query counts as late, for each query that has ended.
    ended_queries_late: Vec<bool>,
}

impl ReplyWriter {
    /// The lines of the reply that have been written so far.
    pub fn lines(&self) -> &str {
        &self.lines
    }

    pub(super) fn into_lines(self) -> String {
        self.lines
    }

    /// Returns one value for each query that has ended since the last call: true if the query counts as late.
    pub(super) fn take_ended_queries(&mut self) -> Vec<bool> {
        std::mem::take(&mut self.ended_queries_late)
    }

    pub(super) fn write_line(&mut self, line: fmt::Arguments) {
        let _ = writeln!(self.lines, "{line}");
    }
}

fn microseconds(duration_s: f64) -> i64 {
    (duration_s * MICROSECONDS_PER_SECOND).round() as i64
}

impl DecisionSink for ReplyWriter {
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64) {
        // In the protocol, 0 stands for no time-out.
        let timeout_us = if microseconds(timeout_s) == 0 { -1 } else { microseconds(timeout_s) };
        self.write_line(format_args!("transmit {part} {node} {limit}", part = request, limit = timeout_us));
    }

    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        self.write_line(format_args!("retract {part} {hop}", part = request, hop = attempt));
    }

    fn answer(&mut self, query: &str, complete: bool) {
        self.write_line(format_args!("wrap_up {query} {}", u8::from(complete)));
    }

    fn reject(&mut self, query: &str, retry_after_s: Option<f64>) {
        self.write_line(format_args!("busy {query} {}", microseconds(retry_after_s.unwrap_or(0.0))));
    }

    fn fail(&mut self, query: &str) {
        self.write_line(format_args!("surrender {query}"));
    }

    fn set_timer(&mut self, duration_s: f64, tag: u64) {
        self.write_line(format_args!("set_alarm {} {tag}", microseconds(duration_s)));
    }

    fn poll_endpoints(&mut self) {
        self.write_line(format_args!("subscribe 1"));
    }

    fn log(&mut self, text: &str) {
        self.write_line(format_args!("remark {text}"));
    }

    fn query_ended(&mut self, late: bool) {
        self.ended_queries_late.push(late);
    }
}

/// Runs one round of a policy. If the policy panics, adds an `internal_error` line to the reply, so that the
/// process continues to run the other routers.
///
/// # Errors
/// The error that `round` returns.
pub fn run_catching_panics<E>(
    reply: &mut ReplyWriter,
    round: impl FnOnce(&mut ReplyWriter) -> Result<(), E>,
) -> Result<(), E> {
    catch_unwind(AssertUnwindSafe(|| round(reply))).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("a panic without text");
        reply.write_line(format_args!("internal_error {}", text.replace('\n', " ")));
        Ok(())
    })
}
