//! The read buffer of a connection, with the bytes that were received and are not yet consumed.

/// A buffer that grows on demand up to a maximum length. When its end is reached, the unconsumed bytes are
/// moved to the front.
pub struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    max_bytes: usize,
}

/// Length of the first allocation. A longer allocation is freed when the buffer becomes empty.
const INITIAL_BYTES: usize = 4096;

impl ReadBuffer {
    /// An empty buffer that holds at most `max_bytes`; nothing is allocated yet.
    pub fn new(max_bytes: usize) -> Self {
        ReadBuffer { bytes: Vec::new(), start: 0, end: 0, max_bytes }
    }

    /// The received bytes that are not yet consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// The received bytes that are not yet consumed, for decoding in place.
    pub fn data_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[self.start..self.end]
    }

    /// Whether all received bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// The free space into which the next bytes are to be read; empty if the buffer has `max_bytes`
    /// unconsumed bytes.
    pub fn unfilled(&mut self) -> &mut [u8] {
        if self.start > 0 && (self.is_empty() || self.end == self.bytes.len()) {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() && self.end < self.max_bytes {
            let new_len = (self.end * 2).clamp(INITIAL_BYTES.min(self.max_bytes), self.max_bytes);
            self.bytes.resize(new_len, 0);
        }
        &mut self.bytes[self.end..]
    }

    /// Adds the first `count` bytes of [`unfilled`](Self::unfilled) to the received bytes. The caller has
    /// written received data into them.
    pub fn add_filled(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }

    /// Appends as many of `bytes` as fit; returns the number of bytes appended.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let unfilled = self.unfilled();
        let count = unfilled.len().min(bytes.len());
        unfilled[..count].copy_from_slice(&bytes[..count]);
        self.add_filled(count);
        count
    }

    /// Drops the first `count` unconsumed bytes. An allocation longer than `INITIAL_BYTES` is freed when the
    /// buffer becomes empty.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > INITIAL_BYTES {
                self.bytes = Vec::new();
            }
        }
    }

    /// Removes the bytes of `range`, whose indices count from the first unconsumed byte, and moves the
    /// following bytes forward.
    pub fn remove(&mut self, range: std::ops::Range<usize>) {
        let (start, end) = (self.start + range.start, (self.start + range.end).min(self.end));
        if start < end {
            self.bytes.copy_within(end..self.end, start);
            self.end -= end - start;
        }
    }
}
