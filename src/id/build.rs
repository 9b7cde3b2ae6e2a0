//! Software version of a target.

use crate::placement::hash;
use std::{fmt, sync::Arc};

/// Maximum length of a name that is kept as it is, in bytes; longer ones are replaced by their hash.
const MAX_NAME_BYTES: usize = 64;

/// Software version of a target. Builds are equal or not, but have no order. The default is the build
/// of all targets that name none.
#[derive(Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Build(Option<Arc<str>>);

impl Build {
    /// Returns a number that is the same for equal builds, in all versions of the daemon.
    pub fn key(&self) -> u64 {
        self.0.as_deref().map_or(0, hash)
    }
}

impl From<&str> for Build {
    fn from(name: &str) -> Self {
        if name.is_empty() {
            return Self::default();
        }
        let is_short = name.len() <= MAX_NAME_BYTES && !name.contains(char::is_control);
        let kept = if is_short {
            name.into()
        } else {
            format!("#{:016x}", hash(name)).into()
        };
        Self(Some(kept))
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_deref().unwrap_or("-"))
    }
}

impl fmt::Debug for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
