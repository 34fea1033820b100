//! What is wrong with a deployment's settings.

use thiserror::Error;

/// What was expected of the settings and not found. Its text completes a sentence that begins with "expected".
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
    /// A list does not have a number for each query class.
    #[error("a number for each vertical in setting `{0}`")]
    NotANumberPerClass(&'static str),
    /// The idempotency of a query class is unknown.
    #[error("a known effect in setting `Effect`")]
    UnknownIdempotency,
    /// A query class has a second phase, which routers on sockets do not serve.
    #[error("only queries of one step on sockets, 0 in setting `ClassFetch`")]
    SecondPhaseUnsupported,
    /// There is no query class.
    #[error("at least one vertical in setting `Services`")]
    NoQueryClass,
}
