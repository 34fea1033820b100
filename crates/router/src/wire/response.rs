//! Encoding of HTTP responses to clients.
use super::http::HttpError;
use crate::state::clients::ClientConnection;
use crate::state::response::{PendingResponse, QueryResponse};
use std::io::Write;

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Internal Server Error",
    }
}

fn write_head(out: &mut Vec<u8>, status: u16, content_type: &str, length: usize, closes_connection: bool) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\n", reason_phrase(status));
    let _ = write!(out, "Content-Length: {length}\r\n");
    if closes_connection {
        out.extend_from_slice(b"Connection: close\r\n");
    }
}

/// Writes the response with the results of a query: the shard and value of each answered shard request.
/// `complete` says whether the answer counts as complete.
pub fn write_results<'a>(
    out: &mut Vec<u8>,
    complete: bool,
    results: impl Iterator<Item = (u32, &'a str)>,
    closes_connection: bool,
) {
    let results = results.map(|(shard, value)| (shard, None, value));
    write_results_by_keys(out, complete, results, closes_connection);
}

/// Writes the response with the results of a query: for each result the shard, the keys (from the first,
/// inclusive, to the second, exclusive) if they are known, and the value.
pub fn write_results_by_keys<'a>(
    out: &mut Vec<u8>,
    complete: bool,
    results: impl Iterator<Item = (u32, Option<(u32, u32)>, &'a str)>,
    closes_connection: bool,
) {
    let mut body = Vec::new();
    let _ = write!(body, "{{\"whole\":{complete},\"results\":[");
    for (index, (shard, keys, value)) in results.enumerate() {
        let comma = if index > 0 { "," } else { "" };
        let _ = write!(body, "{comma}{{\"partition\":{shard},");
        if let Some((from, to)) = keys {
            let _ = write!(body, "\"keys\":[{from},{to}],");
        }
        let _ = write!(body, "\"value\":\"");
        write_json_escaped(&mut body, value);
        body.extend_from_slice(b"\"}");
    }
    body.extend_from_slice(b"]}");
    write_head(out, 200, "application/json", body.len(), closes_connection);
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&body);
}

fn write_json_escaped(body: &mut Vec<u8>, text: &str) {
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

/// Writes a response with one line of text. If `retry_after_s` is set, the response has a `Retry-After` field
/// with that number of seconds.
pub fn write_text(
    out: &mut Vec<u8>,
    status: u16,
    text: &str,
    retry_after_s: Option<f64>,
    closes_connection: bool,
) {
    write_head(out, status, "text/plain", text.len() + 1, closes_connection);
    if status == 405 {
        out.extend_from_slice(b"Allow: GET, POST\r\n");
    }
    if let Some(span_s) = retry_after_s {
        let _ = write!(out, "Retry-After: {span_s:.3}\r\n");
    }
    let _ = write!(out, "\r\n{text}\n");
}

/// Writes the error response to bytes that are not a valid HTTP/1.1 request. The response announces that the
/// connection closes.
pub fn write_http_error(out: &mut Vec<u8>, (status, text): HttpError) {
    write_text(out, status, text, None, true);
}

/// Encodes the pending final response of a client connection, if there is one, and appends the encoded bytes
/// to the output of that connection.
pub fn encode_pending(client: &ClientConnection) {
    for pending in client.pending_responses.take() {
        encode(&mut client.output.borrow_mut(), &pending);
    }
}

fn encode(out: &mut Vec<u8>, pending: &PendingResponse) {
    let closes_connection = pending.closes_connection;
    match &pending.response {
        QueryResponse::Results { complete, results } => {
            let results = results.iter().map(|result| (result.shard, result.keys, result.value.as_str()));
            write_results_by_keys(out, *complete, results, closes_connection);
        }
        QueryResponse::ResultsByKeys { complete, coverage } => {
            let results = coverage
                .answers()
                .map(|(keys, (shard, value))| (*shard, Some((keys.from, keys.to)), value.as_str()));
            write_results_by_keys(out, *complete, results, closes_connection);
        }
        QueryResponse::NoCapacity => {
            write_text(
                out,
                503,
                "too many queries are open, or none is taken any more",
                None,
                closes_connection,
            );
        }
        QueryResponse::Rejected { retry_after_s } => {
            write_text(out, 503, "rejected, try again", *retry_after_s, closes_connection);
        }
        QueryResponse::Failed => write_text(out, 504, "aborted", None, closes_connection),
        QueryResponse::DeadlineExceeded => write_text(out, 504, "the time is up", None, closes_connection),
        QueryResponse::MayHaveExecuted => {
            let text = "a query with this X-Correlation-Id has ended, and may have run";
            write_text(out, 409, text, None, closes_connection);
        }
    }
}
