//! Identifier of a stream.

use super::Workspace;
use sha2::{Digest, Sha256};

/// Identifies a stream by its workspace and the request that began it. A hash, since callers choose the
/// names of requests; a cryptographic one, so that no workspace can name another one's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stream(pub u64);

impl Stream {
    /// Returns the identifier of the stream that a request began; `None` if the request has no name.
    pub fn of(workspace: Option<&Workspace>, request: &str) -> Option<Self> {
        if request.is_empty() {
            return None;
        }
        let workspace = workspace.map_or("", Workspace::as_str);
        let mut digest = Sha256::new();
        // Names of workspaces contain no zero byte, so that the two parts can't run into each other.
        digest.update(workspace.as_bytes());
        digest.update([0]);
        digest.update(request.as_bytes());
        let digest = digest.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Some(Self(u64::from_be_bytes(first)))
    }
}
