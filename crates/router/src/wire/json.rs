//! A reader of JSON that walks over the bytes once and hands out slices of them.
use super::Fault;
use std::borrow::Cow;

type Read<T> = Result<T, Fault>;

/// Nesting beyond this is refused, so that no input can exhaust the stack.
const DEEPEST: usize = 32;

pub struct Json<'b> {
    bytes: &'b [u8],
    at: usize,
    depth: usize,
}

impl<'b> Json<'b> {
    pub fn new(bytes: &'b [u8]) -> Self {
        Json { bytes, at: 0, depth: 0 }
    }

    /// The next byte that is not blank, without taking it.
    fn peek(&mut self) -> Option<u8> {
        while matches!(self.bytes.get(self.at), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8, or: Fault) -> Read<()> {
        if self.peek() != Some(byte) {
            return Err(or);
        }
        self.at += 1;
        Ok(())
    }

    /// Walks over what stands between `open` and `close`, calling `each` for every item.
    fn items(&mut self, open: u8, close: u8, mut each: impl FnMut(&mut Self) -> Read<()>) -> Read<()> {
        self.take(open, if open == b'{' { "expected an object" } else { "expected a list" })?;
        self.depth += 1;
        if self.depth > DEEPEST {
            return Err("nested too deep");
        }
        if self.peek() != Some(close) {
            each(self)?;
            while self.peek() == Some(b',') {
                self.at += 1;
                each(self)?;
            }
        }
        self.depth -= 1;
        self.take(close, "expected a comma or the end of a list or object")
    }

    pub fn list(&mut self, each: impl FnMut(&mut Self) -> Read<()>) -> Read<()> {
        self.items(b'[', b']', each)
    }

    /// Calls `each` with every key of an object; it must read or skip the value.
    pub fn object(&mut self, mut each: impl FnMut(&mut Self, &str) -> Read<()>) -> Read<()> {
        self.items(b'{', b'}', |json| {
            let key = json.text()?;
            json.take(b':', "expected a colon after a key")?;
            each(json, &key)
        })
    }

    /// A string; copied only where it holds escapes.
    pub fn text(&mut self) -> Read<Cow<'b, str>> {
        self.take(b'"', "expected a string")?;
        let start = self.at;
        while let Some(&byte) = self.bytes.get(self.at) {
            match byte {
                b'"' => {
                    let raw = &self.bytes[start..self.at];
                    self.at += 1;
                    let plain = std::str::from_utf8(raw).map_err(|_| "a string is not UTF-8")?;
                    return Ok(Cow::Borrowed(plain));
                }
                b'\\' => return self.escaped(start),
                0..0x20 => return Err("a control character in a string"),
                _ => self.at += 1,
            }
        }
        Err("a string does not end")
    }

    fn escaped(&mut self, start: usize) -> Read<Cow<'b, str>> {
        let mut text = self.bytes[start..self.at].to_vec();
        loop {
            let byte = *self.bytes.get(self.at).ok_or("a string does not end")?;
            self.at += 1;
            match byte {
                b'"' => {
                    let text = String::from_utf8(text).map_err(|_| "a string is not UTF-8")?;
                    return Ok(Cow::Owned(text));
                }
                b'\\' => {
                    let letter = self.escape()?;
                    text.extend_from_slice(letter.encode_utf8(&mut [0; 4]).as_bytes());
                }
                0..0x20 => return Err("a control character in a string"),
                _ => text.push(byte),
            }
        }
    }

    fn escape(&mut self) -> Read<char> {
        let byte = *self.bytes.get(self.at).ok_or("a string does not end")?;
        self.at += 1;
        Ok(match byte {
            b'"' | b'\\' | b'/' => char::from(byte),
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'n' => '\n',
            b'r' => '\r',
            b't' => '\t',
            b'u' => {
                let high = self.four_digits()?;
                let code = if (0xd800..0xdc00).contains(&high) {
                    let low = match self.bytes.get(self.at..self.at + 2) {
                        Some(b"\\u") => {
                            self.at += 2;
                            self.four_digits()?
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

    fn four_digits(&mut self) -> Read<u32> {
        let digits = self.bytes.get(self.at..self.at + 4).ok_or("a string does not end")?;
        self.at += 4;
        digits.iter().try_fold(0, |code, &d| {
            char::from(d).to_digit(16).map(|d| code * 16 + d).ok_or("an escape without four hex digits")
        })
    }

    pub fn number(&mut self) -> Read<f64> {
        self.peek();
        let start = self.at;
        while let Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') = self.bytes.get(self.at) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).unwrap_or_default();
        let digit = |b: Option<&u8>| b.is_some_and(u8::is_ascii_digit);
        let (first, bare) = (text.as_bytes().first(), text.trim_start_matches('-'));
        if !(digit(first) || first == Some(&b'-')) || !digit(bare.as_bytes().first()) {
            return Err("expected a number");
        }
        let value: f64 = text.parse().map_err(|_| "expected a number")?;
        if value.is_finite() { Ok(value) } else { Err("a number is too large") }
    }

    /// A whole number from 0 to 2^53, beyond which numbers in JSON lose their ones.
    pub fn whole(&mut self) -> Read<u64> {
        let value = self.number()?;
        if value < 0.0 || value.fract() != 0.0 || value > 9_007_199_254_740_992.0 {
            return Err("expected a whole number");
        }
        Ok(value as u64)
    }

    fn word(&mut self, word: &str) -> bool {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += if found { word.len() } else { 0 };
        found
    }

    pub fn flag(&mut self) -> Read<bool> {
        self.peek();
        if self.word("true") {
            return Ok(true);
        }
        if self.word("false") { Ok(false) } else { Err("expected true or false") }
    }

    /// Passes over a value of any kind.
    pub fn skip(&mut self) -> Read<()> {
        match self.peek() {
            Some(b'{') => self.object(|json, _| json.skip()),
            Some(b'[') => self.list(Self::skip),
            Some(b'"') => self.text().map(drop),
            Some(b't' | b'f') => self.flag().map(drop),
            Some(b'n') if self.word("null") => Ok(()),
            _ => self.number().map(drop),
        }
    }

    /// Reads a value, or passes over it where it is not what it should be; an error only where it is no JSON.
    pub fn or_skip<T>(&mut self, read: impl FnOnce(&mut Self) -> Read<T>) -> Read<Read<T>> {
        let (at, depth) = (self.at, self.depth);
        let found = read(self);
        if found.is_err() {
            (self.at, self.depth) = (at, depth);
            self.skip()?;
        }
        Ok(found)
    }

    pub fn end(&mut self) -> Read<()> {
        if self.peek().is_none() { Ok(()) } else { Err("something follows the end") }
    }
}
