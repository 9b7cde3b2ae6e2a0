//! Configuration stored in the platform.

use crate::{
    config::{Document, Head},
    unit::Version,
};

/// Configuration stored in the platform.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Its head, `None` if there is none yet.
    pub head: Option<Head>,
    /// Its contents.
    pub document: Document,
}

impl Stored {
    /// Returns the version, 0 if there is none yet.
    pub fn version(&self) -> Version {
        let head = self.head.as_ref();
        head.map_or(Version(0), |head| head.entry.version)
    }
}
