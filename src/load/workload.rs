//! What the load consists of.

use super::{Error, Workspace};
use std::{fs, path::Path};

/// What the load consists of.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Workspaces that send requests.
    pub workspaces: Vec<Workspace>,
}

impl Workload {
    /// Reads a workload from a TOML file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not a workload.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.into(),
            source,
        })?;
        toml::from_str(&text).map_err(|source| Error::Parse {
            path: path.into(),
            source: Box::new(source),
        })
    }
}
