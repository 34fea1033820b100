//! The watch on discovery, the service that publishes the endpoint list and the shard map. A watch is an HTTP
//! response with a chunked body that streams JSON objects, each with a full endpoint list or with changes to
//! it. This module writes the request that opens a watch, and reads the response.
use super::ParseError;
use super::buffer::ReadBuffer;
use super::http::{ChunkDecoder, MessageReader};
use super::json::JsonReader;
use alderway::interface::NodeState;
use std::io::Write;
use std::net::SocketAddr;

/// The largest object of a watch that is read, in bytes: enough for a full list of about ten thousand data
/// nodes.
pub const MAX_OBJECT_BYTES: usize = 2 * 1024 * 1024;

/// Writes the request that opens a watch. The watch streams the changes since version `since` of the endpoint
/// list, or, if `since` is `None`, the full list and then its changes. If `shard_map` is set, the watch also
/// streams the changes of the shard map since that version; version 0 requests the full shard map.
pub fn write_watch_request(out: &mut Vec<u8>, host: &str, since: Option<u64>, shard_map: Option<u64>) {
    let since = since.map_or(String::new(), |version| format!("&since={version}"));
    let shard_map = shard_map.map_or(String::new(), |version| format!("&layout={version}"));
    let _ = write!(out, "GET /discovery/hosts?follow=1{since}{shard_map} HTTP/1.1\r\nHost: {host}\r\n\r\n");
}

/// Reads the version of the endpoint list in an object, and whether the object has the full list (true) or
/// changes (false). Fails if any part of the object is not valid JSON or if `index`, `snapshot` or
/// `endpoints` is missing.
pub fn read_version(bytes: &[u8]) -> Result<(u64, bool), ParseError> {
    read_object(bytes, &mut |_, _| ())
}

/// A data node in an endpoint list from discovery.
#[derive(Debug, PartialEq)]
pub struct NodeEntry {
    pub address: SocketAddr,
    pub replica_group: u32,
    pub state: NodeState,
    /// When the data node's process last started, as Unix time in milliseconds; 0 if discovery does not know
    /// the time of the start or the start was long ago.
    pub started_at_unix_ms: u64,
}

/// The error for an entry of an endpoint list that cannot be used: the state of the data node, `None` if the
/// state is unreadable, and the reason.
pub type EntryError = (Option<NodeState>, ParseError);

/// Reads an object and calls `on_entry` for each entry of its endpoint list, with the name of the data node,
/// or an empty string if the entry has no name.
pub fn read_entries(
    bytes: &[u8],
    mut on_entry: impl FnMut(&str, Result<NodeEntry, EntryError>),
) -> Result<(), ParseError> {
    read_object(bytes, &mut on_entry).map(drop)
}

type EntryHandler<'a> = &'a mut dyn FnMut(&str, Result<NodeEntry, EntryError>);

