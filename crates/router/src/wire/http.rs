//! Finds HTTP/1.1 requests and responses in a read buffer, however the bytes were split into reads.
use super::ParseError;
use super::buffer::ReadBuffer;
use crate::state::descriptors::CLIENT_BUFFER_BYTES;

/// The largest body of a request or response that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The largest head of a message that is read, in bytes, with the empty line that ends it.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most empty lines before a message that are passed over, in bytes.
const MAX_EMPTY_LINE_BYTES: usize = 1024;
/// The longest line with the size of a chunk, and the largest trailer after the last chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
const _: () = assert!(MAX_MESSAGE_BYTES == CLIENT_BUFFER_BYTES);
/// The read buffer size that the largest message needs, in bytes, with space for the framing of chunks.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + 4 * MAX_CHUNK_LINE_BYTES;

/// Why a received message is rejected: the status of the error response and its text.
pub type HttpError = (u16, ParseError);

/// The head of an HTTP message: its first line and its header fields.
#[derive(Clone, Copy)]
pub struct Head<'b> {
    lines: &'b str,
}

impl<'b> Head<'b> {
    /// The request line or status line.
    pub fn first_line(&self) -> &'b str {
        self.lines.lines().next().unwrap_or_default()
    }

    /// The value of the header field `name`, `None` if it is missing; an error if the head has several fields
    /// of that name.
    pub fn field(&self, name: &str) -> Result<Option<&'b str>, HttpError> {
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

    /// Whether the comma-separated list in the header field `name` contains `token`, in any letter case.
    fn list_contains(&self, name: &str, token: &str) -> bool {
        let fields = self.lines.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut values = fields.filter(|f| f.0.eq_ignore_ascii_case(name)).flat_map(|f| f.1.split(','));
        values.any(|v| v.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the sender of this message wants the connection to close after the message.
    pub fn closes_connection(&self) -> bool {
        let is_http_1_0 =
            self.first_line().ends_with("HTTP/1.0") || self.first_line().starts_with("HTTP/1.0");
        self.list_contains("connection", "close")
            || (is_http_1_0 && !self.list_contains("connection", "keep-alive"))
    }

    /// The length of the body in bytes, or `None` if the body is sent in chunks.
    fn body_length(&self) -> Result<Option<usize>, HttpError> {
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
            Ok(length) if length <= MAX_BODY_BYTES => Ok(Some(length)),
            _ => Err((413, "the body is larger than 64 KiB")),
        }
    }
}

/// The length of the head in bytes, with the empty line that ends it; `None` if the head is incomplete. The
/// first `searched` bytes have been searched before and are skipped.
fn find_head_end(data: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(3);
    let at = data[from..].windows(4).position(|w| w == b"\r\n\r\n")?;
    Some(from + at + 4)
}

fn parse_head(data: &[u8]) -> Result<Head<'_>, HttpError> {
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

/// Decodes a chunked body in place: removes the chunk sizes and line breaks from the buffer, so that only the
/// content is left.
#[derive(Default)]
pub struct ChunkDecoder {
    /// Number of bytes of the current chunk that are not yet decoded.
    remaining_bytes: usize,
    state: ChunkState,
    trailer_bytes: usize,
}

#[derive(Default, PartialEq)]
enum ChunkState {
    #[default]
    Size,
    Data,
    AfterData,
    Trailer,
    Done,
}

