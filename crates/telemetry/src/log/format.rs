//! How a record of the log is written as a line.
use serde_json::json;

/// A line takes no more bytes, its line feed among them: a pipe that polls as writable takes this much without blocking.
pub const MAX_LINE_BYTES: usize = 1024;
/// What one character of a text takes in JSON at most, as `\u0000`.
const MAX_ESCAPED_BYTES: usize = 6;

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `SECONDS LEVEL TARGET: TEXT`
    #[default]
    Text,
    /// One JSON object a line: `at`, `level`, `kind` (the target), `text`, and where there are any `core` and `left_out`.
    Json,
}

/// What a line of the log tells.
#[derive(Clone, Copy, Debug)]
pub struct LogRecord<'a> {
    /// Seconds since the start of the log.
    pub at_s: f64,
    /// `ERROR`, `WARN` or `INFO`.
    pub level: &'a str,
    /// The part of the program that writes it.
    pub target: &'a str,
    /// The core that it happened on, where there are several.
    pub core: Option<usize>,
    /// The message and its fields.
    pub text: &'a str,
    /// How many lines of the target were dropped before this one.
    pub dropped_before: u64,
}

impl LogFormat {
    /// The line of a record, without its line feed. A JSON line is shorter than [`MAX_LINE_BYTES`]; a text line may be
    /// longer, and is cut when it is written.
    pub fn line(self, record: &LogRecord) -> String {
        match self {
            LogFormat::Text => text_line(record),
            LogFormat::Json => json_line(record),
        }
    }
}

fn text_line(record: &LogRecord) -> String {
    let LogRecord { at_s, level, target, text, dropped_before, .. } = record;
    let core = record.core.map_or(String::new(), |core| format!("core {core}: "));
    let dropped =
        if *dropped_before > 0 { format!(" ({dropped_before} more left out)") } else { String::new() };
    format!("{at_s:.3} {level} {target}: {core}{text}{dropped}")
}

/// Guards against a line cut short, which would be no object: the text is cut instead.
fn json_line(record: &LogRecord) -> String {
    let (mut text, mut line) = (record.text, json_object(record, record.text));
    while line.len() >= MAX_LINE_BYTES && !text.is_empty() {
        let excess = line.len() - MAX_LINE_BYTES + 1;
        text = truncated(text, text.len() - excess.div_ceil(MAX_ESCAPED_BYTES).min(text.len()));
        line = json_object(record, text);
    }
    line
}

fn json_object(record: &LogRecord, text: &str) -> String {
    let at_s = (record.at_s * 1e3).round() / 1e3;
    let mut object = json!({"at": at_s, "level": record.level, "kind": record.target, "text": text});
    if let Some(core) = record.core {
        object["core"] = core.into();
    }
    if record.dropped_before > 0 {
        object["left_out"] = record.dropped_before.into();
    }
    object.to_string()
}

/// The longest beginning of a text that `max_bytes` hold.
pub(super) fn truncated(text: &str, max_bytes: usize) -> &str {
    &text[..text.floor_char_boundary(max_bytes)]
}
