//! Limits on what is read from another system, which may send bytes without end.

use snafu::Snafu;

/// Error when more bytes arrive than a limit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("more than {max_bytes} bytes arrived"))]
pub(super) struct TooLong {
    /// The limit, in bytes.
    pub(super) max_bytes: usize,
}

/// Counts bytes up to a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct ByteLimit {
    read_bytes: usize,
    max_bytes: usize,
}

impl ByteLimit {
    pub(super) const fn new(max_bytes: usize) -> Self {
        Self {
            read_bytes: 0,
            max_bytes,
        }
    }

    /// Returns the number of bytes counted.
    pub(super) const fn read_bytes(&self) -> usize {
        self.read_bytes
    }

    /// Counts further bytes.
    ///
    /// # Errors
    ///
    /// Returns an error, and counts nothing, if that exceeds the limit.
    pub(super) const fn add(&mut self, bytes: usize) -> Result<(), TooLong> {
        let read_bytes = self.read_bytes.saturating_add(bytes);
        if read_bytes > self.max_bytes {
            return Err(TooLong {
                max_bytes: self.max_bytes,
            });
        }
        self.read_bytes = read_bytes;
        Ok(())
    }

    /// Subtracts bytes that are not held any more.
    pub(super) const fn remove(&mut self, bytes: usize) {
        self.read_bytes = self.read_bytes.saturating_sub(bytes);
    }
}
