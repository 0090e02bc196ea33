//! Fingerprints, which identify what may crash a server.

use xxhash_rust::xxh3::Xxh3;

/// Distinguishes parts of prompts from other pairs of fields.
const PART_DOMAIN: &[u8] = b"part";

/// Returns the fingerprint of a request's content and of its caller.
///
/// It is the same each time that a caller sends the request, whatever the id of the attempt, and whichever
/// service its route leads to at the time. `caller` is what servers learn of the caller: the name of its
/// client account, or its key where there are no accounts; empty if they learn nothing. Servers may handle
/// equal content of two callers differently. `target` is the path and query of the URL.
#[must_use]
pub fn request_fingerprint(
    caller: &[u8],
    host: &str,
    method: &str,
    target: &str,
    body: &[u8],
) -> u64 {
    hash([
        caller,
        host.as_bytes(),
        method.as_bytes(),
        target.as_bytes(),
        body,
    ])
}

/// Returns the fingerprint of a part of a prompt, which has this id.
#[must_use]
pub fn part_fingerprint(part: &str) -> u64 {
    hash([PART_DOMAIN, part.as_bytes()])
}

/// Returns the fingerprint of a service.
#[must_use]
pub fn service_fingerprint(service: &str) -> u64 {
    hash([service.as_bytes()])
}

/// Returns the fingerprint of one start of a server.
///
/// `name` is its id or address. `started_ms` is the start time that it reports; absent if it reports
/// none.
#[must_use]
pub fn server_start_fingerprint(name: &str, started_ms: Option<u64>) -> u64 {
    let started_ms = started_ms.unwrap_or(0).to_le_bytes();
    hash([name.as_bytes(), &started_ms])
}

/// Hashes the fields with their lengths, so that no two lists of fields look alike.
fn hash<const N: usize>(fields: [&[u8]; N]) -> u64 {
    let mut hasher = Xxh3::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}
