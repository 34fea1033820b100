//! The log on standard error. A line that cannot be written at once is dropped, so that a slow reader of the log never
//! delays the program; a target that writes too much is limited, and its next line tells how many were dropped.
mod format;
mod rate_limiter;

pub use format::{LogFormat, LogRecord, MAX_LINE_BYTES};
pub use rate_limiter::{BURST_LINES, LINES_PER_S, LogRateLimiter};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::cell::{Cell, RefCell};
use std::fmt::{Debug, Write};
use std::os::fd::AsFd;
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

thread_local! {
    static RATE_LIMITER: RefCell<LogRateLimiter> = RefCell::default();
    static CORE: Cell<Option<usize>> = const { Cell::new(None) };
}

/// Starts the log of the process. A subscriber that was set before, as by a test, stays in place.
pub fn init(format: LogFormat) {
    let layer = StderrLayer { start: Instant::now(), format };
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(layer));
}

/// Names the core that the calling thread serves in each of its lines from here on.
pub fn set_thread_core(core: usize) {
    CORE.set(Some(core));
}

/// Writes lines as they are, without time, target or limit of rate: the counters at exit.
pub fn write_unlimited(text: &str) {
    for line in text.lines() {
        write_line(line);
    }
}

/// Writes the events of `tracing` to standard error.
struct StderrLayer {
    start: Instant,
    format: LogFormat,
}

impl<S: Subscriber> Layer<S> for StderrLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let (metadata, now_s) = (event.metadata(), self.start.elapsed().as_secs_f64());
        let target = metadata.target();
        RATE_LIMITER.with_borrow_mut(|limiter| {
            let Some(dropped_before) = limiter.admit(target, now_s) else { return };
            let mut fields = EventFields::default();
            event.record(&mut fields);
            let record = LogRecord {
                at_s: now_s,
                level: metadata.level().as_str(),
                target,
                core: CORE.get(),
                text: &fields.text,
                dropped_before,
            };
            if !write_line(&self.format.line(&record)) {
                limiter.add_dropped(target, dropped_before + 1);
            }
        });
    }
}

/// The message of an event; its other fields follow as `name=value`.
#[derive(Default)]
struct EventFields {
    text: String,
}

impl Visit for EventFields {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let space = if self.text.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = match field.name() {
            "message" => write!(self.text, "{space}{value:?}"),
            name => write!(self.text, "{space}{name}={value:?}"),
        };
    }
}

/// Writes a line if that can be done without blocking.
fn write_line(line: &str) -> bool {
    let text = [format::truncated(line, MAX_LINE_BYTES - 1).as_bytes(), b"\n"].concat();
    let stderr = std::io::stderr();
    let mut writable = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    matches!(poll(&mut writable, PollTimeout::ZERO), Ok(1)) && nix::unistd::write(&stderr, &text).is_ok()
}
