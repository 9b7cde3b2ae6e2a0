//! Entries of a configuration in the order of their file.

use super::{Fields, Route, Service, Workspace};
use crate::{id, routing::Limits};
use std::collections::BTreeSet;

/// Entries of a configuration in the order of their file, with their positions; also those that a later one
/// replaces, which a [`crate::routing::Table`] no longer has.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Whether requests need a key, unless their route is public.
    pub requires_key: bool,
    /// Limits on callers' requests, with their positions; `None` if they are configured elsewhere.
    pub limits: Option<(Limits, Fields)>,
    /// Services that the configuration has targets for; `None` if targets register themselves, and routes
    /// refer to services instead.
    pub served: Option<BTreeSet<id::Service>>,
}
