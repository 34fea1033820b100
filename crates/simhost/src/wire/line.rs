//! Reads the fields of one line of the simulator's protocol, from left to right.

use super::MICROSECONDS_PER_SECOND;
use std::fmt;

/// A line of the input that cannot be decoded, with the field concerned and the value that was expected
/// there.
#[derive(Debug)]
pub struct MalformedLine {
    line: usize,
    message: String,
    field: &'static str,
    expected: String,
}

impl fmt::Display for MalformedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MalformedLine { line, message, field, expected } = self;
        write!(f, "line {line}: message `{message}`, field {field}: expected {expected}")
    }
}

pub(super) type Result<T> = std::result::Result<T, MalformedLine>;

/// Stands for the field in errors about the name of a message.
pub(super) const MESSAGE_NAME_FIELD: &str = "(message name)";

/// One line: the name of a message, followed by its fields.
#[derive(Clone)]
pub(super) struct Line<'a> {
    /// Number of the line in the whole input, counted from 1.
    pub number: usize,
    pub message: &'a str,
    /// Fields that have not been read yet, separated by single spaces; `None` if all have been read.
    pub unread: Option<&'a str>,
}

impl<'a> Line<'a> {
    pub fn new(number: usize, text: &'a str) -> Self {
        let (message, unread) =
            text.split_once(' ').map_or((text, None), |(message, fields)| (message, Some(fields)));
        Line { number, message, unread }
    }

    pub fn malformed<T>(&self, field: &'static str, expected: impl Into<String>) -> Result<T> {
        let (line, message) = (self.number, self.message.to_string());
        Err(MalformedLine { line, message, field, expected: expected.into() })
    }

    /// Reads the next field; returns `None` if it is `-`, which stands for an absent value.
    pub fn optional(&mut self, field: &'static str) -> Result<Option<&'a str>> {
        let Some(unread) = self.unread else {
            return self.malformed(field, "a value, but the line has no more fields");
        };
        let (value, unread) =
            unread.split_once(' ').map_or((unread, None), |(value, others)| (value, Some(others)));
        self.unread = unread;
        if value.is_empty() {
            return self.malformed(field, "a value, found an empty one");
        }
        Ok((value != "-").then_some(value))
    }

    pub fn required(&mut self, field: &'static str) -> Result<&'a str> {
        let value = self.optional(field)?;
        value.map_or_else(|| self.malformed(field, "a value, found `-`"), Ok)
    }

    /// Reads the next field and parses it. `expected` describes the value in the error.
    pub fn read_parsed<T: std::str::FromStr>(&mut self, field: &'static str, expected: &str) -> Result<T> {
        let value = self.required(field)?;
        value.parse().or_else(|_| self.malformed(field, format!("{expected}, found `{value}`")))
    }

    pub fn whole_number(&mut self, field: &'static str) -> Result<u64> {
        self.read_parsed(field, "a whole number")
    }

    pub fn finite_number(&mut self, field: &'static str) -> Result<f64> {
        let value: f64 = self.read_parsed(field, "a number")?;
        if value.is_finite() { Ok(value) } else { self.malformed(field, "a finite number") }
    }

    /// Reads a time in microseconds; returns it in seconds.
    pub fn seconds(&mut self, field: &'static str) -> Result<f64> {
        Ok(self.read_parsed::<i64>(field, "a time in microseconds")? as f64 / MICROSECONDS_PER_SECOND)
    }

    /// Reads a field that the policy does not use, and checks that it is a number or `-`.
    pub fn skip_number(&mut self, field: &'static str) -> Result<()> {
        match self.optional(field)?.map(str::parse::<f64>) {
            Some(Err(_)) => self.malformed(field, "a number or `-`"),
            _ => Ok(()),
        }
    }

    pub fn flag(&mut self, field: &'static str) -> Result<bool> {
        match self.required(field)? {
            "0" => Ok(false),
            "1" => Ok(true),
            other => self.malformed(field, format!("`0` or `1`, found `{other}`")),
        }
    }

    /// Reads the rest of the line, including spaces.
    pub fn remaining_text(&mut self, field: &'static str) -> Result<&'a str> {
        self.unread.take().map_or_else(|| self.malformed(field, "text to the end of the line"), Ok)
    }

    pub fn expect_end(&self) -> Result<()> {
        if self.unread.is_some() {
            self.malformed("(after the last one)", "the end of the line")
        } else {
            Ok(())
        }
    }
}
