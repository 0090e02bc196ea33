//! Splits a stream into whole events.
//!
//! A server may break off in the middle of an event. Only whole events are passed on, so that a
//! stream can go on at another server after the last event that the caller has.

use bytes::{Bytes, BytesMut};

const BLANK_LINE: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

/// One or more whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event, with its blank line.
    pub bytes: Bytes,
    /// The event's id, if it has one.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = find(&self.buffer, BLANK_LINE)? + BLANK_LINE.len();
        let bytes = self.buffer.split_to(end).freeze();
        Some(StreamEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Tells whether an event has begun that is not whole yet.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops what has begun.
    pub fn reset(&mut self) {
        self.buffer.clear();
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
