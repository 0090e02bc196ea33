//! Splits a stream of server-sent events into complete events.
//!
//! A stream may end in the middle of an event. Only complete events are forwarded, so that another
//! server can resume the stream after the last event that the caller has received.
//!
//! Lines end with LF, CRLF or CR, and an event ends with an empty line. The same bytes are split in the
//! same places however they arrive.

use bytes::{Bytes, BytesMut};

const LF: u8 = b'\n';
const CR: u8 = b'\r';
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    searched_bytes: usize,
    /// The place in its line that the search has reached.
    place: LinePlace,
}

/// A complete event of a stream, or an empty line between two events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// The value of the event's `id` field, if it is a number.
    pub id: Option<u64>,
}

/// The place in its line that the search for the end of an event has reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinePlace {
    /// At the start of a line.
    #[default]
    Start,
    /// At the start of a line, after a CR that is a line end by itself.
    StartAfterCr,
    /// After a byte of the line.
    Within,
    /// After the CR that ends a line; an LF may follow.
    AfterCr,
    /// After the CR that ends an empty line; an LF may follow.
    AfterCrOfEmptyLine,
}

/// Where an event ends, as seen from a byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventEnd {
    None,
    Before,
    After,
}

impl LinePlace {
    /// Moves past a byte; returns whether an event ends there.
    ///
    /// A CR that follows a line end of a CR alone is one as well, so that streams with such line ends do
    /// not wait for the byte after an event.
    const fn advance(self, byte: u8) -> (Self, EventEnd) {
        match (self, byte) {
            (Self::AfterCrOfEmptyLine, LF) | (Self::Start | Self::StartAfterCr, LF) => {
                (Self::Start, EventEnd::After)
            }
            (Self::AfterCrOfEmptyLine, _) => (Self::StartAfterCr, EventEnd::Before),
            (Self::AfterCr | Self::StartAfterCr, CR) => (Self::StartAfterCr, EventEnd::After),
            (Self::Start, CR) => (Self::AfterCrOfEmptyLine, EventEnd::None),
            (Self::Within, CR) => (Self::AfterCr, EventEnd::None),
            (Self::Within | Self::AfterCr, LF) => (Self::Start, EventEnd::None),
            _ => (Self::Within, EventEnd::None),
        }
    }
}

impl EventSplitter {
    /// Largest event, in bytes. Without it, bytes without the end of an event would be kept without limit.
    pub const MAX_EVENT_BYTES: usize = 256 << 10;

    /// Appends received bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched_bytes = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(StreamEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the incomplete event is longer than an event may be.
    #[must_use]
    pub fn has_overlong_event(&self) -> bool {
        self.buffer.len() > Self::MAX_EVENT_BYTES
    }

    /// Discards the bytes of an incomplete event.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Searches the bytes that have not been searched yet for the end of an event.
    fn find_end(&mut self) -> Option<usize> {
        for (index, &byte) in self.buffer.iter().enumerate().skip(self.searched_bytes) {
            let (place, end) = self.place.advance(byte);
            self.place = place;
            match end {
                EventEnd::None => {}
                EventEnd::Before => return Some(index),
                EventEnd::After => return Some(index + 1),
            }
        }
        self.searched_bytes = self.buffer.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&byte| byte == LF || byte == CR)
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
