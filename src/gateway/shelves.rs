//! Cached lists that this router serves to other routers.

use crate::{mirror::Shelf, unit::Span};
use std::{collections::BTreeMap, sync::Arc};

/// Name of the list of configurations.
pub(super) const CONFIGURATION: &str = "configuration";
/// Name of the list of targets.
pub(super) const TARGETS: &str = "targets";
/// Name of the list of routers.
pub(super) const ROUTERS: &str = "routers";

/// Cached lists that this router serves to other routers.
#[derive(Clone, Debug)]
pub(super) struct Shelves {
    pub(super) configuration: Arc<Shelf>,
    pub(super) targets: Arc<Shelf>,
    pub(super) routers: Arc<Shelf>,
}

impl Shelves {
    /// Creates empty caches; the list of routers has a maximum age of its own.
    pub(super) fn open(most_age: Span, routers_age: Span) -> Self {
        Self {
            configuration: Arc::new(Shelf::open(most_age)),
            targets: Arc::new(Shelf::open(most_age)),
            routers: Arc::new(Shelf::open(routers_age)),
        }
    }

    /// Returns the caches by the name of their list.
    pub(super) fn by_name(&self) -> BTreeMap<&'static str, Arc<Shelf>> {
        let configuration = (CONFIGURATION, self.configuration.clone());
        let targets = (TARGETS, self.targets.clone());
        let routers = (ROUTERS, self.routers.clone());
        BTreeMap::from([configuration, targets, routers])
    }
}
