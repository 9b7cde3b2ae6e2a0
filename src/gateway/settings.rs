//! Settings of a router and where its lists come from.

use super::Dialect;
use crate::{
    catalog, dispatch, id, roster, routing,
    unit::Span,
    watch::{Fault, Row, Source},
};
use futures::future::BoxFuture;
use std::{net::SocketAddr, sync::Arc};

/// Settings of a router, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the callers' interface.
    pub listen: SocketAddr,
    /// This router as the others know it; its address is for datagrams and lists.
    pub own: roster::Entry,
    /// Address of the health and metrics pages.
    pub health: SocketAddr,
    /// Descriptors that the process may have open.
    pub descriptors: u32,
    /// Time between the order to stop and the kill.
    pub stop_bound: Span,
    /// Time in which a change of a list must be obeyed after it was accepted.
    pub change_bound: Span,
    /// Settings of the dispatcher.
    pub dispatch: dispatch::Settings,
}

/// Another router; `None` if it was removed from the list.
pub type Peer = (id::Router, Option<roster::Entry>);

/// A configuration that was read, or why it can't be used.
pub type Configuration = Result<Arc<routing::Table>, Box<str>>;

/// Writes and removes this router's own entry in the list of routers.
pub trait Registry: Send + Sync {
    /// Writes the entry; it may be written more than once.
    fn register(&self) -> BoxFuture<'_, Result<(), Fault>>;

    /// Removes the entry.
    fn remove(&self) -> BoxFuture<'_, Result<(), Fault>>;
}

/// What entries of lists mean; those of other writers give nothing.
#[derive(Clone, Copy)]
pub struct Decoder {
    /// Configuration, or why it can't be used.
    pub configuration: fn(Row) -> Option<Configuration>,
    /// Target.
    pub target: fn(Row) -> Option<catalog::Listed>,
    /// Router.
    pub router: fn(Row) -> Option<Peer>,
}

/// What a router gets from outside.
pub struct Sources {
    /// List of configurations; the newest one is in force.
    pub configuration: Arc<dyn Source>,
    /// List of targets.
    pub targets: Arc<dyn Source>,
    /// List of routers.
    pub routers: Arc<dyn Source>,
    /// What entries of the lists mean.
    pub decoder: Decoder,
    /// This router's entry.
    pub registry: Arc<dyn Registry>,
    /// Headers of requests and answers.
    pub dialect: Arc<dyn Dialect>,
}

impl Settings {
    /// Returns the longest wait of one call for changes of a list: connections that fell silent are
    /// noticed in time for the bound of a change.
    pub(super) fn list_wait(&self) -> Span {
        Span(self.change_bound.0 / 2)
    }

    /// Returns the age beyond which a copy of a list is of no use to others: above the wait by an
    /// answer that takes long, below the bound by the time to read the list elsewhere.
    pub(super) fn most_age(&self) -> Span {
        Span(self.change_bound.0 * 2 / 3)
    }
}
