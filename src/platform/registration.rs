//! Registration of routers in the platform's store, by which they discover each other.

use super::{Store, target::decode_address};
use crate::{
    id, roster,
    watch::{Fault, Row},
};
use serde::{Deserialize, Serialize};

/// Name of the table of routers.
pub(super) const TABLE: &str = "routers";

/// Decoded row of the table of routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Router.
    pub router: id::Router,
    /// The router's registration, `None` if it was removed, or why its content is invalid.
    pub entry: Result<Option<roster::Entry>, Box<str>>,
}

/// JSON value of a row.
#[derive(Serialize, Deserialize)]
struct Value {
    domain: id::Domain,
    peer: Box<str>,
    millicores: u32,
    #[serde(default)]
    answers_probes: bool,
    #[serde(default)]
    doubted: bool,
}

impl Registration {
    /// Name of the table of routers.
    pub const TABLE: &str = TABLE;

    /// Writes a router's registration to the store.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or rejects the write.
    pub async fn write(store: &Store, entry: &roster::Entry) -> Result<(), Fault> {
        let value = Value {
            domain: entry.domain.clone(),
            peer: entry.peer.to_string().into(),
            millicores: entry.millicores,
            answers_probes: entry.answers_probes,
            doubted: entry.doubted,
        };
        let value = serde_json::to_vec(&value).map_err(|cause| Fault::Malformed {
            endpoint: "the registration of this router".into(),
            cause: cause.to_string().into(),
        })?;
        store.put(TABLE, entry.router.as_str(), &value).await
    }

    /// Removes a router's registration from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or rejects the write.
    pub async fn remove(store: &Store, router: &id::Router) -> Result<(), Fault> {
        store.remove(TABLE, router.as_str()).await
    }
}

/// Maximum processor of a router in millicores, far above that of any VM.
const MAX_MILLICORES: u32 = 1_000_000;

/// Decodes a row of the table of routers; returns `None` if its key is not a router's name.
pub fn decode(row: Row) -> Option<Registration> {
    let router: id::Router = row.key.parse().ok()?;
    let decoded = row.value.map(|value| decode_entry(&router, &value));
    Some(Registration {
        entry: decoded.transpose(),
        router,
    })
}

fn decode_entry(router: &id::Router, value: &[u8]) -> Result<roster::Entry, Box<str>> {
    let value: Value = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    if value.millicores > MAX_MILLICORES {
        let millicores = value.millicores;
        return Err(format!("millicores: {millicores} is above {MAX_MILLICORES}").into());
    }
    Ok(roster::Entry {
        router: router.clone(),
        domain: value.domain,
        peer: decode_address(&value.peer)?,
        millicores: value.millicores,
        answers_probes: value.answers_probes,
        doubted: value.doubted,
    })
}
