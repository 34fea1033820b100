//! Errors of reading a deployment's settings.

use thiserror::Error;

/// Why settings cannot be used. Its text is what was expected and completes a sentence that begins with "expected".
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings in JSON ({0})")]
    InvalidJson(#[from] serde_json::Error),
    /// A key is absent.
    #[error("a setting `{0}`")]
    Missing(&'static str),
    /// A value is not a number.
    #[error("a number in setting `{0}`")]
    NotANumber(&'static str),
    /// A value is not a whole number, or is negative or too large.
    #[error("a whole number in setting `{0}`")]
    NotAWholeNumber(&'static str),
    /// A value is 0 or less.
    #[error("more than 0 in setting `{0}`")]
    NotPositive(&'static str),
    /// A value is neither true nor false.
    #[error("true or false in setting `{0}`")]
    NotABoolean(&'static str),
    /// A value is not text.
    #[error("text in setting `{0}`")]
    NotText(&'static str),
    /// A value is not a list.
    #[error("a list in setting `{0}`")]
    NotAList(&'static str),
    /// A list does not contain a number for each query class.
    #[error("a number for each query class in setting `{0}`")]
    NotANumberPerClass(&'static str),
    /// The setting `Effect` of a query class is none of the known kinds of idempotency.
    #[error("`idempotent`, `deduplicated` or `at_most_once` in setting `Effect`")]
    UnknownIdempotency,
    /// A query class has a second phase, which routers on sockets do not support.
    #[error("0 in setting `ClassFetch`, as routers on sockets support queries with a single phase only")]
    SecondPhaseUnsupported,
    /// There is no query class.
    #[error("at least one query class in setting `Services`")]
    NoQueryClass,
}
