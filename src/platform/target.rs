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

/// Maximum number of slots of a target, far above what one process serves at a time.
const MAX_SLOTS: u32 = 1 << 16;
/// Maximum remaining warm-up time in milliseconds: a day.
const MAX_COLD_LEFT_MS: f64 = 86_400_000.0;
/// Maximum length of a software version in bytes; it is repeated in log lines.
const MAX_VERSION_BYTES: usize = 200;

/// Decodes a row of the list of targets. The entry has no target if the row was removed or is not
/// a valid target, as rows of other writers may be.
pub fn decode(row: Row) -> Option<Entry> {
    let decoded = row.value.map(|value| decode_target(&row.key, &value));
    let (decoded, rejected) = match decoded {
        Some(Ok(decoded)) => (Some(decoded), None),
        Some(Err(cause)) => (None, Some(cause)),
        None => (None, None),
    };
    let (target, sequence) = decoded.unzip();
    Some(Entry {
        name: row.key,
        target,
        rejected,
        sequence: sequence.unwrap_or_default(),
    })
}

fn decode_target(name: &str, value: &[u8]) -> Result<(Target, u64), Box<str>> {
    let wire: Wire = serde_json::from_slice(value).map_err(|e| cause("entry", &e))?;
    let slots = 1..=MAX_SLOTS;
    if !slots.contains(&wire.slots) {
        let range = format!("{} is not within 1 and {MAX_SLOTS}", wire.slots);
        return Err(cause("slots", &range));
    }
    if wire.cold_left_ms > MAX_COLD_LEFT_MS {
        let range = format!("{} is above {MAX_COLD_LEFT_MS}", wire.cold_left_ms);
        return Err(cause("cold-left-ms", &range));
    }
    let target = Target {
        name: name.parse().map_err(|e| cause("id", &e))?,
        started_at_ms: wire.born,
        service: wire.service.parse().map_err(|e| cause("service", &e))?,
        build: decode_build(&wire.version)?,
        address: decode_address(&wire.address)?,
        domain: wire.zone.parse().map_err(|e| cause("zone", &e))?,
        slots: wire.slots,
        draining: wire.state == State::Draining,
        warm_up: Span((wire.cold_left_ms.max(0.0) * 1e3) as u64),
    };
    Ok((target, wire.seq))
}

/// Returns why a field is not valid.
fn cause(field: &str, error: &dyn std::fmt::Display) -> Box<str> {
    format!("{field}: {error}").into()
}

/// Decodes an address that connections can be made to.
pub(super) fn decode_address(text: &str) -> Result<SocketAddr, Box<str>> {
    let address: SocketAddr = text.parse().map_err(|e| cause("address", &e))?;
    let ip = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(cause("address", &format!("no connection to {address}")));
    }
    Ok(address)
}

/// Decodes a software version. A number or a truth value is named by its JSON.
fn decode_build(version: &Value) -> Result<id::Build, Box<str>> {
    let name: Box<str> = match version {
        Value::Null => return Ok(id::Build::default()),
        Value::String(name) => name.as_str().into(),
        Value::Bool(_) | Value::Number(_) => version.to_string().into(),
        Value::Array(_) | Value::Object(_) => {
            return Err(cause("version", &"a list or a table"));
        }
    };
    if name.len() > MAX_VERSION_BYTES {
        let length = format!("{} bytes, at most {MAX_VERSION_BYTES}", name.len());
        return Err(cause("version", &length));
    }
    Ok((&*name).into())
}
