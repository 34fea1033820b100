//! Frames between query routers and data nodes. A frame is its length as a 32-bit big-endian integer, one
//! type byte (an ASCII letter) and a body. The length counts the type byte and the body.
use super::ParseError;
use crate::state::node_protocol::{AttemptRequest, NodeFrameWriter, ShardReport};
use std::io::Write;

/// The largest length of a frame that is read, in bytes: a value of 64 KiB, as long as the longest HTTP body,
/// and a header line.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 + 1024;
/// The longest id that a client may give its query, in bytes. The limit keeps the header lines of frames
/// short.
pub const MAX_QUERY_ID_BYTES: usize = 128;
/// Size of the length field at the start of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// A frame's type byte, its body, and the number of bytes of the whole frame with its length field.
type Frame<'b> = (u8, &'b [u8], usize);

/// The frame at the start of `bytes`; `None` if the frame is not yet complete.
pub fn read_frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, ParseError> {
    let Some(length) = bytes.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 {
        return Err("a received frame has no type byte");
    }
    if length > MAX_FRAME_BYTES {
        return Err("a received frame is longer than 66560 bytes");
    }
    let frame = bytes.get(LENGTH_BYTES..LENGTH_BYTES + length);
    Ok(frame.map(|frame| (frame[0], &frame[1..], LENGTH_BYTES + length)))
}

/// Parses the body of an `R` frame, the reply to an attempt. Returns the shard request's id, the name of the
/// outcome, the data node's report as `name=value` fields, and the value.
pub fn parse_reply(body: &[u8]) -> Result<(&str, &str, &str, &str), ParseError> {
    let end = body.iter().position(|&b| b == b'\n').ok_or("a reply has no header line")?;
    let line = std::str::from_utf8(&body[..end]).map_err(|_| "a reply's header line is not UTF-8")?;
    let value = std::str::from_utf8(&body[end + 1..]).map_err(|_| "a reply's value is not UTF-8")?;
    let mut words = line.split(' ');
    let (id, outcome) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let report = words.nth(1).filter(|_| !id.is_empty()).ok_or("a reply's header line lacks a field")?;
    Ok((id, outcome, report, value))
}

/// The value of the `name=value` field `name` of a report; `None` if the field is missing.
fn report_field<'r>(report: &'r str, name: &str) -> Option<&'r str> {
    report.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

/// Reads a field like `moved=18`: the data node's version of the shard map, by which it does not hold the
/// requested shard.
fn moved_at_version(report: &str) -> Option<u64> {
    report_field(report, "moved")?.parse().ok()
}

/// Reads a field like `keys=40-50`: the keys that the reply is for, from the first (inclusive) to the second
/// (exclusive). An error if the field is present and unreadable.
fn answered_keys(report: &str) -> Result<Option<(u32, u32)>, ParseError> {
    let Some(range) = report_field(report, "keys") else { return Ok(None) };
    let (from, to) = range.split_once('-').ok_or("a reply's keys are not a range")?;
    let number = |text: &str| text.parse().map_err(|_| "a reply's keys are not numbers");
    Ok(Some((number(from)?, number(to)?)))
}

fn write_frame(out: &mut Vec<u8>, frame_type: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    out.push(frame_type);
    write_body(out);
    let length = (out.len() - start - LENGTH_BYTES) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// A version of the shard map, and the requested keys by that version, from the second number (inclusive) to
/// the third (exclusive); `None` if the router has no shard map.
pub type VersionedKeys = Option<(u64, u32, u32)>;

/// Writes an `S` frame, which starts attempts at a data node. Each attempt is given as the shard request's
/// id, the shard, the time-out in milliseconds, the query's text, and the requested keys.
pub fn write_attempts_frame<'a>(
    out: &mut Vec<u8>,
    attempts: impl Iterator<Item = (&'a str, u32, u64, &'a str, VersionedKeys)>,
) {
    write_frame(out, b'S', |out| {
        for (id, shard, timeout_ms, text, keys) in attempts {
            let _ = write!(out, "{id} {shard} d={timeout_ms}");
            if let Some((version, from, to)) = keys {
                let _ = write!(out, ",v={version},k={from}-{to}");
            }
            let _ = writeln!(out, " {}", text.len());
            out.extend_from_slice(text.as_bytes());
        }
    });
}

/// Writes a `C` frame, which cancels a shard request.
pub fn write_cancel_frame(out: &mut Vec<u8>, id: &str) {
    write_frame(out, b'C', |out| out.extend_from_slice(id.as_bytes()));
}

/// Appends encoded frames to the bytes.
impl NodeFrameWriter for Vec<u8> {
    fn write_attempts<'a>(&mut self, attempts: impl Iterator<Item = AttemptRequest<'a>>) {
        let attempts = attempts.map(|attempt| {
            let keys =
                attempt.keys.map(|requested| (requested.version, requested.keys.from, requested.keys.to));
            (attempt.request_id, attempt.shard, attempt.timeout_ms, attempt.text, keys)
        });
        write_attempts_frame(self, attempts);
    }

    fn write_cancel(&mut self, request_id: &str) {
        write_cancel_frame(self, request_id);
    }
}

/// Parses the part of a data node's report that concerns the shard map. Unreadable keys become an empty
/// range, which differs from every requested range. Guards against counting a value for keys that the data
/// node did not name.
pub fn parse_shard_report(report: &str) -> ShardReport {
    ShardReport {
        moved_at_version: moved_at_version(report),
        keys: answered_keys(report).unwrap_or(Some((0, 0))),
    }
}
