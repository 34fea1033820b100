//! What goes back to a client.
use super::ParseError;
use crate::state::clients::ClientConnection;
use crate::state::response::{PendingResponse, QueryResponse};
use std::io::Write;

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Internal Server Error",
    }
}

fn head(out: &mut Vec<u8>, status: u16, kind: &str, length: usize, close: bool) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\n", reason(status));
    let _ = write!(out, "Content-Length: {length}\r\n");
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
}

/// A merged answer with the shard and value of every part that is in.
pub fn merged<'a>(out: &mut Vec<u8>, whole: bool, parts: impl Iterator<Item = (u32, &'a str)>, close: bool) {
    merged_by_keys(out, whole, parts.map(|(shard, value)| (shard, None, value)), close);
}

/// The same where an answer says which keys it is for.
pub fn merged_by_keys<'a>(
    out: &mut Vec<u8>,
    whole: bool,
    parts: impl Iterator<Item = (u32, Option<(u32, u32)>, &'a str)>,
    close: bool,
) {
    let mut body = Vec::new();
    let _ = write!(body, "{{\"whole\":{whole},\"results\":[");
    for (i, (shard, keys, value)) in parts.enumerate() {
        let comma = if i > 0 { "," } else { "" };
        let _ = write!(body, "{comma}{{\"partition\":{shard},");
        if let Some((from, to)) = keys {
            let _ = write!(body, "\"keys\":[{from},{to}],");
        }
        let _ = write!(body, "\"value\":\"");
        escape(&mut body, value);
        body.extend_from_slice(b"\"}");
    }
    body.extend_from_slice(b"]}");
    head(out, 200, "application/json", body.len(), close);
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&body);
}

fn escape(body: &mut Vec<u8>, text: &str) {
    for byte in text.bytes() {
        match byte {
            b'"' | b'\\' => body.extend_from_slice(&[b'\\', byte]),
            0..0x20 => {
                let _ = write!(body, "\\u{byte:04x}");
            }
            _ => body.push(byte),
        }
    }
}

/// Any other answer: a status, a line of text, and when to come back where that is passed on.
pub fn plain(out: &mut Vec<u8>, status: u16, text: &str, come_back: Option<f64>, close: bool) {
    head(out, status, "text/plain", text.len() + 1, close);
    if status == 405 {
        out.extend_from_slice(b"Allow: GET, POST\r\n");
    }
    if let Some(span) = come_back {
        let _ = write!(out, "Retry-After: {span:.3}\r\n");
    }
    let _ = write!(out, "\r\n{text}\n");
}

/// Bytes that are no request of HTTP/1.1, answered by status; the connection closes after it.
pub fn unreadable(out: &mut Vec<u8>, (status, why): (u16, ParseError)) {
    plain(out, status, why, None, true);
}

/// Encodes the final response of a query, if one waits, behind what is to be written on its client's connection.
pub fn encode_pending(client: &ClientConnection) {
    for pending in client.pending_responses.take() {
        encode(&mut client.output.borrow_mut(), &pending);
    }
}

fn encode(out: &mut Vec<u8>, pending: &PendingResponse) {
    let close = pending.closes_connection;
    match &pending.response {
        QueryResponse::Results { complete, results } => {
            let parts = results.iter().map(|result| (result.shard, result.keys, result.value.as_str()));
            merged_by_keys(out, *complete, parts, close);
        }
        QueryResponse::ResultsByKeys { complete, coverage } => {
            let answers = coverage.answers();
            let parts =
                answers.map(|(keys, (shard, value))| (*shard, Some((keys.from, keys.to)), value.as_str()));
            merged_by_keys(out, *complete, parts, close);
        }
        QueryResponse::NoCapacity => {
            plain(out, 503, "too many queries are open, or none is taken any more", None, close);
        }
        QueryResponse::Rejected { retry_after_s } => {
            plain(out, 503, "rejected, try again", *retry_after_s, close);
        }
        QueryResponse::Failed => plain(out, 504, "aborted", None, close),
        QueryResponse::DeadlineExceeded => plain(out, 504, "the time is up", None, close),
    }
}
