//! Why a command did not do what was asked, and the exit code that says so.
use super::report::rejection;
use alderway_control_plane::version::VersionNumber;
use alderway_control_plane::version_log::ProposalError;
use alderway_control_server::admin::MAX_WAIT_S;
use alderway_control_server::admin::client::RequestError;
use std::net::SocketAddr;
use std::process::ExitCode;
use thiserror::Error;

/// The control servers or the checks refused, or the command failed.
const EXIT_FAILED: u8 = 1;
/// The command line or a file can't be used.
const EXIT_INVALID_INPUT: u8 = 2;
/// Nothing is known to have failed: no quorum, no answer in time, or not applied everywhere yet.
const EXIT_UNDECIDED: u8 = 3;

/// Why a command did not do what was asked. The message is what the operator reads.
#[derive(Debug, Error)]
pub(super) enum CommandError {
    #[error("{file}: {source}")]
    UnreadableFile { file: String, source: std::io::Error },
    #[error(transparent)]
    MalformedFile(#[from] crate::settings::MalformedSettings),
    #[error("`--wait` is 0 to {MAX_WAIT_S} seconds")]
    WaitOutOfRange,
    /// Refused by the checks; the text names file, line and key as far as they are known.
    #[error("{0}")]
    InvalidSettings(String),
    #[error("{address}: {reason}")]
    BadRequest { address: SocketAddr, reason: String },
    #[error("{0}")]
    BadProposal(String),
    #[error("the control machine answered something else than was asked")]
    UnexpectedResponse,
    #[error("there is no version yet")]
    NoVersions,
    #[error("version {number} is not kept: there are {oldest} to {newest}")]
    VersionNotFound { number: VersionNumber, oldest: VersionNumber, newest: VersionNumber },
    #[error("the settings are too long: {bytes} bytes, {limit} at most")]
    TooLong { bytes: usize, limit: usize },
    #[error("{}", rejection(.0))]
    Rejected(ProposalError),
    #[error("no control machine answers: {}", join(.0))]
    NoResponse(Vec<RequestError>),
    #[error("{name} knows of no majority")]
    NoQuorum { name: String },
    /// The proposal reached a control server that did not tell its outcome.
    #[error("not known to be in order: it may be yet; ask again with `--id {id}`")]
    OutcomeUnknown { id: String },
    /// No control server proposed anything.
    #[error("nothing was changed: {last}")]
    NothingProposed { last: String },
    #[error(
        "version {number} is in order, and not in force everywhere yet: {missing} without it: {lagging}{more}"
    )]
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
