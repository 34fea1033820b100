//! The log: one line a record on standard error, never waited for. A flood of one kind is held down, and the
//! next line of that kind tells how many were left out.
use log::{LevelFilter, Log, Metadata, Record};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::os::fd::AsFd;
use std::time::Instant;

/// A pipe that polls as writable takes this much at once without waiting.
const LINE: usize = 1024;
/// Lines of one kind that may come at once, and how many more each second allows.
const BURST: f64 = 20.0;
const RATE: f64 = 2.0;

/// How much of each kind (a record's target) may be written still.
#[derive(Default)]
struct Flood(BTreeMap<String, (f64, f64, u64)>);

impl Flood {
    /// How many lines of the kind were left out before this one; `None` where this one is left out too.
    fn pass(&mut self, kind: &str, now: f64) -> Option<u64> {
        let (left, at, dropped) = self.0.entry(kind.to_string()).or_insert((BURST, now, 0));
        *left = (*left + (now - *at) * RATE).min(BURST);
        *at = now;
        if *left < 1.0 {
            *dropped += 1;
            return None;
        }
        *left -= 1.0;
        Some(std::mem::take(dropped))
    }

    fn lost(&mut self, kind: &str, count: u64) {
        if let Some(entry) = self.0.get_mut(kind) {
            entry.2 += count;
        }
    }
}

thread_local! {
    static FLOOD: RefCell<Flood> = RefCell::default();
}

struct Logger {
    start: Instant,
}

/// Writes a line if that can be done at once.
fn write(line: &str) -> bool {
    let end = (0..=line.len().min(LINE - 1)).rev().find(|&i| line.is_char_boundary(i)).unwrap_or_default();
    let text = [&line.as_bytes()[..end], b"\n"].concat();
    let out = std::io::stderr();
    let mut ready = [PollFd::new(out.as_fd(), PollFlags::POLLOUT)];
    matches!(poll(&mut ready, PollTimeout::ZERO), Ok(1)) && nix::unistd::write(&out, &text).is_ok()
}

impl Log for Logger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let (kind, now) = (record.target(), self.start.elapsed().as_secs_f64());
        FLOOD.with_borrow_mut(|flood| {
            let Some(before) = flood.pass(kind, now) else { return };
            let left_out = if before > 0 { format!(" ({before} more left out)") } else { String::new() };
            let level = record.level();
            if !write(&format!("{now:.3} {level} {kind}: {}{left_out}", record.args())) {
                flood.lost(kind, before + 1);
            }
        });
    }

    fn flush(&self) {}
}

/// Writes lines as they are, with no flood held down: the counters at exit.
pub fn last_words(text: &str) {
    for line in text.lines() {
        write(line);
    }
}

pub fn start() {
    let logger = Box::new(Logger { start: Instant::now() });
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[rstest::rstest]
    fn a_flood_of_one_kind_is_held_down_and_counted() {
        let mut flood = Flood::default();
        let written = (0..100).filter(|_| flood.pass("frame", 1.0).is_some()).count();
        assert_eq!((written, flood.pass("other", 1.0)), (20, Some(0)));
        assert_eq!((flood.pass("frame", 1.5), flood.pass("frame", 1.5)), (Some(80), None));
    }
}
