//! Settings of a router and where its lists come from.

use super::Dialect;
use crate::{
    catalog, dispatch, id, routing,
    unit::Span,
    watch::{Fault, Source},
};
use futures::future::BoxFuture;
use std::{net::SocketAddr, sync::Arc};

/// Settings of a router, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the callers' interface.
    pub listen: SocketAddr,
    /// Address for datagrams between routers.
    pub peer: SocketAddr,
    /// Address of the health and metrics pages.
    pub health: SocketAddr,
    /// Descriptors that the process may have open.
    pub descriptors: u32,
    /// Time between the order to stop and the kill.
    pub stop_bound: Span,
    /// Time in which a configuration must be in force after it was accepted.
    pub configuration_bound: Span,
    /// Settings of the dispatcher.
    pub dispatch: dispatch::Settings,
}

/// Another router's address; `None` if it was removed from the list.
pub type Peer = (id::Router, Option<SocketAddr>);

/// A configuration that was read, or why it can't be used.
pub type Configuration = Result<Arc<routing::Table>, Box<str>>;

/// Writes and removes this router's own entry in the list of routers.
pub trait Registry: Send + Sync {
    /// Writes the entry; it may be written more than once.
    fn register(&self) -> BoxFuture<'_, Result<(), Fault>>;

    /// Removes the entry.
    fn remove(&self) -> BoxFuture<'_, Result<(), Fault>>;
}

/// What a router gets from outside.
pub struct Sources {
    /// Configurations.
    pub configuration: Arc<dyn Source<Configuration>>,
    /// Targets.
    pub targets: Arc<dyn Source<catalog::Listed>>,
    /// Routers.
    pub routers: Arc<dyn Source<Peer>>,
    /// This router's entry.
    pub registry: Arc<dyn Registry>,
    /// Headers of requests and answers.
    pub dialect: Arc<dyn Dialect>,
}
