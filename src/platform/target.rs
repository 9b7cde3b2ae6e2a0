//! Decoding of the list of targets, which the platform calls servers.

use crate::{
    catalog::{Entry, Target},
    id,
    unit::Span,
    watch::Row,
};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct Wire {
    service: Box<str>,
    address: Box<str>,
    zone: Box<str>,
    /// Version of its software; usually a text.
    #[serde(default)]
    version: Value,
    slots: u32,
    state: State,
    /// Remaining warm-up time in milliseconds, during which the target is slow after its start.
    #[serde(default, rename = "cold-left-ms")]
    cold_left_ms: f64,
    /// Start time in Unix milliseconds; distinguishes two processes that had the same name.
    #[serde(default)]
    born: u64,
    /// Number of the process's writes of its row.
    #[serde(default)]
    seq: u64,
}

#[derive(Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Decodes a row of the list of targets. The entry has no target if the row was removed or is not
/// a valid target, as rows of other writers may be.
pub fn decode(row: Row) -> Option<Entry> {
    let decoded = row.value.and_then(|value| decode_target(&row.key, &value));
    let (target, sequence) = decoded.unzip();
    Some(Entry {
        name: row.key,
        target,
        sequence: sequence.unwrap_or_default(),
    })
}

fn decode_target(name: &str, value: &[u8]) -> Option<(Target, u64)> {
    let wire: Wire = serde_json::from_slice(value).ok()?;
    let name: id::Target = name.parse().ok()?;
    let service: id::Service = wire.service.parse().ok()?;
    let address: SocketAddr = wire.address.parse().ok()?;
    let domain: id::Domain = wire.zone.parse().ok()?;
    let target = Target {
        name,
        started_at_ms: wire.born,
        service,
        build: decode_build(&wire.version),
        address,
        domain,
        slots: wire.slots,
        draining: wire.state == State::Draining,
        warm_up: Span((wire.cold_left_ms.max(0.0) * 1e3) as u64),
    };
    Some((target, wire.seq))
}

/// Decodes a software version. One that is not a text is named by its JSON.
fn decode_build(version: &Value) -> id::Build {
    match version {
        Value::Null => id::Build::default(),
        Value::String(name) => name.as_str().into(),
        other => other.to_string().as_str().into(),
    }
}
