//! Routers' own entries in the store, by which they find each other.

use super::Store;
use crate::{
    id, roster,
    watch::{Fault, Row},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Table of the routers' entries.
pub(super) const TABLE: &str = "routers";

/// A router's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Router.
    pub router: id::Router,
    /// The router as it registered itself; `None` if the entry was removed.
    pub entry: Option<roster::Entry>,
}

/// Content of an entry.
#[derive(Serialize, Deserialize)]
struct Wire {
    domain: id::Domain,
    peer: SocketAddr,
    millicores: u32,
}

impl Registration {
    /// Name of the table of routers' entries.
    pub const TABLE: &str = TABLE;

    /// Writes the entry.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or refuses.
    pub async fn write(store: &Store, entry: &roster::Entry) -> Result<(), Fault> {
        let wire = Wire {
            domain: entry.domain.clone(),
            peer: entry.peer,
            millicores: entry.millicores,
        };
        let value = serde_json::to_vec(&wire).map_err(|cause| Fault::Malformed {
            endpoint: "the router's own entry".into(),
            cause: cause.to_string().into(),
        })?;
        store.put(TABLE, entry.router.as_str(), &value).await
    }

    /// Removes the entry.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or refuses.
    pub async fn remove(store: &Store, router: &id::Router) -> Result<(), Fault> {
        store.remove(TABLE, router.as_str()).await
    }
}

/// Decodes a router's entry; others' entries are left out.
pub fn decode(row: Row) -> Option<Registration> {
    let router: id::Router = row.key.parse().ok()?;
    let wire: Option<Wire> = row
        .value
        .and_then(|value| serde_json::from_slice(&value).ok());
    let entry = wire.map(|wire| roster::Entry {
        router: router.clone(),
        domain: wire.domain,
        peer: wire.peer,
        millicores: wire.millicores,
    });
    Some(Registration { router, entry })
}
