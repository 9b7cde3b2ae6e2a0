//! SHA-256 digests.

use sha2::{Digest as _, Sha256};
use std::{fmt, str};

/// SHA-256 digest, or the sum of several as in [`super::Document::digest`]; written as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

/// Error for a text that is not a digest; it omits the text, which may be a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a SHA-256 digest must have 64 hexadecimal digits")]
pub struct InvalidDigest;

impl Digest {
    /// Returns the digest of some bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl str::FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(InvalidDigest);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Self(bytes))
    }
}

impl serde::Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
