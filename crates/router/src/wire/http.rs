//! HTTP/1.1 both ways: finds the messages in a buffer, wherever the bytes are cut.
use super::Fault;
use super::buffer::ReadBuffer;
use crate::state::descriptors::CLIENT_BUFFER_BYTES;

/// The largest body, and the largest head and chunk line that go with it.
pub const BODY: usize = 64 * 1024;
const HEAD: usize = 16 * 1024;
const LINE: usize = 1024;
const _: () = assert!(MESSAGE == CLIENT_BUFFER_BYTES);
/// What a buffer must hold for the largest message, with room for the framing of its chunks.
pub const MESSAGE: usize = HEAD + BODY + 4 * LINE;

/// What is wrong with a message, with the status that tells a client so.
pub type Refusal = (u16, Fault);

/// The head of a message: its first line and its fields.
#[derive(Clone, Copy)]
pub struct Head<'b> {
    lines: &'b str,
}

impl<'b> Head<'b> {
    pub fn first(&self) -> &'b str {
        self.lines.lines().next().unwrap_or_default()
    }

    /// The value of the only field of that name; an error where there are several.
    pub fn field(&self, name: &str) -> Result<Option<&'b str>, Refusal> {
        let mut found = None;
        for line in self.lines.lines().skip(1) {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            if field.eq_ignore_ascii_case(name) {
                if found.is_some() {
                    return Err((400, "a field stands twice"));
                }
                found = Some(value.trim_matches([' ', '\t']));
            }
        }
        Ok(found)
    }

    /// Whether a comma-separated field holds a word.
    fn lists(&self, name: &str, word: &str) -> bool {
        let fields = self.lines.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut values = fields.filter(|f| f.0.eq_ignore_ascii_case(name)).flat_map(|f| f.1.split(','));
        values.any(|v| v.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the connection ends after this message.
    pub fn closes(&self) -> bool {
        let old = self.first().ends_with("HTTP/1.0") || self.first().starts_with("HTTP/1.0");
        self.lists("connection", "close") || (old && !self.lists("connection", "keep-alive"))
    }

    /// How the body is framed: its length, or `None` for chunks.
    fn length(&self) -> Result<Option<usize>, Refusal> {
        let length = self.field("content-length")?;
        if let Some(coding) = self.field("transfer-encoding")? {
            return match (coding.eq_ignore_ascii_case("chunked"), length) {
                (true, None) => Ok(None),
                (true, Some(_)) => Err((400, "both a length and chunks")),
                (false, _) => Err((501, "an unknown transfer coding")),
            };
        }
        let Some(text) = length else { return Ok(Some(0)) };
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err((400, "the length is not a number"));
        }
        match text.parse() {
            Ok(length) if length <= BODY => Ok(Some(length)),
            _ => Err((413, "the body is larger than 64 KiB")),
        }
    }
}

/// Where the head ends, with the blank line; looks only at what `seen` had not covered.
fn head_end(data: &[u8], seen: usize) -> Option<usize> {
    let from = seen.saturating_sub(3);
    let at = data[from..].windows(4).position(|w| w == b"\r\n\r\n")?;
    Some(from + at + 4)
}

fn head(data: &[u8]) -> Result<Head<'_>, Refusal> {
    let lines = std::str::from_utf8(data).map_err(|_| (400, "the head is not text"))?;
    let unprintable = |b: u8| (b < 0x20 && !matches!(b, b'\r' | b'\n' | b'\t')) || b == 0x7f;
    if lines.bytes().any(unprintable) || lines.replace("\r\n", "").contains(['\r', '\n']) {
        return Err((400, "a control character in the head"));
    }
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    for line in lines.trim_end_matches("\r\n").split("\r\n").skip(1) {
        match line.split_once(':') {
            Some((name, _)) if !name.is_empty() && name.bytes().all(token) => {}
            _ => return Err((400, "a header line without a name")),
        }
    }
    Ok(Head { lines })
}

/// Takes the framing of chunks out of a body, in place.
#[derive(Default)]
pub struct Chunks {
    /// Bytes of the present chunk that are still to come.
    left: usize,
    step: ChunkStep,
    trailer: usize,
}

#[derive(Default, PartialEq)]
enum ChunkStep {
    #[default]
    Size,
    Data,
    AfterData,
    Trailer,
    Done,
}

impl Chunks {
    pub fn done(&self) -> bool {
        self.step == ChunkStep::Done
    }

