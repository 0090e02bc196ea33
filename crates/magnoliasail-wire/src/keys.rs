//! The keys by which processes of one fleet know each other.

use {
    hmac::{Hmac, Mac},
    sha2::Sha256,
    std::fmt::{self, Debug, Formatter},
};

/// Length of a signature, in bytes.
pub(crate) const SIGNATURE_BYTES: usize = 32;

/// A current key and, during a rotation, the next one.
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
    /// Creates a set of one key.
    #[must_use]
    pub fn new(current: &str) -> Self {
        Self {
            current: current.as_bytes().to_vec(),
            next: None,
        }
    }

    /// Adds the key that is being rotated in.
    #[must_use]
    pub fn with_next(mut self, next: &str) -> Self {
        self.next = Some(next.as_bytes().to_vec());
        self
    }

    /// Signs a challenge with the current key.
    #[must_use]
    pub fn sign(&self, challenge: &[u8]) -> [u8; SIGNATURE_BYTES] {
        mac(&self.current, challenge).finalize().into_bytes().into()
    }

    /// Tells whether a signature was made with any of the keys.
    #[must_use]
    pub fn verify(&self, challenge: &[u8], signature: &[u8]) -> bool {
        self.matching(challenge, signature).is_some()
    }

    /// Returns the set in which the key that made a signature is the current one.
    pub(crate) fn matching(&self, challenge: &[u8], signature: &[u8]) -> Option<Self> {
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