impl ChunkDecoder {
    /// Whether the whole body is decoded, including the last chunk and the trailer.
    pub fn is_complete(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Decodes the chunks that follow the first `decoded_end` bytes of the buffer. Returns the number of
    /// decoded bytes at the start of the buffer: `decoded_end` plus the bytes that this call has decoded.
    pub fn decode_chunks(&mut self, buffer: &mut ReadBuffer, decoded_end: usize) -> Result<usize, HttpError> {
        let (mut to, mut at) = (decoded_end, decoded_end);
        let data = buffer.data_mut();
        loop {
            let rest = &data[at..];
            let line = rest.iter().position(|&b| b == b'\n');
            match self.state {
                ChunkState::Data if rest.is_empty() => break,
                ChunkState::Data => {
                    let count = rest.len().min(self.remaining_bytes);
                    data.copy_within(at..at + count, to);
                    (to, at, self.remaining_bytes) = (to + count, at + count, self.remaining_bytes - count);
                    if self.remaining_bytes == 0 {
                        self.state = ChunkState::AfterData;
                    }
                }
                ChunkState::AfterData => match rest {
                    [b'\r', b'\n', ..] => (at, self.state) = (at + 2, ChunkState::Size),
                    [] | [b'\r'] => break,
                    _ => return Err((400, "a chunk is longer than its size")),
                },
                ChunkState::Done => break,
                ChunkState::Size | ChunkState::Trailer => {
                    let Some(end) = line else {
                        if rest.len() > MAX_CHUNK_LINE_BYTES {
                            return Err((400, "a chunk's line is too long"));
                        }
                        break;
                    };
                    let text = rest[..end].strip_suffix(b"\r").ok_or((400, "a chunk's line without CR"))?;
                    if self.state == ChunkState::Trailer {
                        self.trailer_bytes += end;
                        if self.trailer_bytes > MAX_CHUNK_LINE_BYTES {
                            return Err((400, "the trailer is too long"));
                        }
                        self.state = if text.is_empty() { ChunkState::Done } else { ChunkState::Trailer };
                    } else {
                        self.remaining_bytes = parse_chunk_size(text)?;
                        self.state =
                            if self.remaining_bytes == 0 { ChunkState::Trailer } else { ChunkState::Data };
                    }
                    at += end + 1;
                }
            }
        }
        buffer.remove(to..at);
        Ok(to)
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let digits = line.split(|&b| b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    if text.is_empty() || text.len() > 8 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err((400, "a chunk's size is not a number"));
    }
    usize::from_str_radix(text, 16).map_err(|_| (400, "a chunk's size is not a number"))
}

/// Finds HTTP messages in a read buffer, one after the other.
#[derive(Default)]
pub struct MessageReader {
    /// Number of bytes of empty lines that were passed over before the message.
    empty_line_bytes: usize,
    /// Number of bytes that were searched for the end of the head.
    searched: usize,
    /// The length of the current message's head in bytes; `None` until the head is completely received.
    head_end: Option<usize>,
    /// The end of the body in the buffer, in bytes from the start of the message; for a chunked body, the end
    /// of the bytes decoded so far.
    body_end: usize,
    /// The length of the body in bytes; `None` if the body is chunked.
    body_length: Option<usize>,
    chunks: ChunkDecoder,
}

impl MessageReader {
    /// Whether the buffer starts with a complete message. A chunked body is decoded in place as far as it is
    /// received; the message stays in the buffer until `consume_message`.
    pub fn find_message(&mut self, buffer: &mut ReadBuffer) -> Result<bool, HttpError> {
        if !self.find_head(buffer)? {
            return Ok(false);
        }
        let start = self.head_end.unwrap_or_default();
        let Some(length) = self.body_length else {
            self.body_end = self.chunks.decode_chunks(buffer, self.body_end)?;
            if self.body_end - start > MAX_BODY_BYTES {
                return Err((413, "the body is larger than 64 KiB"));
            }
            return Ok(self.chunks.is_complete());
        };
        self.body_end = start + length;
        Ok(buffer.data().len() >= self.body_end)
    }

    /// Whether the buffer starts with a complete head. If so, the length of the body, or that it is chunked,
    /// is stored.
    pub fn find_head(&mut self, buffer: &mut ReadBuffer) -> Result<bool, HttpError> {
        if self.head_end.is_some() {
            return Ok(true);
        }
        // RFC 9112, section 2.2: empty lines before the first line are ignored.
        while buffer.data().starts_with(b"\r\n") {
            buffer.consume(2);
            self.searched = 0;
            self.empty_line_bytes += 2;
            if self.empty_line_bytes > MAX_EMPTY_LINE_BYTES {
                return Err((400, "too many empty lines before a request"));
            }
        }
        let Some(end) = find_head_end(buffer.data(), self.searched) else {
            self.searched = buffer.data().len();
            return if self.searched > MAX_HEAD_BYTES {
                Err((431, "the head is too long"))
            } else {
                Ok(false)
            };
        };
        if end > MAX_HEAD_BYTES {
            return Err((431, "the head is too long"));
        }
        self.body_length = parse_head(&buffer.data()[..end])?.body_length()?;
        (self.head_end, self.body_end) = (Some(end), end);
        Ok(true)
    }

    /// Whether the head is received and the body is sent in chunks.
    pub fn is_chunked(&self) -> bool {
        self.head_end.is_some() && self.body_length.is_none()
    }

    /// The head and body of the message that `find_message` found. If only `find_head` was called, the body
    /// is empty.
    pub fn message<'b>(&self, buffer: &'b ReadBuffer) -> (Head<'b>, &'b [u8]) {
        let (data, end) = (buffer.data(), self.head_end.unwrap_or_default());
        let lines = std::str::from_utf8(&data[..end]).unwrap_or_default();
        (Head { lines }, data.get(end..self.body_end).unwrap_or_default())
    }

    /// The end of the message that `find_message` found, in bytes from the start of the unconsumed bytes of
    /// the buffer. The framing of decoded chunks is not counted.
    pub fn message_end(&self) -> usize {
        self.body_end
    }

    /// Whether only the head of a request is received, and the client waits for `100 Continue` before it
    /// sends the body.
    pub fn expects_continue(&self, buffer: &ReadBuffer) -> bool {
        let has_only_head = self.head_end == Some(buffer.data().len());
        has_only_head && self.message(buffer).0.list_contains("expect", "100-continue")
    }

    /// Removes the message that `find_message` found from the buffer. The next call of `find_message`
    /// searches for the following message.
    pub fn consume_message(&mut self, buffer: &mut ReadBuffer) {
        buffer.consume(self.body_end);
        *self = MessageReader::default();
    }
}
