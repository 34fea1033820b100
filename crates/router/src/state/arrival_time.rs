//! When bytes came, told from the system's stamps of arrival without any wall clock.
//!
//! The system stamps bytes by its wall clock, which may step at any time. Stamps are therefore compared only with each
//! other: a stamp is never later than the moment at which its bytes are read, and most bytes are read at once, so the
//! largest difference of a stamp to the time of its reading tells what the stamps' clock shows when this side's
//! steady clock shows 0.

/// So many of the latest differences are kept: after a step back of the wall clock a request may seem older than it is
/// until as many have been read.
const KEPT: usize = 64;
/// What a stamp may be off by for reasons of rounding.
const ROUNDING: f64 = 0.001;

/// The stamps of one thread's connections.
#[derive(Debug)]
pub struct ArrivalEstimator {
    /// Stamps less the times at which their bytes were read, in turn.
    offsets: Vec<f64>,
    next: usize,
}

impl ArrivalEstimator {
    /// Begins with what the wall clock shows, which may be wrong.
    pub fn new(now: f64, unix_now: f64) -> Self {
        ArrivalEstimator { offsets: vec![unix_now - now], next: 0 }
    }

    /// When bytes came that are read now: not before `since`, when nothing of the connection was unread.
    pub fn arrival_time(&mut self, now: f64, since: f64, stamp: f64) -> f64 {
        let difference = stamp - now;
        if self.offsets.len() < KEPT {
            self.offsets.push(difference);
        } else {
            self.offsets[self.next] = difference;
        }
        self.next = (self.next + 1) % KEPT;
        let offset = self.offsets.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let at = stamp - offset;
        if at >= since - ROUNDING {
            return at.min(now);
        }
        // The stamps' clock has stepped back, or what was kept was wrong from the start.
        self.offsets = vec![difference];
        self.next = 0;
        now
    }
}
