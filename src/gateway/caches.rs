//! Cached lists that this router serves to other routers.

use crate::{mirror::Cache, unit::Span};
use std::{collections::BTreeMap, sync::Arc};

/// Name of the list of configurations.
pub(super) const CONFIGURATION: &str = "configuration";
/// Name of the list of targets.
pub(super) const TARGETS: &str = "targets";
/// Name of the list of routers.
pub(super) const ROUTERS: &str = "routers";

/// Cached lists that this router serves to other routers.
#[derive(Clone, Debug)]
pub(super) struct Caches {
    pub(super) configuration: Arc<Cache>,
    pub(super) targets: Arc<Cache>,
    pub(super) routers: Arc<Cache>,
}

impl Caches {
    /// Creates empty caches; the list of routers has a maximum age of its own.
    pub(super) fn open(max_list_age: Span, routers_max_age: Span) -> Self {
        Self {
            configuration: Arc::new(Cache::new(max_list_age)),
            targets: Arc::new(Cache::new(max_list_age)),
            routers: Arc::new(Cache::new(routers_max_age)),
        }
    }

    /// Returns the caches by the name of their list.
    pub(super) fn by_name(&self) -> BTreeMap<&'static str, Arc<Cache>> {
        let configuration = (CONFIGURATION, self.configuration.clone());
        let targets = (TARGETS, self.targets.clone());
        let routers = (ROUTERS, self.routers.clone());
        BTreeMap::from([configuration, targets, routers])
    }
}