/// Address that is reported for a deleted data node whose entry has no address.
const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn read_object(bytes: &[u8], on_entry: EntryHandler) -> Result<(u64, bool), ParseError> {
    let (mut json, mut version, mut is_full_list) = (JsonReader::new(bytes), None, None);
    let mut has_endpoints = false;
    json.read_object(|json, key| {
        match key {
            "index" => version = Some(json.read_integer().map_err(|_| "`index` is not a whole number")?),
            "snapshot" => {
                is_full_list = Some(json.read_bool().map_err(|_| "`snapshot` is not true or false")?)
            }
            "endpoints" => {
                has_endpoints = true;
                json.read_array(|json| read_entry(json, on_entry))?;
            }
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    json.expect_end()?;
    if !has_endpoints {
        return Err("an object of the watch has no `endpoints`");
    }
    Ok((
        version.ok_or("an object of the watch has no `index`")?,
        is_full_list.ok_or("an object of the watch has no `snapshot`")?,
    ))
}

fn read_state(json: &mut JsonReader) -> Result<NodeState, ParseError> {
    match json.read_string().map_err(|_| "`status` is not a string")?.as_ref() {
        "SERVING" => Ok(NodeState::Serving),
        "DRAINING" => Ok(NodeState::Draining),
        "DELETED" => Ok(NodeState::Removed),
        _ => Err("`status` is not SERVING, DRAINING or DELETED"),
    }
}

/// Reads one entry of an endpoint list. An unusable entry is reported to `on_entry` as an error, so that the
/// other entries of the list still count.
fn read_entry(json: &mut JsonReader, on_entry: EntryHandler) -> Result<(), ParseError> {
    let (mut name, mut address, mut replica_group) = (None, None, None);
    let (mut state, mut started_at_unix_ms) = (Err("the entry has no `status`"), Ok(0));
    json.read_object(|json, key| {
        match key {
            "name" => name = json.read_or_skip(JsonReader::read_string)?.ok(),
            "address" => {
                let text = json.read_or_skip(JsonReader::read_string)?;
                let parsed = text.map_err(|_| "`address` is not a string");
                let parsed = parsed
                    .and_then(|text| text.parse().map_err(|_| "`address` is not an IP address and port"));
                address = Some(parsed);
            }
            "group" => {
                let number = json.read_or_skip(JsonReader::read_integer)?;
                let number = number.map_err(|_| "`group` is not a whole number");
                replica_group =
                    Some(number.and_then(|number| u32::try_from(number).map_err(|_| "`group` is too large")));
            }
            "since_ms" => {
                let number = json.read_or_skip(JsonReader::read_integer)?;
                started_at_unix_ms = number.map_err(|_| "`since_ms` is not a whole number");
            }
            "status" => state = json.read_or_skip(read_state)?,
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    let is_removed = state == Ok(NodeState::Removed);
    let address = address.or(is_removed.then_some(Ok(UNSPECIFIED_ADDRESS)));
    let replica_group = replica_group.or(is_removed.then_some(Ok(0)));
    let entry = || {
        let address = address.ok_or("the entry has no `address`");
        let replica_group = replica_group.ok_or("the entry has no `group`");
        name.as_ref().ok_or("the entry has no `name`")?;
        Ok(NodeEntry {
            address: address??,
            replica_group: replica_group??,
            state: state?,
            started_at_unix_ms: started_at_unix_ms?,
        })
    };
    let result = entry().map_err(|error| (state.ok(), error));
    on_entry(name.as_deref().unwrap_or_default(), result);
    Ok(())
}

/// A completely received piece of a watch's response.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// The status line and header fields of the response.
    ResponseHead,
    /// A line break outside of objects: the end of an object's line, or an empty line, which discovery sends
    /// while nothing changes.
    EmptyLine,
    /// An object. The number is the length of the object with the whitespace before it, in bytes from the
    /// start of the buffer.
    Object(usize),
}

/// Reads the response of a watch: the head, then a chunked body of objects and empty lines. An object may
/// span several lines and chunks.
#[derive(Default)]
pub struct WatchReader {
    head: MessageReader,
    has_head: bool,
    chunks: ChunkDecoder,
    /// Number of bytes at the start of the buffer from which the framing of chunks has been removed.
    decoded_bytes: usize,
    /// Number of bytes at the start of the buffer that were searched for the end of an event.
    scanned_bytes: usize,
    /// Number of bytes at the start of the buffer that belong to the event that was returned last.
    returned_bytes: usize,
    /// Number of objects that are open at the searched position.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
}

impl WatchReader {
    /// The next completely received event; `None` if more bytes are needed. The bytes of an object stay in
    /// the buffer until the next call.
    pub fn next_event(&mut self, buffer: &mut ReadBuffer) -> Result<Option<WatchEvent>, ParseError> {
        if !self.has_head {
            if !self.head.find_head(buffer).map_err(|error| error.1)? {
                return Ok(None);
            }
            let (head, _) = self.head.message(buffer);
            if head.first_line().split(' ').nth(1) != Some("200") {
                return Err("the status of discovery's response is not 200");
            }
            if !self.head.is_chunked() {
                return Err("discovery's response has no chunked body");
            }
            self.head.consume_message(buffer);
            self.has_head = true;
            return Ok(Some(WatchEvent::ResponseHead));
        }
        if self.returned_bytes > 0 {
            buffer.consume(self.returned_bytes);
            self.decoded_bytes -= self.returned_bytes;
            self.scanned_bytes -= self.returned_bytes;
            self.returned_bytes = 0;
        }
        if let Some(event) = self.scan_decoded(buffer)? {
            return Ok(Some(event));
        }
        self.decoded_bytes =
            self.chunks.decode_chunks(buffer, self.decoded_bytes).map_err(|error| error.1)?;
        if let Some(event) = self.scan_decoded(buffer)? {
            return Ok(Some(event));
        }
        match () {
            () if self.chunks.is_complete() => Err("discovery ended the watch"),
            () if self.decoded_bytes >= MAX_OBJECT_BYTES => Err("an object is too long"),
            () => Ok(None),
        }
    }

    /// Scans the bytes from which the framing of chunks has been removed, up to the end of an event.
    fn scan_decoded(&mut self, buffer: &ReadBuffer) -> Result<Option<WatchEvent>, ParseError> {
        while self.scanned_bytes < self.decoded_bytes {
            let byte = buffer.data()[self.scanned_bytes];
            self.scanned_bytes += 1;
            if let Some(event) = self.scan_byte(byte)? {
                self.returned_bytes = self.scanned_bytes;
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// Scans the next byte of the body; returns the event that ends with this byte, if any.
    fn scan_byte(&mut self, byte: u8) -> Result<Option<WatchEvent>, ParseError> {
        if self.in_string {
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' => self.is_escaped = true,
                b'"' => self.in_string = false,
                0..0x20 => return Err("the watch has a control character in a string"),
                _ => {}
            }
            return Ok(None);
        }
        match byte {
            b'{' => self.depth += 1,
            b'}' if self.depth == 1 => {
                self.depth = 0;
                return Ok(Some(WatchEvent::Object(self.scanned_bytes)));
            }
            b'}' if self.depth > 0 => self.depth -= 1,
            b'"' if self.depth > 0 => self.in_string = true,
            b'\n' if self.depth == 0 => return Ok(Some(WatchEvent::EmptyLine)),
            b' ' | b'\t' | b'\r' => {}
            _ if self.depth == 0 => {
                return Err("the watch has bytes other than whitespace outside of objects");
            }
            _ => {}
        }
        Ok(None)
    }
}
