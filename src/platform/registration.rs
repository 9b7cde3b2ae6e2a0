//! Routers' own entries in the store, by which they find each other.

use super::{Row, Store};
use crate::{id, watch::Fault};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Table of the routers' entries.
pub(super) const TABLE: &str = "routers";

/// A router's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Router.
    pub router: id::Router,
    /// Run of the router; `None` if the entry was removed.
    pub run: Option<Run>,
}

/// Run of a router and its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Run.
    pub incarnation: id::Incarnation,
    /// Address for datagrams.
    pub peer: SocketAddr,
}

impl Registration {
    /// Name of the table of routers' entries.
    pub const TABLE: &str = TABLE;

    /// Writes the entry.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or refuses.
    pub async fn write(store: &Store, router: &id::Router, run: &Run) -> Result<(), Fault> {
        let value = serde_json::to_vec(run).map_err(|cause| Fault::Malformed {
            place: "the router's own entry".into(),
            cause: cause.to_string().into(),
        })?;
        store.put(TABLE, router.as_str(), &value).await
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
    Some(Registration {
        router: row.key.parse().ok()?,
        run: row
            .value
            .and_then(|value| serde_json::from_slice(&value).ok()),
    })
}
