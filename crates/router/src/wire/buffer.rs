//! The read buffer: bytes that have come and are not yet used.

/// Grows by need up to `most`; used bytes make room at the front.
pub struct Buffer {
    bytes: Vec<u8>,
    from: usize,
    to: usize,
    most: usize,
}

const FIRST: usize = 4096;

impl Buffer {
    pub fn new(most: usize) -> Self {
        Buffer { bytes: Vec::new(), from: 0, to: 0, most }
    }

    pub fn data(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    pub fn data_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[self.from..self.to]
    }

    pub fn is_empty(&self) -> bool {
        self.from == self.to
    }

    /// Where the next bytes may be read to; empty when `most` bytes wait to be used.
    pub fn space(&mut self) -> &mut [u8] {
        if self.from > 0 && (self.is_empty() || self.to == self.bytes.len()) {
            self.bytes.copy_within(self.from..self.to, 0);
            (self.from, self.to) = (0, self.to - self.from);
        }
        if self.to == self.bytes.len() && self.to < self.most {
            self.bytes.resize((self.to * 2).clamp(FIRST.min(self.most), self.most), 0);
        }
        &mut self.bytes[self.to..]
    }

    /// `count` bytes of `space` have been written.
    pub fn filled(&mut self, count: usize) {
        self.to = (self.to + count).min(self.bytes.len());
    }

    /// Copies in what fits of `bytes` and says how many that were.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let space = self.space();
        let count = space.len().min(bytes.len());
        space[..count].copy_from_slice(&bytes[..count]);
        self.filled(count);
        count
    }

    /// The first `count` bytes are done with. An emptied buffer that had grown gives its memory back.
    pub fn used(&mut self, count: usize) {
        self.from = (self.from + count).min(self.to);
        if self.is_empty() {
            (self.from, self.to) = (0, 0);
            if self.bytes.len() > FIRST {
                self.bytes = Vec::new();
            }
        }
    }

    /// Takes out the bytes of `range`, closing the gap.
    pub fn cut(&mut self, range: std::ops::Range<usize>) {
        let (start, end) = (self.from + range.start, (self.from + range.end).min(self.to));
        if start < end {
            self.bytes.copy_within(end..self.to, start);
            self.to -= end - start;
        }
    }
}
