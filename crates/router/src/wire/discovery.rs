//! Discovery's lines: what is asked of it, and the lists and changes it writes.
use super::Fault;
use super::buffer::Buffer;
use super::http::{Chunks, Messages};
use super::json::Json;
use alderway::host::NodeState;
use std::io::Write;
use std::net::SocketAddr;

/// Longest line that is read: a whole list of some ten thousand data nodes.
pub const LONGEST: usize = 2 * 1024 * 1024;

/// Asks to follow the changes since a version, or from the whole list on where none is held; and, where layouts are
/// followed, those since a version of the layout, 0 for the whole of it.
pub fn follow(out: &mut Vec<u8>, host: &str, since: Option<u64>, layout: Option<u64>) {
    let since = since.map_or(String::new(), |index| format!("&since={index}"));
    let layout = layout.map_or(String::new(), |version| format!("&layout={version}"));
    let _ = write!(out, "GET /discovery/hosts?follow=1{since}{layout} HTTP/1.1\r\nHost: {host}\r\n\r\n");
}

/// The version of one object and whether it is the whole list, once all of it has proved readable.
pub fn version(bytes: &[u8]) -> Result<(u64, bool), Fault> {
    walk(bytes, &mut |_, _, _, _, _| ())
}

/// Every entry of a readable object goes straight into `entry`: name, address, cell, state, and the Unix time
/// in milliseconds of the last start, 0 for long ago.
pub fn entries(
    bytes: &[u8],
    mut entry: impl FnMut(&str, SocketAddr, u32, NodeState, u64),
) -> Result<(), Fault> {
    walk(bytes, &mut entry).map(drop)
}

type Entry<'a> = &'a mut dyn FnMut(&str, SocketAddr, u32, NodeState, u64);

/// Where a deleted data node, which needs no address any more, is said to be if discovery does not say.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn walk(bytes: &[u8], entry: Entry) -> Result<(u64, bool), Fault> {
    let (mut json, mut index, mut whole, mut listed) = (Json::new(bytes), None, None, false);
    json.object(|json, key| {
        match key {
            "index" => index = Some(json.whole()?),
            "snapshot" => whole = Some(json.flag()?),
            "endpoints" => {
                listed = true;
                json.list(|json| one(json, entry))?;
            }
            _ => json.skip()?,
        }
        Ok(())
    })?;
    json.end()?;
    if !listed {
        return Err("no `endpoints`");
    }
    Ok((index.ok_or("no `index`")?, whole.ok_or("no `snapshot`")?))
}

fn one(json: &mut Json, entry: Entry) -> Result<(), Fault> {
    let (mut name, mut address, mut cell, mut state, mut since) = (None, None, None, None, 0);
    json.object(|json, key| {
        match key {
            "name" => name = Some(json.text()?),
            "address" => {
                address = Some(json.text()?.parse().map_err(|_| "`address` is not address:port")?);
            }
            "group" => cell = Some(json.whole()?),
            "since_ms" => since = json.whole()?,
            "status" => {
                state = Some(match json.text()?.as_ref() {
                    "SERVING" => NodeState::Serving,
                    "DRAINING" => NodeState::Draining,
                    "DELETED" => NodeState::Gone,
                    _ => return Err("an unknown `status`"),
                });
            }
            _ => json.skip()?,
        }
        Ok(())
    })?;
    let (name, state) = (name.ok_or("an entry without `name`")?, state.ok_or("an entry without `status`")?);
    let gone = state == NodeState::Gone;
    let address = address.or(gone.then_some(NOWHERE)).ok_or("an entry without `address`")?;
    let cell = cell.or(gone.then_some(0)).ok_or("an entry without `group`")?;
    entry(&name, address, u32::try_from(cell).map_err(|_| "`group` is too large")?, state, since);
    Ok(())
}

/// The stream of a watch: a head, then chunks, in which every line is one object or blank.
#[derive(Default)]
pub struct Watch {
    head: Messages,
    headed: bool,
    chunks: Chunks,
    /// How much of the buffer is decoded, and how much of that holds no end of a line.
    decoded: usize,
    seen: usize,
    line: usize,
}

impl Watch {
    /// Looks for a whole line at the start of the buffer and returns where it ends.
    pub fn line(&mut self, buffer: &mut Buffer) -> Result<Option<usize>, Fault> {
        if !self.headed {
            if !self.head.find_head(buffer).map_err(|refusal| refusal.1)? {
                return Ok(None);
            }
            let (head, _) = self.head.message(buffer);
            if head.first().split(' ').nth(1) != Some("200") {
                return Err("the answer is not 200");
            }
            if !self.head.is_chunked() {
                return Err("the answer is not chunked");
            }
            self.head.done(buffer);
            self.headed = true;
        }
        self.decoded = self.chunks.decode(buffer, self.decoded).map_err(|refusal| refusal.1)?;
        let end = buffer.data()[self.seen..self.decoded].iter().position(|&b| b == b'\n');
        match end {
            Some(end) => {
                self.line = self.seen + end;
                Ok(Some(self.line))
            }
            None if self.chunks.done() => Err("the watch has ended"),
            None if self.decoded >= LONGEST => Err("a line is too long"),
            None => {
                self.seen = self.decoded;
                Ok(None)
            }
        }
    }

    /// The line is done with; the next one may be looked for.
    pub fn done(&mut self, buffer: &mut Buffer) {
        buffer.used(self.line + 1);
        (self.decoded, self.seen) = (self.decoded - self.line - 1, 0);
    }
}
