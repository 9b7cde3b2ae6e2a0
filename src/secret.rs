//! Shared key of the routers of a fleet.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;
use subtle::ConstantTimeEq;

/// Size of an HMAC-SHA-256.
pub const PROOF_BYTES: usize = 32;

/// HMAC key with which routers authenticate each other.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl Key {
    /// Creates a key from a secret of any length.
    ///
    /// # Panics
    ///
    /// Never; HMAC accepts keys of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length"))
    }

    /// Returns the HMAC of the parts in this order, each prefixed with its length.
    pub fn prove(&self, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }

    /// Reports whether `proof` is a non-empty prefix of the HMAC of the parts; compares in constant time.
    pub fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        let expected = self.prove(parts);
        let length = proof.len().min(PROOF_BYTES);
        !proof.is_empty() && bool::from(expected[..length].ct_eq(proof))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}
