//! Sequences of changes and their encoding in storage and between routers.

use super::Step;
use crate::unit::Version;

/// Consecutive steps; the first may be a snapshot.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Update {
    /// Steps in the order of their versions.
    pub steps: Vec<Step>,
}

/// Error for a body that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("configuration update of {bytes} bytes cannot be decoded: {cause}")]
pub struct Malformed {
    /// Length of the body.
    pub bytes: usize,
    /// Error of the decoder.
    pub cause: serde_json::Error,
}

impl Update {
    /// Returns the version that the update starts from, or 0 if it is empty.
    pub fn from(&self) -> Version {
        self.steps.first().map_or(Version(0), |step| step.from)
    }

    /// Returns the version after the update, or 0 if it is empty.
    pub fn to(&self) -> Version {
        self.steps.last().map_or(Version(0), |step| step.to)
    }

    /// Encodes the update.
    ///
    /// # Panics
    ///
    /// Never: the keys of all maps are identifiers, which are strings as JSON requires.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an update must serialize to JSON")
    }

    /// Appends the update's steps to `body`, an encoded update that is not empty.
    pub(super) fn append_to(&self, body: &mut Vec<u8>) {
        if self.steps.is_empty() {
            return;
        }
        // Both are JSON arrays: a comma and the items of the second replace the closing bracket of the first.
        body.pop();
        body.push(b',');
        body.extend_from_slice(&self.encode()[1..]);
    }

    /// Decodes an update.
    ///
    /// # Errors
    ///
    /// Fails if the body is not an update.
    pub fn decode(body: &[u8]) -> Result<Self, Malformed> {
        serde_json::from_slice(body).map_err(|cause| Malformed {
            bytes: body.len(),
            cause,
        })
    }
}
