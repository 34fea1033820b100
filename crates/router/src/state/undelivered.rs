//! Frames that were written to a connection and that may not have arrived at the data node yet: the kernel
//! holds bytes that the data node's machine has no room for, or sends lost ones again. A data node executes
//! an attempt when the last byte of its frame arrives, which may be long after the byte was written. Times
//! are seconds of the monotonic clock; positions count the bytes written to the connection.
use super::attempts::AttemptId;
use std::collections::VecDeque;

/// A cancelled attempt must not arrive later than this after its cancellation, in seconds. A client that
/// disconnects allows 0.1 s.
const CANCELLED_ARRIVAL_S: f64 = 0.05;
/// A transmitted frame is regarded as lost if it is not acknowledged for this time, in seconds. Receivers
/// delay acknowledgements by up to 0.2 s.
const ACKNOWLEDGEMENT_TIMEOUT_S: f64 = 0.3;

/// How far the bytes that were written to a connection have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Number of bytes that the kernel has transmitted.
    pub transmitted: u64,
    /// Number of bytes that the data node's machine has acknowledged.
    pub acknowledged: u64,
}

/// A frame with attempts that has been written and is not known to have arrived.
#[derive(Debug)]
struct WrittenFrame {
    attempts: Vec<AttemptId>,
    /// The position of the last byte.
    end: u64,
    written_at_s: f64,
    /// When the first of the attempts was cancelled; `None` if none is.
    cancelled_at_s: Option<f64>,
}

impl WrittenFrame {
    fn is_untransmitted(&self, delivery: Delivery) -> bool {
        self.end > delivery.transmitted
    }

    fn is_unacknowledged(&self, delivery: Delivery, now: f64) -> bool {
        !self.is_untransmitted(delivery)
            && self.end > delivery.acknowledged
            && self.written_at_s + ACKNOWLEDGEMENT_TIMEOUT_S <= now
    }
}

/// The frames of one connection that may not have arrived, in the order in which they were written.
#[derive(Debug, Default)]
pub struct UndeliveredFrames {
    frames: VecDeque<WrittenFrame>,
}

impl UndeliveredFrames {
    /// Adds a frame whose last byte, at position `end`, was written at `now`.
    pub fn frame_written(&mut self, attempts: Vec<AttemptId>, end: u64, now: f64) {
        self.frames.push_back(WrittenFrame { attempts, end, written_at_s: now, cancelled_at_s: None });
    }

    /// Records that an attempt is cancelled at `now`.
    pub fn cancelled(&mut self, id: &AttemptId, now: f64) {
        for frame in self.frames.iter_mut().filter(|frame| frame.attempts.contains(id)) {
            frame.cancelled_at_s.get_or_insert(now);
        }
    }

    /// Drops the frames that have been acknowledged. Returns whether any frame is left.
    pub fn drop_acknowledged(&mut self, delivery: Delivery) -> bool {
        while self.frames.front().is_some_and(|frame| frame.end <= delivery.acknowledged) {
            self.frames.pop_front();
        }
        !self.frames.is_empty()
    }

    /// Whether a frame with a cancelled attempt has not been acknowledged.
    pub fn has_cancelled(&self, delivery: Delivery) -> bool {
        self.frames.iter().any(|frame| frame.end > delivery.acknowledged && frame.cancelled_at_s.is_some())
    }

    /// Whether a frame with a cancelled attempt may arrive too late after the cancellation.
    pub fn has_late_cancelled(&self, delivery: Delivery, now: f64) -> bool {
        self.frames.iter().any(|frame| {
            frame.cancelled_at_s.is_some_and(|at_s| at_s + CANCELLED_ARRIVAL_S <= now)
                && (frame.is_untransmitted(delivery) || frame.is_unacknowledged(delivery, now))
        })
    }

    /// The attempts of the frames that have not been transmitted completely.
    pub fn untransmitted(&self, delivery: Delivery) -> impl Iterator<Item = &AttemptId> {
        let frames = self.frames.iter().filter(move |frame| frame.is_untransmitted(delivery));
        frames.flat_map(|frame| &frame.attempts)
    }

    /// The attempts of the frames that were transmitted and may be lost.
    pub fn unacknowledged(&self, delivery: Delivery, now: f64) -> impl Iterator<Item = &AttemptId> {
        let frames = self.frames.iter().filter(move |frame| frame.is_unacknowledged(delivery, now));
        frames.flat_map(|frame| &frame.attempts)
    }
}
