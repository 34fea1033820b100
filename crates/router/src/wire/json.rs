//! A JSON reader that reads the bytes of a document once, in order. Strings without escapes are borrowed from
//! the bytes.
use super::ParseError;
use std::borrow::Cow;

type Parsed<T> = Result<T, ParseError>;

/// Largest depth of nested arrays and objects. Deeper nesting is rejected, so that no input can overflow the
/// stack.
const MAX_DEPTH: usize = 32;

/// Reads one JSON document value by value.
pub struct JsonReader<'b> {
    bytes: &'b [u8],
    position: usize,
    depth: usize,
}

impl<'b> JsonReader<'b> {
    /// A reader at the first byte of a document.
    pub fn new(bytes: &'b [u8]) -> Self {
        JsonReader { bytes, position: 0, depth: 0 }
    }

    /// Skips whitespace and returns the next byte without consuming the byte; `None` at the end of the
    /// document.
    fn peek(&mut self) -> Option<u8> {
        while matches!(self.bytes.get(self.position), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.position += 1;
        }
        self.bytes.get(self.position).copied()
    }

    /// Skips whitespace and consumes `byte`; fails with `error` if another byte is next.
    fn expect_byte(&mut self, byte: u8, error: ParseError) -> Parsed<()> {
        if self.peek() != Some(byte) {
            return Err(error);
        }
        self.position += 1;
        Ok(())
    }

