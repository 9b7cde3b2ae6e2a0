//! Everything that a router gets from the platform.

use super::{
    Feed, Header, Registration, Row, Run, Settings, Store, decode_configuration,
    decode_registration, decode_replica,
};
use crate::{
    gateway::{Configuration, Peer, Registry, Sources},
    id,
    unit::Span,
    watch::Fault,
};
use futures::{FutureExt, future::BoxFuture};
use std::sync::Arc;

/// Table of what operators write.
const OPERATORS_TABLE: &str = "op";
/// Row of the newest configuration.
const CONFIGURATION_KEY: &str = "config";
/// Table of the targets, which the platform calls servers.
const TARGETS_TABLE: &str = "servers";
/// Time in which a call that doesn't wait for changes has to be answered: the store takes some
/// milliseconds, and a hundred times as long on a slow day.
const CALL_TIMEOUT: Span = Span::from_millis(700);

/// This router's entry in the store.
struct Entry {
    store: Store,
    router: id::Router,
    run: Run,
}

impl Registry for Entry {
    fn register(&self) -> BoxFuture<'_, Result<(), Fault>> {
        Registration::write(&self.store, &self.router, &self.run).boxed()
    }

    fn remove(&self) -> BoxFuture<'_, Result<(), Fault>> {
        Registration::remove(&self.store, &self.router).boxed()
    }
}

impl Sources {
    /// Returns the sources of a router on the platform.
    pub fn of_platform(settings: &Settings, incarnation: id::Incarnation) -> Self {
        let store = Store::open(settings.store, CALL_TIMEOUT);
        Self {
            configuration: Arc::new(Feed::open(store.clone(), OPERATORS_TABLE, configuration)),
            targets: Arc::new(Feed::open(store.clone(), TARGETS_TABLE, decode_replica)),
            routers: Arc::new(Feed::open(store.clone(), Registration::TABLE, peer)),
            registry: Arc::new(Entry {
                store,
                router: settings.router.clone(),
                run: Run {
                    incarnation,
                    peer: settings.peer,
                },
            }),
            dialect: Arc::new(Header),
        }
    }
}

fn configuration(row: Row) -> Option<Configuration> {
    if &*row.key != CONFIGURATION_KEY {
        return None;
    }
    let Some(value) = row.value else {
        return Some(Err("the configuration was removed or can't be read".into()));
    };
    let decoded = decode_configuration(&value);
    Some(decoded.map(Arc::new).map_err(|f| f.to_string().into()))
}

fn peer(row: Row) -> Option<Peer> {
    let registration = decode_registration(row)?;
    let address = registration.run.map(|run| run.peer);
    Some((registration.router, address))
}
