//! The state of the connection to one control server.
use crate::content::{Digest, MAX_SETTINGS_BYTES, VersionContent};
use crate::version::VersionNumber;
use std::collections::VecDeque;

/// Heartbeat requests that may be unanswered; the oldest are forgotten beyond that.
const MAX_PENDING_HEARTBEATS: usize = 64;

#[derive(Debug)]
pub(super) struct Connection {
    /// Index of the control server in the subscriber's list.
    pub(super) endpoint: usize,
    pub(super) opened_at: f64,
    pub(super) last_received: f64,
    /// A subscribe message has to be sent; true if complete settings are needed.
    pub(super) subscribe: Option<bool>,
    pub(super) next_heartbeat_at: f64,
    /// Sequence numbers of unanswered heartbeat requests, and when they were sent.
    pending_heartbeats: VecDeque<(u64, f64)>,
    /// Since when the control server has been behind or without a quorum.
    pub(super) behind_since: Option<f64>,
    /// When to return to the own zone; infinite in the own zone.
    pub(super) return_at: f64,
    pub(super) assembly: ContentAssembly,
}

impl Connection {
    pub(super) fn new(endpoint: usize, return_at: f64, now: f64) -> Self {
        Connection {
            endpoint,
            opened_at: now,
            last_received: now,
            subscribe: Some(false),
            next_heartbeat_at: now,
            pending_heartbeats: VecDeque::new(),
            behind_since: None,
            return_at,
            assembly: ContentAssembly::default(),
        }
    }

    pub(super) fn heartbeat_requested(&mut self, sequence: u64, interval_s: f64, now: f64) {
        self.pending_heartbeats.push_back((sequence, now));
        if self.pending_heartbeats.len() > MAX_PENDING_HEARTBEATS {
            self.pending_heartbeats.pop_front();
        }
        self.next_heartbeat_at = now + interval_s;
    }

    /// When the heartbeat with this number was requested, if it is unanswered. Forgets it and those before it.
    pub(super) fn heartbeat_answered(&mut self, sequence: u64) -> Option<f64> {
        let position = self.pending_heartbeats.iter().position(|(pending, _)| *pending == sequence)?;
        let (_, requested_at) = self.pending_heartbeats[position];
        self.pending_heartbeats.drain(..=position);
        Some(requested_at)
    }
}

/// The fields of a `ControlMessage::ContentPart`.
pub(super) struct Part {
    pub(super) number: VersionNumber,
    pub(super) base: VersionNumber,
    pub(super) digest: Digest,
    pub(super) total_bytes: usize,
    pub(super) offset: usize,
    pub(super) bytes: Vec<u8>,
}

/// The fields of a `ControlMessage::Heartbeat`.
pub(super) struct Heartbeat {
    pub(super) sequence: u64,
    pub(super) latest: VersionNumber,
    pub(super) digest: Digest,
    pub(super) staleness_s: f64,
    pub(super) has_quorum: bool,
}

/// What became of a part.
pub(super) enum Assembled {
    /// More parts are to come.
    Incomplete,
    Complete(VersionContent),
    /// The parts do not fit together.
    Invalid,
}

/// Puts the parts of a content together. They arrive in order; the first one begins anew.
#[derive(Debug, Default)]
pub(super) struct ContentAssembly {
    /// What is being assembled, without its text.
    head: Option<VersionContent>,
    total_bytes: usize,
    bytes: Vec<u8>,
}

impl ContentAssembly {
    pub(super) fn add(&mut self, part: Part) -> Assembled {
        let Part { number, base, digest, total_bytes, offset, bytes } = part;
        if offset == 0 {
            self.head = Some(VersionContent { number, base, digest, text: String::new() });
            self.total_bytes = total_bytes;
            self.bytes = vec![];
        }
        let is_next = self.head.as_ref().is_some_and(|head| {
            (head.number, head.base, head.digest) == (number, base, digest)
                && self.bytes.len() == offset
                && self.total_bytes == total_bytes
        });
        if !is_next || total_bytes > MAX_SETTINGS_BYTES || offset + bytes.len() > total_bytes {
            self.head = None;
            return Assembled::Invalid;
        }
        self.bytes.extend_from_slice(&bytes);
        if self.bytes.len() < total_bytes {
            return Assembled::Incomplete;
        }
        match (self.head.take(), String::from_utf8(std::mem::take(&mut self.bytes))) {
            (Some(head), Ok(text)) => Assembled::Complete(VersionContent { text, ..head }),
            _ => Assembled::Invalid,
        }
    }
}
