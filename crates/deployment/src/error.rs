//! Errors of reading a deployment's settings.

use serde_json::Value;
use thiserror::Error;

/// Why settings cannot be used. The text of the error is what was expected and what was found instead;
/// callers put "expected" and the name of the settings before it.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings in JSON, found text that cannot be parsed ({0})")]
    InvalidJson(#[from] serde_json::Error),
    /// A key is absent.
    #[error("setting `{0}`, which is absent")]
    Missing(&'static str),
    /// A value is not a number.
    #[error("a number in setting `{0}`")]
    NotANumber(&'static str),
    /// A value is not a whole number, or is negative or too large.
    #[error("a whole number in setting `{0}`, found `{1}`")]
    NotAWholeNumber(&'static str, f64),
    /// A value is 0 or less.
    #[error("more than 0 in setting `{0}`, found `{1}`")]
    NotPositive(&'static str, f64),
    /// A value is neither true nor false.
    #[error("true or false in setting `{0}`, found `{1}`")]
    NotABoolean(&'static str, Value),
    /// A value is not a string.
    #[error("a string in setting `{0}`, found `{1}`")]
    NotText(&'static str, Value),
    /// A value is not a list.
    #[error("a list in setting `{0}`, found `{1}`")]
    NotAList(&'static str, Value),
    /// A list does not contain a number for the query class with this index.
    #[error("a number for each query class in setting `{0}`, found none for the class with index {1}")]
    NotANumberPerClass(&'static str, usize),
    /// The setting `Effect` of a query class has another value than the three kinds of idempotency.
    #[error("`idempotent`, `deduplicated` or `at_most_once` in setting `Effect`, found `{0}`")]
    UnknownIdempotency(String),
    /// A query class has a second phase of shard requests, which only the simulator supports. Contains the
    /// number of shard requests of that phase.
    #[error(
        "0 in setting `ClassFetch`, found `{0}`: only the simulator supports a second phase of shard requests"
    )]
    SecondPhaseUnsupported(f64),
    /// There is no query class.
    #[error("at least one query class in setting `Services`, found an empty list")]
    NoQueryClass,
}
