//! Workspaces with their positions.

use super::Fields;
use crate::{config::Digest, id};

/// A key of a workspace with its position.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Digest of the key.
    pub digest: Digest,
    /// Offset.
    pub offset: usize,
}

/// A workspace with its position.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name.
    pub name: id::Workspace,
    /// Keys of its callers.
    pub keys: Vec<Key>,
    /// Regions whose targets may run its requests; `None` if all may.
    pub allowed_regions: Option<Box<[id::Region]>>,
    /// Positions.
    pub fields: Fields,
}
