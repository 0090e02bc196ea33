//! Splitting of event streams, including those that end in the middle of an event.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    magnoliasail_core::gateway::{EventSplitter, StreamEvent},
};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn events_are_complete_for_any_split_of_the_bytes() {
    arbtest(|source| {
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        let mut rest = STREAM;
        while !rest.is_empty() {
            let length = source.int_in_range(1..=rest.len()).unwrap_or(rest.len());
            let (chunk, remaining) = rest.split_at(length);
            rest = remaining;
            splitter.push(chunk);
            while let Some(event) = splitter.next_event() {
                ids.extend(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, [1, 2, 3]);
        assert_eq!(bytes, STREAM);
        assert!(!splitter.has_partial_event());
        Ok(())
    });
}

#[test]
fn an_incomplete_event_is_never_returned() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(1));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.has_partial_event());
    splitter.reset();
    splitter.push(b"id: 2\ndata: b\n\n");
    let event = splitter.next_event().expect("a complete event");
    assert_eq!(&event.bytes[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn event_is_too_long_from_one_byte_over_the_limit_on() {
    let is_overlong = |length: usize| {
        let mut splitter = EventSplitter::default();
        splitter.push(&vec![b'x'; length]);
        assert_eq!(splitter.next_event(), None);
        splitter.has_overlong_event()
    };
    assert!(!is_overlong(EventSplitter::MAX_EVENT_BYTES - 1));
    assert!(!is_overlong(EventSplitter::MAX_EVENT_BYTES));
    assert!(is_overlong(EventSplitter::MAX_EVENT_BYTES + 1));
}

/// Pushes a stream in random parts; returns its events.
fn split_at_random(stream: &[u8], source: &mut Unstructured<'_>) -> Vec<StreamEvent> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut rest = stream;
    while !rest.is_empty() {
        let length = source.int_in_range(1..=rest.len()).unwrap_or(rest.len());
        let (part, remaining) = rest.split_at(length);
        rest = remaining;
        splitter.push(part);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    assert!(!splitter.has_partial_event());
    events
}

#[test]
fn events_with_any_line_ends_are_forwarded_byte_for_byte() {
    let streams: [(&[u8], &[&[u8]]); 5] = [
        (
            b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
            &[b"id: 1\r\ndata: a\r\n\r\n", b"id: 2\r\ndata: b\r\n\r\n"],
        ),
        (
            b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
            &[b"id: 1\rdata: a\r\r", b"id: 2\rdata: b\r\r"],
        ),
        (
            b"id: 1\r\ndata: a\n\nid: 2\rdata: b\n\r\n",
            &[b"id: 1\r\ndata: a\n\n", b"id: 2\rdata: b\n\r\n"],
        ),
        (
            b"data: a\nid: 1\r\n\rid: 2\rdata: b\r\n\n",
            &[b"data: a\nid: 1\r\n\r", b"id: 2\rdata: b\r\n\n"],
        ),
        // Empty lines between events, and an LF after an event whose end was known before.
        (
            b"\r\nid: 1\r\r\n\n\r\nid: 2\n\n\n",
            &[
                b"\r\n",
                b"id: 1\r\r",
                b"\n",
                b"\n",
                b"\r\n",
                b"id: 2\n\n",
                b"\n",
            ],
        ),
    ];
    arbtest(|source| {
        for (stream, expected) in streams {
            let events = split_at_random(stream, source);
            let bytes: Vec<&[u8]> = events.iter().map(|event| &event.bytes[..]).collect();
            assert_eq!(bytes, expected);
            let ids: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
            assert_eq!(ids, [1, 2]);
        }
        Ok(())
    });
}

#[test]
fn an_event_does_not_wait_for_the_byte_after_it() {
    let events: [&[u8]; 3] = [b"data: a\n\n", b"data: a\r\n\r\n", b"data: a\r\r"];
    for event in events {
        let mut splitter = EventSplitter::default();
        let (last, rest) = event.split_last().expect("it has bytes");
        splitter.push(rest);
        assert_eq!(splitter.next_event(), None);
        splitter.push(&[*last]);
        let found = splitter.next_event().expect("a complete event");
        assert_eq!(&found.bytes[..], event);
    }
}

#[test]
fn a_stream_that_ends_within_a_line_end_of_two_bytes_has_a_partial_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"data: a\r\n\r");
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.has_partial_event());
    splitter.reset();
    splitter.push(b"\ndata: b\n\n");
    let events: Vec<_> = std::iter::from_fn(|| splitter.next_event()).collect();
    assert_eq!(events.len(), 2);
}
