//! Settings and external dependencies of a router.

use super::{Evacuation, Protocol};
use crate::{
    catalog,
    dispatch::{self, History},
    id, roster, routing,
    unit::Span,
    watch::{Fault, Row, Source},
};
use futures::future::BoxFuture;
use std::{net::SocketAddr, sync::Arc};

/// Validated settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// This router's entry in the list of routers.
    pub entry: roster::Entry,
    /// Address of the health and metrics endpoints.
    pub health: SocketAddr,
    /// Maximum number of open file descriptors of the process.
    pub descriptors: u32,
    /// Memory that the process may use in bytes; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// Time between SIGTERM and SIGKILL.
    pub stop_bound: Span,
    /// Time within which a change of a list must take effect after the platform accepted it.
    pub change_bound: Span,
    /// Time within which an evacuated failure domain must get no new requests.
    pub evacuation_bound: Span,
    /// Settings of the dispatcher.
    pub dispatch: dispatch::Settings,
}

/// Name and entry of another router; the entry is `None` if it was removed from the list.
pub type Peer = (id::Router, Result<Option<roster::Entry>, Box<str>>);

/// A decoded configuration, or why it is invalid.
pub type Configuration = Result<Arc<routing::Table>, Box<str>>;

/// Writes and removes entries of the list of routers.
pub trait Registry: Send + Sync {
    /// Writes an entry; may be called repeatedly.
    fn write<'a>(&'a self, entry: &'a roster::Entry) -> BoxFuture<'a, Result<(), Fault>>;

    /// Removes the entry of a router.
    fn remove<'a>(&'a self, router: &'a id::Router) -> BoxFuture<'a, Result<(), Fault>>;
}

/// What routers remember for those that start after all of them were killed.
pub trait Archive: Send + Sync {
    /// Reads what all routers remembered lately.
    fn read(&self) -> BoxFuture<'_, Result<Vec<History>, Fault>>;

    /// Writes what this router remembers, in place of what it wrote before.
    fn write(&self, history: History) -> BoxFuture<'_, Result<(), Fault>>;
}

/// Decoders of list entries; each returns `None` for entries that are not meant for it.
#[derive(Clone, Copy)]
pub struct Decoder {
    /// Decodes a configuration.
    pub configuration: fn(Row) -> Option<Configuration>,
    /// Decodes the evacuation of a failure domain, which is an entry of the list of configurations.
    pub evacuation: fn(Row) -> Option<Evacuation>,
    /// Decodes an entry of the list of targets.
    pub target: fn(Row) -> Option<catalog::Entry>,
    /// Decodes an entry of the list of routers.
    pub router: fn(Row) -> Option<Peer>,
}

/// External dependencies of a router.
pub struct Sources {
    /// List of configurations; the newest one is in force.
    pub configuration: Arc<dyn Source>,
    /// List of targets.
    pub targets: Arc<dyn Source>,
    /// List of routers.
    pub routers: Arc<dyn Source>,
    /// Decoders of the lists' entries.
    pub decoder: Decoder,
    /// Access to this router's own entry in the list of routers.
    pub registry: Arc<dyn Registry>,
    /// Access to what routers remember.
    pub archive: Arc<dyn Archive>,
    /// Translation of request and response headers.
    pub protocol: Arc<dyn Protocol>,
}

impl Settings {
    /// Returns the maximum long-polling wait for changes of a list: half of the bound, so that a
    /// dead connection is noticed in time.
    pub(super) fn long_poll_wait(&self) -> Span {
        Span(self.change_bound.0 / 2)
    }

    /// Returns the delay before polling again after changes of a list, which batches changes: a tenth
    /// of the bound, since a change passes two routers at most. On a large fleet targets change all
    /// the time, so that this delay sets the rate of calls to the platform.
    pub(super) fn batch_delay(&self) -> Span {
        Span(self.change_bound.0 / 10)
    }

    /// Returns the maximum age of a cached list that is served to or accepted from other routers.
    /// It exceeds the long-polling wait by the time of a slow response, and leaves enough of the
    /// bound to read the list elsewhere.
    pub(super) fn max_list_age(&self) -> Span {
        Span(self.change_bound.0 * 2 / 3)
    }
}
