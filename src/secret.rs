//! The key that all routers of a fleet share.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;
use subtle::ConstantTimeEq;

/// Bytes of a proof: the size of a SHA-256 digest.
pub const PROOF_BYTES: usize = 32;

/// Key by which routers authenticate each other.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl Key {
    /// Returns the key of a secret of any length.
    ///
    /// # Panics
    ///
    /// Never; HMAC takes keys of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC takes keys of any length"))
    }

    /// Returns the proof that the holder of the key made these parts, in this order.
    pub fn prove(&self, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }

    /// Reports whether `proof` starts the proof of these parts; takes the same time for any proof.
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
