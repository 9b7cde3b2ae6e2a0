//! Entries of the list of targets; the wire calls them servers.

use crate::{
    catalog::{Entry, Target},
    id,
    unit::Span,
    watch::Row,
};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct Wire {
    service: Box<str>,
    address: Box<str>,
    zone: Box<str>,
    slots: u32,
    state: State,
    /// How much longer the target stays slow after its start.
    #[serde(default, rename = "cold-left-ms")]
    cold_left_ms: f64,
    /// Unix milliseconds of its start. Tells apart two runs under one name.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Decodes an entry. One that was removed, or that other writers left and that names no usable
/// target, has none.
pub fn decode(row: Row) -> Option<Entry> {
    let target = row.value.and_then(|value| target(&row.key, &value));
    Some(Entry {
        name: row.key,
        target,
    })
}

fn target(name: &str, value: &[u8]) -> Option<Target> {
    let wire: Wire = serde_json::from_slice(value).ok()?;
    let name: id::Target = name.parse().ok()?;
    let service: id::Service = wire.service.parse().ok()?;
    let address: SocketAddr = wire.address.parse().ok()?;
    let domain: id::Domain = wire.zone.parse().ok()?;
    Some(Target {
        name,
        started_at_ms: wire.born,
        service,
        address,
        domain,
        slots: wire.slots,
        draining: wire.state == State::Draining,
        warm_up: Span((wire.cold_left_ms.max(0.0) * 1e3) as u64),
    })
}
