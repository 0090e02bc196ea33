//! Conversion between HTTP headers and the headers of messages between entries and agents.

use {
    bytes::Bytes,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    magnoliasail_core::gateway::message::Header,
};

/// Number of headers that an agent adds to those it receives.
const EXTRA_HEADERS: usize = 4;

/// Converts HTTP headers to headers of a message.
pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Converts headers of a message to HTTP headers. Invalid names and values are left out.
pub(super) fn decode_headers(headers: &[Header]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len() + EXTRA_HEADERS);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}