    /// Decodes what stands from `from` on in the buffer; the decoded bytes stay, their framing goes. Returns
    /// where the decoded bytes end; what follows is not decoded yet.
    pub fn decode(&mut self, buffer: &mut ReadBuffer, from: usize) -> Result<usize, Refusal> {
        let (mut to, mut at) = (from, from);
        let data = buffer.data_mut();
        loop {
            let rest = &data[at..];
            let line = rest.iter().position(|&b| b == b'\n');
            match self.step {
                ChunkStep::Data if rest.is_empty() => break,
                ChunkStep::Data => {
                    let count = rest.len().min(self.left);
                    data.copy_within(at..at + count, to);
                    (to, at, self.left) = (to + count, at + count, self.left - count);
                    if self.left == 0 {
                        self.step = ChunkStep::AfterData;
                    }
                }
                ChunkStep::AfterData => match rest {
                    [b'\r', b'\n', ..] => (at, self.step) = (at + 2, ChunkStep::Size),
                    [] | [b'\r'] => break,
                    _ => return Err((400, "a chunk is longer than its size")),
                },
                ChunkStep::Done => break,
                ChunkStep::Size | ChunkStep::Trailer => {
                    let Some(end) = line else {
                        if rest.len() > LINE {
                            return Err((400, "a chunk's line is too long"));
                        }
                        break;
                    };
                    let text = rest[..end].strip_suffix(b"\r").ok_or((400, "a chunk's line without CR"))?;
                    if self.step == ChunkStep::Trailer {
                        self.trailer += end;
                        if self.trailer > LINE {
                            return Err((400, "the trailer is too long"));
                        }
                        self.step = if text.is_empty() { ChunkStep::Done } else { ChunkStep::Trailer };
                    } else {
                        self.left = chunk_size(text)?;
                        self.step = if self.left == 0 { ChunkStep::Trailer } else { ChunkStep::Data };
                    }
                    at += end + 1;
                }
            }
        }
        buffer.remove(to..at);
        Ok(to)
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, Refusal> {
    let digits = line.split(|&b| b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    if text.is_empty() || text.len() > 8 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err((400, "a chunk's size is not a number"));
    }
    usize::from_str_radix(text, 16).map_err(|_| (400, "a chunk's size is not a number"))
}

/// Finds one message after the other in a buffer.
#[derive(Default)]
pub struct Messages {
    /// Bytes already searched for the end of the head.
    seen: usize,
    /// Where the head of the present message ends, once known.
    head: Option<usize>,
    /// Where its body ends as far as it is decoded.
    body: usize,
    length: Option<usize>,
    chunks: Chunks,
}

impl Messages {
    /// Looks for a whole message at the start of the buffer; true once it stands there.
    pub fn find(&mut self, buffer: &mut ReadBuffer) -> Result<bool, Refusal> {
        if !self.find_head(buffer)? {
            return Ok(false);
        }
        let start = self.head.unwrap_or_default();
        let Some(length) = self.length else {
            self.body = self.chunks.decode(buffer, self.body)?;
            if self.body - start > BODY {
                return Err((413, "the body is larger than 64 KiB"));
            }
            return Ok(self.chunks.done());
        };
        self.body = start + length;
        Ok(buffer.data().len() >= self.body)
    }

    /// Looks only for the head; true once it stands there and its framing is known.
    pub fn find_head(&mut self, buffer: &mut ReadBuffer) -> Result<bool, Refusal> {
        if self.head.is_some() {
            return Ok(true);
        }
        // Empty lines before a first line are passed over, as HTTP asks.
        while buffer.data().starts_with(b"\r\n") {
            buffer.consume(2);
            self.seen = 0;
        }
        let Some(end) = head_end(buffer.data(), self.seen) else {
            self.seen = buffer.data().len();
            return if self.seen > HEAD { Err((431, "the head is too long")) } else { Ok(false) };
        };
        if end > HEAD {
            return Err((431, "the head is too long"));
        }
        self.length = head(&buffer.data()[..end])?.length()?;
        (self.head, self.body) = (Some(end), end);
        Ok(true)
    }

    pub fn is_chunked(&self) -> bool {
        self.head.is_some() && self.length.is_none()
    }

    /// The message that `find` has found, or the head that `find_head` has.
    pub fn message<'b>(&self, buffer: &'b ReadBuffer) -> (Head<'b>, &'b [u8]) {
        let (data, end) = (buffer.data(), self.head.unwrap_or_default());
        let lines = std::str::from_utf8(&data[..end]).unwrap_or_default();
        (Head { lines }, data.get(end..self.body).unwrap_or_default())
    }

    /// Where the message that `find` has found ends.
    pub fn end(&self) -> usize {
        self.body
    }

    /// Whether the client waits for a word before it sends the body.
    pub fn awaits_go_ahead(&self, buffer: &ReadBuffer) -> bool {
        let bare = self.head == Some(buffer.data().len());
        bare && self.message(buffer).0.lists("expect", "100-continue")
    }

    /// The message is done with; the next one may be looked for.
    pub fn done(&mut self, buffer: &mut ReadBuffer) {
        buffer.consume(self.body);
        *self = Messages::default();
    }
}
