//! Errors of the `alderway config` commands, and the exit code for each error.
use super::report::rejection_message;
use alderway_control_plane::version::VersionNumber;
use alderway_control_plane::version_log::ProposalError;
use alderway_control_server::admin::MAX_WAIT_S;
use alderway_control_server::admin::client::RequestError;
use std::net::SocketAddr;
use std::process::ExitCode;
use thiserror::Error;

/// A control server or the local check of the settings rejected the request, or the command failed.
const EXIT_FAILED: u8 = 1;
/// An argument is invalid, or a file can't be read or parsed.
const EXIT_INVALID_INPUT: u8 = 2;
/// The outcome is unknown or incomplete: there is no quorum, no control server responded in time, or not all
/// routers use the version yet.
const EXIT_UNDECIDED: u8 = 3;

/// The reason why a command failed. The text is printed on standard error.
#[derive(Debug, Error)]
pub(super) enum CommandError {
    #[error("{file}: cannot read the file: {source}")]
    UnreadableFile { file: String, source: std::io::Error },
    #[error(transparent)]
    MalformedFile(#[from] crate::settings::MalformedSettings),
    #[error("`--wait` must be from 0 to {MAX_WAIT_S} seconds")]
    WaitOutOfRange,
    /// A check rejected the settings. The text contains the file name, the line number and the key as far as
    /// they are known.
    #[error("{0}")]
    InvalidSettings(String),
    #[error("the control server at {address} rejected the request: {reason}")]
    BadRequest { address: SocketAddr, reason: String },
    #[error("the control server rejected the request: {0}")]
    BadProposal(String),
    #[error("the control server sent a response that does not match the request")]
    UnexpectedResponse,
    #[error("no settings version has been committed yet")]
    NoVersions,
    #[error("settings version {number} is not stored; versions {oldest} to {newest} are stored")]
    VersionNotFound { number: VersionNumber, oldest: VersionNumber, newest: VersionNumber },
    #[error("the settings are too large: {bytes} bytes, at most {limit} are allowed")]
    TooLong { bytes: usize, limit: usize },
    #[error("{}", rejection_message(.0))]
    Rejected(ProposalError),
    #[error("no control server responded: {}", join(.0))]
    NoResponse(Vec<RequestError>),
    #[error("control server {name} has no quorum")]
    NoQuorum { name: String },
    /// A control server may have added the proposal to its log, but it is unknown whether the proposal is
    /// committed.
    #[error(
        "the outcome is unknown, and the proposal may still become a version; repeat the command with `--id {id}`"
    )]
    OutcomeUnknown { id: String },
    /// No control server added the proposal to its log.
    #[error("nothing was changed: {last}")]
    NothingProposed { last: String },
    #[error("version {number} is committed, but {missing} routers do not use it yet: {lagging}{more}")]
    NotAppliedEverywhere { number: VersionNumber, missing: u64, lagging: String, more: String },
}

impl CommandError {
    pub(super) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::UnreadableFile { .. }
            | CommandError::MalformedFile(_)
            | CommandError::WaitOutOfRange => EXIT_INVALID_INPUT,
            CommandError::InvalidSettings(_)
            | CommandError::BadRequest { .. }
            | CommandError::BadProposal(_)
            | CommandError::UnexpectedResponse
            | CommandError::NoVersions
            | CommandError::VersionNotFound { .. }
            | CommandError::TooLong { .. }
            | CommandError::Rejected(_) => EXIT_FAILED,
            CommandError::NoResponse(_)
            | CommandError::NoQuorum { .. }
            | CommandError::OutcomeUnknown { .. }
            | CommandError::NothingProposed { .. }
            | CommandError::NotAppliedEverywhere { .. } => EXIT_UNDECIDED,
        })
    }
}

fn join(errors: &[RequestError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
