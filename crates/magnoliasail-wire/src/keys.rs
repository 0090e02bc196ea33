//! Shared keys with which the processes of one fleet authenticate each other.

use {
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::fmt::{self, Debug, Formatter},
};

/// Length of an HMAC-SHA-256 signature, in bytes.
pub(crate) const SIGNATURE_BYTES: usize = 32;

/// The current key of a fleet and, during a key rotation, the next one.
///
/// The `Debug` output leaves the keys out.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct LinkKeys {
    current: Vec<u8>,
    next: Option<Vec<u8>>,
}

impl Debug for LinkKeys {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkKeys").finish_non_exhaustive()
    }
}

impl LinkKeys {
    /// Creates a set that holds only the current key.
    #[must_use]
    pub fn new(current: &str) -> Self {
        Self {
            current: current.as_bytes().to_vec(),
            next: None,
        }
    }

    /// Adds the key that replaces the current one at the end of a rotation.
    #[must_use]
    pub fn with_next(mut self, next: &str) -> Self {
        self.next = Some(next.as_bytes().to_vec());
        self
    }

    /// Signs a challenge with the current key, by HMAC-SHA-256.
    #[must_use]
    pub fn sign(&self, challenge: &[u8]) -> [u8; SIGNATURE_BYTES] {
        mac(&self.current, challenge).finalize().into_bytes().into()
    }

    /// Returns `true` if the signature of the challenge was made with any of the keys.
    #[must_use]
    pub fn verify(&self, challenge: &[u8], signature: &[u8]) -> bool {
        self.matching_signature(challenge, signature).is_some()
    }

    /// Returns a set whose current key is the one that made the signature, or `None` if none did.
    pub(crate) fn matching_signature(&self, challenge: &[u8], signature: &[u8]) -> Option<Self> {
        [Some(&self.current), self.next.as_ref()]
            .into_iter()
            .flatten()
            .find(|key| mac(key, challenge).verify_slice(signature).is_ok())
            .map(|key| Self {
                current: key.clone(),
                next: None,
            })
    }
}

fn mac(key: &[u8], challenge: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(challenge);
    mac
}
