//! Errors of the commands, and their exit codes.
use super::report::rejection;
use alderway_control_plane::version::VersionNumber;
use alderway_control_plane::version_log::ProposalError;
use alderway_control_server::admin::MAX_WAIT_S;
use alderway_control_server::admin::client::RequestError;
use std::net::SocketAddr;
use std::process::ExitCode;
use thiserror::Error;

/// The request was rejected by a control server or by the checks, or the command failed.
const EXIT_FAILED: u8 = 1;
/// The command line or a file can't be used.
const EXIT_INVALID_INPUT: u8 = 2;
/// The outcome is unknown or incomplete: no quorum, no response in time, or not applied on all routers yet.
const EXIT_UNDECIDED: u8 = 3;

/// Why a command failed. The message is printed for the operator.
#[derive(Debug, Error)]
pub(super) enum CommandError {
    #[error("{file}: {source}")]
    UnreadableFile { file: String, source: std::io::Error },
    #[error(transparent)]
    MalformedFile(#[from] crate::settings::MalformedSettings),
    #[error("`--wait` is 0 to {MAX_WAIT_S} seconds")]
    WaitOutOfRange,
    /// Rejected by the checks. The text contains the file, line and key if they are known.
    #[error("{0}")]
    InvalidSettings(String),
    #[error("{address}: {reason}")]
    BadRequest { address: SocketAddr, reason: String },
    #[error("{0}")]
    BadProposal(String),
    #[error("the control server sent a response of another kind than requested")]
    UnexpectedResponse,
    #[error("there is no version yet")]
    NoVersions,
    #[error("version {number} is not stored: versions {oldest} to {newest} are")]
    VersionNotFound { number: VersionNumber, oldest: VersionNumber, newest: VersionNumber },
    #[error("the settings are too large: {bytes} bytes, at most {limit} are allowed")]
    TooLong { bytes: usize, limit: usize },
    #[error("{}", rejection(.0))]
    Rejected(ProposalError),
    #[error("no control server responded: {}", join(.0))]
    NoResponse(Vec<RequestError>),
    #[error("{name} has no quorum")]
    NoQuorum { name: String },
    /// A control server may have proposed the version, but its outcome is unknown.
    #[error(
        "the outcome is unknown, and the proposal may still become a version; repeat the command with `--id {id}`"
    )]
    OutcomeUnknown { id: String },
    /// No control server proposed anything.
    #[error("nothing was changed: {last}")]
    NothingProposed { last: String },
    #[error("version {number} is in order, but not yet in force on {missing} routers: {lagging}{more}")]
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
