//! Headers on links between entries and agents.

use {
    bytes::Bytes,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
    magnoliasail_core::gateway::message::Header,
};

/// Headers that an agent sets on top of those that it is sent.
const ADDED: usize = 4;

/// Returns headers as a message carries them.
pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns the headers that a message carries; what is no header is left out.
pub(super) fn decode_headers(headers: &[Header]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len() + ADDED);
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}
