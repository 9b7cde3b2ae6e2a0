//! A workspace that sends requests.

use super::{Flow, Spread};
use crate::{id, unit::Weight};

/// A workspace that sends requests.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name.
    pub name: id::Workspace,
    /// Entitled share, as the routers' configuration says it.
    #[serde(default = "default_weight")]
    pub weight: Weight,
    /// Key of the callers; `example-<name>` if it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Box<str>>,
    /// Routers that the requests come to.
    #[serde(default)]
    pub spread: Spread,
    /// Kinds of requests.
    pub flows: Vec<Flow>,
}

impl Workspace {
    /// Returns the key of the callers.
    pub fn key(&self) -> Box<str> {
        let default = || format!("example-{}", self.name).into();
        self.key.clone().unwrap_or_else(default)
    }
}

fn default_weight() -> Weight {
    Weight::ONE
}
