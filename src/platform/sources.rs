//! Sources of a router that runs on the platform.

use super::{
    Header, Registration, Settings, Store, Table, archive::Archive, decode_configuration,
    decode_evacuation, decode_registration, decode_target,
};
use crate::{
    gateway::{Configuration, Decoder, Registry, Sources},
    id, roster,
    unit::Span,
    watch::{Fault, Row},
};
use futures::{FutureExt, future::BoxFuture};
use std::sync::Arc;

/// Table that operators write to.
pub(super) const OPERATORS_TABLE: &str = "op";
/// Key of the row that holds the newest configuration.
pub(super) const CONFIGURATION_KEY: &str = "config";
/// Table of targets, which the platform calls servers.
pub(super) const TARGETS_TABLE: &str = "servers";
/// Timeout of calls to the store other than long polls. The store normally responds within
/// milliseconds, but takes a hundred times as long when it is slow.
const STORE_TIMEOUT: Span = Span::from_millis(700);

/// Registers and deregisters routers in the store.
struct Registrar {
    store: Store,
}

impl Registry for Registrar {
    fn write<'a>(&'a self, entry: &'a roster::Entry) -> BoxFuture<'a, Result<(), Fault>> {
        Registration::write(&self.store, entry).boxed()
    }

    fn remove<'a>(&'a self, router: &'a id::Router) -> BoxFuture<'a, Result<(), Fault>> {
        Registration::remove(&self.store, router).boxed()
    }
}

impl Sources {
    /// Returns the sources of a router that runs on the platform.
    pub fn of_platform(settings: &Settings) -> Self {
        let store = Store::open(settings.store, STORE_TIMEOUT);
        let table = |name| Arc::new(Table::open(store.clone(), name));
        Self {
            configuration: table(OPERATORS_TABLE),
            targets: table(TARGETS_TABLE),
            routers: table(Registration::TABLE),
            decoder: Decoder {
                configuration: decode_configuration_row,
                evacuation: decode_evacuation,
                target: decode_target,
                router: |row| {
                    let registration = decode_registration(row)?;
                    Some((registration.router, registration.entry))
                },
            },
            archive: Arc::new(Archive::open(store.clone(), settings.entry().router)),
            registry: Arc::new(Registrar { store }),
            protocol: Arc::new(Header),
        }
    }
}

fn decode_configuration_row(row: Row) -> Option<Configuration> {
    if &*row.key != CONFIGURATION_KEY {
        return None;
    }
    let Some(value) = row.value else {
        return Some(Err("the configuration was removed or cannot be read".into()));
    };
    let decoded = decode_configuration(&value);
    Some(
        decoded
            .map(Arc::new)
            .map_err(|findings| findings.to_string().into()),
    )
}
