//! Text of one configuration file.

use std::{fs, io, path::Path};

/// Text of one configuration file with the name that findings show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name of the file.
    pub name: Box<str>,
    /// Contents.
    pub text: Box<str>,
}

/// Error for a configuration file that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("configuration file {name}: {cause}")]
pub struct Unreadable {
    /// Name of the file.
    pub name: Box<str>,
    /// Error of the operating system.
    pub cause: io::Error,
}

impl Source {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not UTF-8.
    pub fn open(path: &Path) -> Result<Self, Unreadable> {
        let name: Box<str> = path.to_string_lossy().into();
        match fs::read_to_string(path) {
            Ok(text) => Ok(Self {
                name,
                text: text.into(),
            }),
            Err(cause) => Err(Unreadable { name, cause }),
        }
    }
}
