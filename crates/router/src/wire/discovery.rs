//! Discovery's lines: what is asked of it, and the lists and changes it writes.
use super::ParseError;
use super::buffer::ReadBuffer;
use super::http::{ChunkDecoder, MessageReader};
use super::json::JsonReader;
use alderway::interface::NodeState;
use std::io::Write;
use std::net::SocketAddr;

/// Longest object that is read: a whole list of some ten thousand data nodes.
pub const LONGEST: usize = 2 * 1024 * 1024;

/// Asks to follow the changes since a version, or from the whole list on where none is held; and, where layouts are
/// followed, those since a version of the layout, 0 for the whole of it.
pub fn follow(out: &mut Vec<u8>, host: &str, since: Option<u64>, layout: Option<u64>) {
    let since = since.map_or(String::new(), |index| format!("&since={index}"));
    let layout = layout.map_or(String::new(), |version| format!("&layout={version}"));
    let _ = write!(out, "GET /discovery/hosts?follow=1{since}{layout} HTTP/1.1\r\nHost: {host}\r\n\r\n");
}

/// The version of one object and whether it is the whole list, once all of it has proved readable.
pub fn version(bytes: &[u8]) -> Result<(u64, bool), ParseError> {
    walk(bytes, &mut |_, _| ())
}

/// A data node as a list names it. `since` is the Unix time in milliseconds of its last start, 0 for long ago.
#[derive(Debug, PartialEq)]
pub struct Node {
    pub address: SocketAddr,
    pub cell: u32,
    pub state: NodeState,
    pub since: u64,
}

/// An entry of which something cannot be used: its state, where that can be read, and what is wrong.
pub type Wrong = (Option<NodeState>, ParseError);

/// Every entry of a readable object goes straight into `entry`, by its name; one without a name by none.
pub fn entries(bytes: &[u8], mut entry: impl FnMut(&str, Result<Node, Wrong>)) -> Result<(), ParseError> {
    walk(bytes, &mut entry).map(drop)
}

type Entry<'a> = &'a mut dyn FnMut(&str, Result<Node, Wrong>);

/// Where a deleted data node, which needs no address any more, is said to be if discovery does not say.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn walk(bytes: &[u8], entry: Entry) -> Result<(u64, bool), ParseError> {
    let (mut json, mut index, mut whole, mut listed) = (JsonReader::new(bytes), None, None, false);
    json.read_object(|json, key| {
        match key {
            "index" => index = Some(json.read_integer()?),
            "snapshot" => whole = Some(json.read_bool()?),
            "endpoints" => {
                listed = true;
                json.read_array(|json| one(json, entry))?;
            }
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    json.expect_end()?;
    if !listed {
        return Err("no `endpoints`");
    }
    Ok((index.ok_or("no `index`")?, whole.ok_or("no `snapshot`")?))
}

fn state(json: &mut JsonReader) -> Result<NodeState, ParseError> {
    match json.read_string()?.as_ref() {
        "SERVING" => Ok(NodeState::Serving),
        "DRAINING" => Ok(NodeState::Draining),
        "DELETED" => Ok(NodeState::Removed),
        _ => Err("an unknown `status`"),
    }
}

/// One entry. Guards against one that is wrong hiding all others of its list: it alone is told as wrong.
fn one(json: &mut JsonReader, entry: Entry) -> Result<(), ParseError> {
    let (mut name, mut address, mut cell) = (None, None, None);
    let (mut status, mut since) = (Err("an entry without `status`"), Ok(0));
    json.read_object(|json, key| {
        match key {
            "name" => name = json.read_or_skip(JsonReader::read_string)?.ok(),
            "address" => {
                let found = json.read_or_skip(JsonReader::read_string)?;
                address = Some(found.and_then(|a| a.parse().map_err(|_| "`address` is not address:port")));
            }
            "group" => {
                let found =
                    json.read_or_skip(JsonReader::read_integer)?.map_err(|_| "`group` is not a whole number");
                cell = Some(found.and_then(|cell| u32::try_from(cell).map_err(|_| "`group` is too large")));
            }
            "since_ms" => {
                since = json
                    .read_or_skip(JsonReader::read_integer)?
                    .map_err(|_| "`since_ms` is not a whole number")
            }
            "status" => status = json.read_or_skip(state)?,
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    let gone = status == Ok(NodeState::Removed);
    let (address, cell) = (address.or(gone.then_some(Ok(NOWHERE))), cell.or(gone.then_some(Ok(0))));
    let read = || {
        let (address, cell) =
            (address.ok_or("an entry without `address`"), cell.ok_or("an entry without `group`"));
        name.as_ref().ok_or("an entry without `name`")?;
        Ok(Node { address: address??, cell: cell??, state: status?, since: since? })
    };
    let told = read().map_err(|why| (status.ok(), why));
    entry(name.as_deref().unwrap_or_default(), told);
    Ok(())
}

/// What has come whole on a watch.
#[derive(Debug, PartialEq)]
pub enum Word {
    /// The answer has begun.
    Head,
    /// A line with nothing on it: nothing has changed.
    Blank,
    /// An object, which ends so many bytes from the start of the buffer.
    Object(usize),
}

/// The stream of a watch: a head, then chunks, which hold objects and blank lines. An object may be written over
/// several lines.
#[derive(Default)]
pub struct Watch {
    head: MessageReader,
    headed: bool,
    chunks: ChunkDecoder,
    /// How much of the buffer is decoded, how much of that is looked at, and how much is of a word told already.
    decoded: usize,
    seen: usize,
    told: usize,
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl Watch {
    /// The next word that stands whole in the buffer; an object stays there until the next call.
    pub fn word(&mut self, buffer: &mut ReadBuffer) -> Result<Option<Word>, ParseError> {
        if !self.headed {
            if !self.head.find_head(buffer).map_err(|error| error.1)? {
                return Ok(None);
            }
            let (head, _) = self.head.message(buffer);
            if head.first_line().split(' ').nth(1) != Some("200") {
                return Err("the answer is not 200");
            }
            if !self.head.is_chunked() {
                return Err("the answer is not chunked");
            }
            self.head.consume_message(buffer);
            self.headed = true;
            return Ok(Some(Word::Head));
        }
        if self.told > 0 {
            buffer.consume(self.told);
            self.decoded -= self.told;
            self.seen -= self.told;
            self.told = 0;
        }
        self.decoded = self.chunks.decode(buffer, self.decoded).map_err(|error| error.1)?;
        while self.seen < self.decoded {
            let byte = buffer.data()[self.seen];
            self.seen += 1;
            if let Some(word) = self.take(byte)? {
                self.told = self.seen;
                return Ok(Some(word));
            }
        }
        match () {
            () if self.chunks.is_done() => Err("the watch has ended"),
            () if self.decoded >= LONGEST => Err("an object is too long"),
            () => Ok(None),
        }
    }

    fn take(&mut self, byte: u8) -> Result<Option<Word>, ParseError> {
        if self.in_text {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.in_text = false,
                0..0x20 => return Err("a control character in a string"),
                _ => {}
            }
            return Ok(None);
        }
        match byte {
            b'{' => self.depth += 1,
            b'}' if self.depth == 1 => {
                self.depth = 0;
                return Ok(Some(Word::Object(self.seen)));
            }
            b'}' if self.depth > 0 => self.depth -= 1,
            b'"' if self.depth > 0 => self.in_text = true,
            b'\n' if self.depth == 0 => return Ok(Some(Word::Blank)),
            b' ' | b'\t' | b'\r' => {}
            _ if self.depth == 0 => return Err("something that is no object"),
            _ => {}
        }
        Ok(None)
    }
}
