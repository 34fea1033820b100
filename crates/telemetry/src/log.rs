//! The log: one line a record on standard error, never waited for. A flood of one kind is held down, and the
//! next line of that kind tells how many were left out.
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::os::fd::AsFd;
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

/// A pipe that polls as writable takes this much at once without waiting.
const LINE: usize = 1024;
/// Lines of one kind that may come at once, and how many more each second allows.
const BURST: f64 = 20.0;
const RATE: f64 = 2.0;

/// How a line is written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Form {
    /// `SECONDS LEVEL KIND: TEXT`
    #[default]
    Text,
    /// One JSON object a line: `at`, `level`, `kind`, `text`, and where there are any `core` and `left_out`.
    Json,
}

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
    static CORE: Cell<Option<usize>> = const { Cell::new(None) };
}

/// From here on this thread's lines name its core.
pub fn on_core(core: usize) {
    CORE.set(Some(core));
}

struct Lines {
    start: Instant,
    form: Form,
}

/// The words of a record; fields beside its message follow as `name=value`.
#[derive(Default)]
struct Words(String);

impl Visit for Words {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let space = if self.0.is_empty() { "" } else { " " };
        let _ = match field.name() {
            "message" => write!(self.0, "{space}{value:?}"),
            name => write!(self.0, "{space}{name}={value:?}"),
        };
    }
}

/// Writes a line if that can be done at once.
fn write(line: &str) -> bool {
    let text = [short(line, LINE - 1).as_bytes(), b"\n"].concat();
    let out = std::io::stderr();
    let mut ready = [PollFd::new(out.as_fd(), PollFlags::POLLOUT)];
    matches!(poll(&mut ready, PollTimeout::ZERO), Ok(1)) && nix::unistd::write(&out, &text).is_ok()
}

/// As much of a text as `most` bytes hold.
fn short(text: &str, most: usize) -> &str {
    let end = (0..=text.len().min(most)).rev().find(|&i| text.is_char_boundary(i));
    &text[..end.unwrap_or_default()]
}

impl Form {
    fn line(
        self,
        now: f64,
        level: &str,
        kind: &str,
        core: Option<usize>,
        text: &str,
        left_out: u64,
    ) -> String {
        if self == Form::Text {
            let core = core.map_or(String::new(), |core| format!("core {core}: "));
            let left_out = if left_out > 0 { format!(" ({left_out} more left out)") } else { String::new() };
            return format!("{now:.3} {level} {kind}: {core}{text}{left_out}");
        }
        let object = |text: &str| {
            let at = (now * 1e3).round() / 1e3;
            let mut all = serde_json::json!({"at": at, "level": level, "kind": kind, "text": text});
            if let Some(core) = core {
                all["core"] = core.into();
            }
            if left_out > 0 {
                all["left_out"] = left_out.into();
            }
            all.to_string()
        };
        // Guards against a line cut short, which would be no object: the text is cut instead.
        let (mut text, mut line) = (text, object(text));
        while line.len() >= LINE && !text.is_empty() {
            // One character takes six bytes at most.
            text = short(text, text.len() - (line.len() - LINE + 1).div_ceil(6).min(text.len()));
            line = object(text);
        }
        line
    }
}

impl<S: Subscriber> Layer<S> for Lines {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let (about, now) = (event.metadata(), self.start.elapsed().as_secs_f64());
        let kind = about.target();
        FLOOD.with_borrow_mut(|flood| {
            let Some(before) = flood.pass(kind, now) else { return };
            let mut words = Words::default();
            event.record(&mut words);
            let line = self.form.line(now, about.level().as_str(), kind, CORE.get(), &words.0, before);
            if !write(&line) {
                flood.lost(kind, before + 1);
            }
        });
    }
}

/// Writes lines as they are, with no flood held down: the counters at exit.
pub fn last_words(text: &str) {
    for line in text.lines() {
        write(line);
    }
}

pub fn start(form: Form) {
    let lines = Lines { start: Instant::now(), form };
    // Where tests have set another one, that holds.
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(lines));
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

    #[rstest::rstest]
    fn a_line_in_json_stays_an_object_however_long_its_text_is() {
        let text = "\"quoted\" \u{e9}".repeat(400);
        let line = Form::Json.line(1.5, "WARN", "frame", Some(2), &text, 7);
        let object: serde_json::Value = serde_json::from_str(&line).expect("an object");
        assert!(line.len() < LINE && line.len() > LINE - 20, "{}", line.len());
        assert_eq!(
            (&object["core"], &object["left_out"], &object["at"]),
            (&2.into(), &7.into(), &1.5.into())
        );
    }
}
