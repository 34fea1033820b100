//! Requests that change nothing. Every control server answers these requests, even if it is not
//! the leader.
use super::error::CommandError;
use super::settings_file::SettingsFile;
use alderway_control_plane::version::{Version, VersionNumber};
use alderway_control_server::admin::{AdminRequest, AdminResponse, ClusterStatus, VersionSummary, client};
use std::net::SocketAddr;
use std::time::Duration;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the request to one control server after the other until a server responds.
fn send(addresses: &[SocketAddr], request: &AdminRequest) -> Result<AdminResponse, CommandError> {
    let mut errors = vec![];
    for &address in addresses {
        match client::send(address, request, RESPONSE_TIMEOUT) {
            Ok(AdminResponse::BadRequest { reason }) => {
                return Err(CommandError::BadRequest { address, reason });
            }
            Ok(response) => return Ok(response),
            Err(error) => errors.push(error),
        }
    }
    Err(CommandError::NoResponse(errors))
}

/// Sends the settings of a file to a control server, which checks the settings. Returns an error if they are
/// invalid.
pub(super) fn check(addresses: &[SocketAddr], file: &SettingsFile) -> Result<(), CommandError> {
    match send(addresses, &AdminRequest::Check { settings: file.settings.clone() })? {
        AdminResponse::Valid => Ok(()),
        AdminResponse::Invalid { reason } => Err(file.invalid_settings_error(&reason)),
        _ => Err(CommandError::UnexpectedResponse),
    }
}

/// Requests the settings version `number` from the control servers; the latest version if `number` is `None`.
pub(super) fn version(
    addresses: &[SocketAddr],
    number: Option<VersionNumber>,
) -> Result<Version, CommandError> {
    match send(addresses, &AdminRequest::Show { number })? {
        AdminResponse::Version { version } => Ok(version),
        AdminResponse::VersionNotFound { newest: 0, .. } => Err(CommandError::NoVersions),
        AdminResponse::VersionNotFound { oldest, newest } => {
            let number = number.unwrap_or(newest);
            Err(CommandError::VersionNotFound { number, oldest, newest })
        }
        _ => Err(CommandError::UnexpectedResponse),
    }
}

/// Returns the number of the latest settings version, and summaries of the versions that `request` selects.
pub(super) fn list_versions(
    addresses: &[SocketAddr],
    request: AdminRequest,
) -> Result<(VersionNumber, Vec<VersionSummary>), CommandError> {
    match send(addresses, &request)? {
        AdminResponse::History { newest, versions } => Ok((newest, versions)),
        _ => Err(CommandError::UnexpectedResponse),
    }
}

/// Requests the state of all control servers and of the routers that are connected to them.
pub(super) fn status(addresses: &[SocketAddr]) -> Result<ClusterStatus, CommandError> {
    match send(addresses, &AdminRequest::Status)? {
        AdminResponse::Status(status) => Ok(*status),
        _ => Err(CommandError::UnexpectedResponse),
    }
}
