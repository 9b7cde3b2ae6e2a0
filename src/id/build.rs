//! Software version of a target.

use crate::placement::hash;
use std::{
    fmt,
    hash::{Hash, Hasher},
    sync::Arc,
};

/// Maximum length of a name that is kept for logs, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Software version of a target. Builds are equal or not, but have no order. The default is the build
/// of all targets that name none.
#[derive(Clone, Default)]
pub struct Build {
    /// Hash of the name; 0 for the default. The same in all versions of the daemon.
    key: u64,
    /// Name; `None` if it is empty, too long for logs, or unknown.
    name: Option<Arc<str>>,
}

impl Build {
    /// Returns the build with a key that another router reported.
    pub fn from_key(key: u64) -> Self {
        Self { key, name: None }
    }

    /// Returns a number that is the same for equal builds.
    pub fn key(&self) -> u64 {
        self.key
    }
}

impl From<&str> for Build {
    fn from(name: &str) -> Self {
        if name.is_empty() {
            return Self::default();
        }
        let is_printable = name.len() <= MAX_NAME_BYTES && !name.contains(char::is_control);
        Self {
            key: hash(name),
            name: is_printable.then(|| name.into()),
        }
    }
}

impl PartialEq for Build {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for Build {}

impl Hash for Build {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.name {
            Some(name) => f.write_str(name),
            None if self.key == 0 => f.write_str("-"),
            None => write!(f, "#{:016x}", self.key),
        }
    }
}

impl fmt::Debug for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
