//! What a subscriber asks of its driver, and what it tells the log.
use super::version_state::ConfigVersion;
use crate::version::VersionNumber;
use serde_json::Value;
use std::fmt;

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Close the connection, if there is one, and connect to this control server, by its index in the subscriber's list.
    Connect(usize),
    /// Close the connection or give up the attempt.
    Disconnect,
    /// Apply settings to the router, and report with `Subscriber::offer_completed`.
    Apply {
        /// The version.
        number: VersionNumber,
        /// Its complete settings.
        settings: Value,
    },
    /// Write the version to disk: the next start has to be with it.
    Persist(ConfigVersion),
    /// Write a line to the log.
    Log(Event),
}

/// What is worth a line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A version became active.
    Applied {
        /// The version.
        number: VersionNumber,
    },
    /// A version becomes active with the next start.
    PendingRestart {
        /// The version.
        number: VersionNumber,
        /// The version that stays active.
        active: VersionNumber,
        /// The keys that change only with a start.
        keys: Vec<String>,
    },
    /// A version is not valid for this router.
    Rejected {
        /// The version.
        number: VersionNumber,
        /// The version that stays active.
        active: VersionNumber,
        /// Why.
        reason: String,
    },
    /// The router subscribed at a control server.
    Connected {
        /// Its name.
        endpoint: String,
    },
    /// The connection ended.
    ConnectionLost {
        /// Name of the control server.
        endpoint: String,
    },
    /// The connection was given up, because no message came.
    ConnectionTimedOut {
        /// Name of the control server.
        endpoint: String,
        /// Seconds since the last message.
        silent_s: f64,
    },
    /// The control server was left, because it is behind or sees no quorum.
    ReplicaBehind {
        /// Its name.
        endpoint: String,
    },
    /// The control server was left for one of the router's own zone.
    ReturningToOwnZone {
        /// Its name.
        endpoint: String,
    },
    /// Content of a version did not result in its settings.
    DigestMismatch {
        /// Name of the control server.
        endpoint: String,
        /// The version.
        number: VersionNumber,
    },
    /// The control server has other settings under a number than the router.
    Conflict {
        /// Its name.
        endpoint: String,
        /// The version.
        number: VersionNumber,
    },
    /// No control server has confirmed the active version.
    Stale {
        /// The active version.
        number: VersionNumber,
        /// Seconds since the last confirmation.
        unconfirmed_s: f64,
        /// Upper bound of the version's age in seconds. None if it may be of any age.
        staleness_s: Option<f64>,
        /// A control server answers that is behind or sees no quorum.
        is_connected: bool,
    },
    /// The active version is confirmed again.
    FreshAgain {
        /// The active version.
        number: VersionNumber,
    },
}

impl Event {
    /// Whether an operator should look at it.
    pub fn is_warning(&self) -> bool {
        !matches!(
            self,
            Event::Applied { .. }
                | Event::Connected { .. }
                | Event::ReturningToOwnZone { .. }
                | Event::FreshAgain { .. }
        )
    }
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Event::Applied { number } => write!(out, "version {number} applied"),
            Event::PendingRestart { number, active, keys } => {
                write!(out, "version {number} needs a restart ({}); {}", keys.join(", "), Active(*active))
            }
            Event::Rejected { number, active, reason } => {
                write!(out, "version {number} rejected: {reason}; {}", Active(*active))
            }
            Event::Connected { endpoint } => write!(out, "subscribed at control server {endpoint}"),
            Event::ConnectionLost { endpoint } => {
                write!(out, "control server {endpoint}: connection lost")
            }
            Event::ConnectionTimedOut { endpoint, silent_s } => {
                write!(out, "control server {endpoint}: no message for {silent_s:.1} s, disconnected")
            }
            Event::ReplicaBehind { endpoint } => {
                write!(out, "control server {endpoint}: behind or without a quorum; trying another")
            }
            Event::ReturningToOwnZone { endpoint } => {
                write!(out, "control server {endpoint}: disconnected to return to the own zone")
            }
            Event::DigestMismatch { endpoint, number } => write!(
                out,
                "control server {endpoint}: version {number} does not match its digest; complete settings requested"
            ),
            Event::Conflict { endpoint, number } => {
                write!(out, "control server {endpoint}: other settings under version {number}; not accepted")
            }
            Event::Stale { number, unconfirmed_s, staleness_s, is_connected } => {
                let what = if *is_connected {
                    "no control server with a quorum and this version"
                } else {
                    "no message from a control server"
                };
                write!(out, "{what} for {unconfirmed_s:.0} s: ")?;
                match (number, staleness_s) {
                    (0, _) => write!(out, "{}", Active(0)),
                    (_, Some(age_s)) => write!(out, "version {number} may be {age_s:.0} s old"),
                    (_, None) => write!(out, "version {number} may be of any age"),
                }
            }
            Event::FreshAgain { number } => {
                write!(out, "version {number} is confirmed to be the newest again")
            }
        }
    }
}

/// The version that stays active, for a line of the log.
struct Active(VersionNumber);

impl fmt::Display for Active {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            0 => write!(out, "the configuration's own settings stay active"),
            number => write!(out, "version {number} stays active"),
        }
    }
}