    /// Reads the comma-separated items between the bytes `open` and `close`. `read_item` must read one item.
    fn read_items(
        &mut self,
        open: u8,
        close: u8,
        mut read_item: impl FnMut(&mut Self) -> Parsed<()>,
    ) -> Parsed<()> {
        self.expect_byte(open, if open == b'{' { "expected an object" } else { "expected a list" })?;
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err("nested too deep");
        }
        if self.peek() != Some(close) {
            read_item(self)?;
            while self.peek() == Some(b',') {
                self.position += 1;
                read_item(self)?;
            }
        }
        self.depth -= 1;
        self.expect_byte(close, "expected a comma or the end of a list or object")
    }

    /// Reads an array. `read_item` must read or skip each of its values.
    pub fn read_array(&mut self, read_item: impl FnMut(&mut Self) -> Parsed<()>) -> Parsed<()> {
        self.read_items(b'[', b']', read_item)
    }

    /// Reads an object. `read_value` gets each key and must read or skip its value.
    pub fn read_object(&mut self, mut read_value: impl FnMut(&mut Self, &str) -> Parsed<()>) -> Parsed<()> {
        self.read_items(b'{', b'}', |json| {
            let key = json.read_string()?;
            json.expect_byte(b':', "expected a colon after a key")?;
            read_value(json, &key)
        })
    }

    /// Reads a string. The string is copied only if it contains escapes.
    pub fn read_string(&mut self) -> Parsed<Cow<'b, str>> {
        self.expect_byte(b'"', "expected a string")?;
        let start = self.position;
        while let Some(&byte) = self.bytes.get(self.position) {
            match byte {
                b'"' => {
                    let raw = &self.bytes[start..self.position];
                    self.position += 1;
                    let plain = std::str::from_utf8(raw).map_err(|_| "a string is not UTF-8")?;
                    return Ok(Cow::Borrowed(plain));
                }
                b'\\' => return self.read_escaped_string(start),
                0..0x20 => return Err("a control character in a string"),
                _ => self.position += 1,
            }
        }
        Err("a string does not end")
    }

    /// Reads the rest of a string that began at `start`, from its first escape on.
    fn read_escaped_string(&mut self, start: usize) -> Parsed<Cow<'b, str>> {
        let mut text = self.bytes[start..self.position].to_vec();
        loop {
            let byte = *self.bytes.get(self.position).ok_or("a string does not end")?;
            self.position += 1;
            match byte {
                b'"' => {
                    let text = String::from_utf8(text).map_err(|_| "a string is not UTF-8")?;
                    return Ok(Cow::Owned(text));
                }
                b'\\' => {
                    let character = self.read_escape()?;
                    text.extend_from_slice(character.encode_utf8(&mut [0; 4]).as_bytes());
                }
                0..0x20 => return Err("a control character in a string"),
                _ => text.push(byte),
            }
        }
    }

    /// Reads an escape sequence after its backslash.
    fn read_escape(&mut self) -> Parsed<char> {
        let byte = *self.bytes.get(self.position).ok_or("a string does not end")?;
        self.position += 1;
        Ok(match byte {
            b'"' | b'\\' | b'/' => char::from(byte),
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'n' => '\n',
            b'r' => '\r',
            b't' => '\t',
            b'u' => {
                let high = self.read_four_hex_digits()?;
                let code = if (0xd800..0xdc00).contains(&high) {
                    let low = match self.bytes.get(self.position..self.position + 2) {
                        Some(b"\\u") => {
                            self.position += 2;
                            self.read_four_hex_digits()?
                        }
                        _ => 0,
                    };
                    let half = low.wrapping_sub(0xdc00);
                    if half < 0x400 { 0x10000 + ((high - 0xd800) << 10) + half } else { 0xd800 }
                } else {
                    high
                };
                char::from_u32(code).ok_or("half a surrogate pair in a string")?
            }
            _ => return Err("an unknown escape in a string"),
        })
    }

    fn read_four_hex_digits(&mut self) -> Parsed<u32> {
        let digits = self.bytes.get(self.position..self.position + 4).ok_or("a string does not end")?;
        self.position += 4;
        digits.iter().try_fold(0, |code, &d| {
            char::from(d).to_digit(16).map(|d| code * 16 + d).ok_or("an escape without four hex digits")
        })
    }

    /// Reads a number. A number that is too large for an `f64` is an error.
    pub fn read_number(&mut self) -> Parsed<f64> {
        self.peek();
        let start = self.position;
        while let Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') = self.bytes.get(self.position) {
            self.position += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.position]).unwrap_or_default();
        let is_digit = |b: Option<&u8>| b.is_some_and(u8::is_ascii_digit);
        let (first, unsigned) = (text.as_bytes().first(), text.trim_start_matches('-'));
        if !(is_digit(first) || first == Some(&b'-')) || !is_digit(unsigned.as_bytes().first()) {
            return Err("expected a number");
        }
        let value: f64 = text.parse().map_err(|_| "expected a number")?;
        if value.is_finite() { Ok(value) } else { Err("a number is too large") }
    }

    /// Reads an integer from 0 to 2^53, the largest range in which every integer is exact as an `f64`.
    pub fn read_integer(&mut self) -> Parsed<u64> {
        let value = self.read_number()?;
        if value < 0.0 || value.fract() != 0.0 || value > 9_007_199_254_740_992.0 {
            return Err("expected a whole number");
        }
        Ok(value as u64)
    }

    /// Consumes `literal` if the next bytes are equal to it; returns whether they are.
    fn consume_literal(&mut self, literal: &str) -> bool {
        let found = self.bytes[self.position..].starts_with(literal.as_bytes());
        self.position += if found { literal.len() } else { 0 };
        found
    }

    /// Reads `true` or `false`.
    pub fn read_bool(&mut self) -> Parsed<bool> {
        self.peek();
        if self.consume_literal("true") {
            return Ok(true);
        }
        if self.consume_literal("false") { Ok(false) } else { Err("expected true or false") }
    }

    /// Skips a value of any type.
    pub fn skip_value(&mut self) -> Parsed<()> {
        match self.peek() {
            Some(b'{') => self.read_object(|json, _| json.skip_value()),
            Some(b'[') => self.read_array(Self::skip_value),
            Some(b'"') => self.read_string().map(drop),
            Some(b't' | b'f') => self.read_bool().map(drop),
            Some(b'n') if self.consume_literal("null") => Ok(()),
            _ => self.read_number().map(drop),
        }
    }

    /// Reads a value with `read`. If `read` fails, the value is skipped and the inner result has the error.
    /// The outer result is an error only if the value is not valid JSON.
    pub fn read_or_skip<T>(&mut self, read: impl FnOnce(&mut Self) -> Parsed<T>) -> Parsed<Parsed<T>> {
        let (position, depth) = (self.position, self.depth);
        let result = read(self);
        if result.is_err() {
            (self.position, self.depth) = (position, depth);
            self.skip_value()?;
        }
        Ok(result)
    }

    /// Fails if anything but whitespace follows the last value that was read.
    pub fn expect_end(&mut self) -> Parsed<()> {
        if self.peek().is_none() { Ok(()) } else { Err("something follows the end") }
    }
}
