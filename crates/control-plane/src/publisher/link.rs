//! What the publisher knows of one connected router.
use crate::content::{Digest, MAX_PART_BYTES, PART_HEADER_BYTES, VersionContent};
use crate::messages::{ApplyOutcome, ControlMessage};
use crate::rate_limit::TokenBucket;
use crate::version::VersionNumber;
use alderway_transport::{Incarnation, Name};
use std::rc::Rc;

/// Bytes of the longest name of a router.
pub(super) const MAX_NAME_BYTES: usize = 64;

/// Identifies the connection of a router, for as long as the publisher lives.
pub type LinkId = u64;

/// Why a connection was refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LinkError {
    /// So many routers are connected already.
    #[error("{limit} routers are connected already")]
    TooManyLinks {
        /// Routers that may be connected at once.
        limit: usize,
    },
    /// A later incarnation of the router is connected: a former process must not take its place.
    #[error("incarnation {incarnation} of `{router}` is an earlier one")]
    StaleIncarnation {
        /// Name of the router.
        router: Name,
        /// The incarnation that was refused.
        incarnation: Incarnation,
    },
    /// The name is empty or too long.
    #[error("its name has not 1 to {MAX_NAME_BYTES} bytes")]
    InvalidName,
}

/// Content on its way to a router, and the offset of its next part in bytes.
#[derive(Debug)]
pub(super) struct Transfer {
    content: Rc<VersionContent>,
    offset: usize,
}

impl Transfer {
    pub(super) fn new(content: Rc<VersionContent>) -> Self {
        Transfer { content, offset: 0 }
    }
}

#[derive(Debug)]
pub(super) struct Link {
    pub(super) router: Name,
    pub(super) incarnation: Incarnation,
    /// When its last message came.
    pub(super) last_received: f64,
    pub(super) bucket: TokenBucket,
    /// A message is being written to the connection.
    pub(super) is_writing: bool,
    /// The version that the router has once everything that was sent has arrived. None before it subscribed.
    pub(super) sent: Option<(VersionNumber, Digest)>,
    /// The last patch failed there.
    pub(super) needs_snapshot: bool,
    pub(super) transfer: Option<Transfer>,
    /// Sequence number of an unanswered heartbeat request.
    pub(super) heartbeat: Option<u64>,
    pub(super) active: VersionNumber,
    /// The last version that was not applied there, and why.
    pub(super) not_applied: Option<(VersionNumber, String)>,
}

impl Link {
    pub(super) fn new(router: &str, incarnation: Incarnation, bucket: TokenBucket, now: f64) -> Self {
        Link {
            router: router.into(),
            incarnation,
            last_received: now,
            bucket,
            is_writing: false,
            sent: None,
            needs_snapshot: false,
            transfer: None,
            heartbeat: None,
            active: 0,
            not_applied: None,
        }
    }

    /// Bytes that the next part takes at most.
    pub(super) fn next_part_bytes(&self) -> usize {
        let left = self
            .transfer
            .as_ref()
            .map_or(MAX_PART_BYTES, |transfer| transfer.content.text.len() - transfer.offset);
        left.min(MAX_PART_BYTES) + PART_HEADER_BYTES
    }

    /// The next part of the transfer; the last one ends it.
    pub(super) fn take_part(&mut self) -> Option<ControlMessage> {
        let Transfer { content, offset } = self.transfer.as_mut()?;
        let part = ControlMessage::content_part(content, *offset);
        *offset += MAX_PART_BYTES;
        if *offset >= content.text.len() {
            self.sent = Some((content.number, content.digest));
            self.transfer = None;
        }
        Some(part)
    }

    pub(super) fn record_outcome(&mut self, number: VersionNumber, outcome: ApplyOutcome) {
        self.not_applied = match outcome {
            ApplyOutcome::Applied => {
                self.active = number;
                None
            }
            ApplyOutcome::PendingRestart(keys) => {
                Some((number, format!("{number} needs a restart: {}", keys.join(", "))))
            }
            ApplyOutcome::Rejected(reason) => Some((number, format!("rejected {number}: {reason}"))),
        };
    }
}
