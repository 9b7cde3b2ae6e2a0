//! Decoding of the list of targets, which the platform calls servers.

use super::number::{self, Field, MAX_LOGGED_CHARS};
use crate::{
    catalog::{Entry, Target},
    id,
    unit::Span,
    watch::Row,
};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::{borrow::Cow, net::SocketAddr};

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
    /// Remaining warm-up time in milliseconds, during which the target is cold after its start.
    #[serde(
        default,
        rename = "cold-left-ms",
        deserialize_with = "deserialize_present"
    )]
    cold_left_ms: Option<Value>,
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
/// Maximum remaining warm-up time in milliseconds, far above that of any target; a larger one is a fault.
const MAX_COLD_LEFT_MS: f64 = 600_000.0;
/// Maximum length of a software version in bytes; it is repeated in log lines.
const MAX_VERSION_BYTES: usize = 200;

/// Deserializes a field that is present, also if it is null.
pub(super) fn deserialize_present<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
    from: D,
) -> Result<Option<T>, D::Error> {
    T::deserialize(from).map(Some)
}

/// Decodes a row of the list of targets. The entry has no target if the row was removed or is not
/// a valid target, as rows of other writers may be. It has a target if only its remaining warm-up time can't be read.
pub fn decode(row: Row) -> Option<Entry> {
    let decoded = row.value.map(|value| decode_target(&row.key, &value));
    let (decoded, rejected) = match decoded {
        Some(Ok(decoded)) => (Some(decoded), None),
        Some(Err(cause)) => (None, Some(cause)),
        None => (None, None),
    };
    let unread = decoded.as_ref().and_then(|(.., unread)| unread.clone());
    let (target, sequence) = decoded
        .map(|(target, sequence, _)| (target, sequence))
        .unzip();
    Some(Entry {
        name: row.key,
        target,
        rejected: rejected.or(unread),
        sequence: sequence.unwrap_or_default(),
    })
}

/// A target, the number of its write, and why its remaining warm-up time can't be read.
type Decoded = (Target, u64, Option<Box<str>>);

/// Parses an entry; a warm-up time that no parser accepts as a number becomes a text.
fn parse(value: &[u8]) -> Result<Wire, Box<str>> {
    let error = match serde_json::from_slice(value) {
        Ok(wire) => return Ok(wire),
        Err(error) => error,
    };
    let (value, _) = number::replace(value, substitute).ok_or_else(|| cause("entry", &error))?;
    serde_json::from_slice(&value).map_err(|error| cause("entry", &error))
}

/// Returns the JSON that applies in place of a number that no parser accepts. Only an unreadable warm-up time has a safe
/// reading: an entry with another field that can't be read names no target to use.
fn substitute(field: &Field<'_>) -> Option<Cow<'static, str>> {
    let is_warm_up = (field.parent, field.name) == ("", "cold-left-ms");
    is_warm_up.then(|| field.quoted())
}

fn decode_target(name: &str, value: &[u8]) -> Result<Decoded, Box<str>> {
    let wire = parse(value)?;
    let cold_left = match &wire.cold_left_ms {
        None => Ok(Span(0)),
        Some(value) => decode_cold_left(value.as_f64()).ok_or_else(|| {
            let text: String = value.to_string().chars().take(MAX_LOGGED_CHARS).collect();
            cause(
                "cold-left-ms",
                &format!("{text} is no time up to {MAX_COLD_LEFT_MS} ms"),
            )
        }),
    };
    let slots = 1..=MAX_SLOTS;
    if !slots.contains(&wire.slots) {
        let range = format!("{} is not within 1 and {MAX_SLOTS}", wire.slots);
        return Err(cause("slots", &range));
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
        warm_up: *cold_left.as_ref().unwrap_or(&Target::UNKNOWN_WARM_UP),
    };
    Ok((target, wire.seq, cold_left.err()))
}

/// Decodes a remaining warm-up time in milliseconds; `None` if there can be no such time.
pub(super) fn decode_cold_left(millis: Option<f64>) -> Option<Span> {
    let millis = millis.filter(|millis| (0.0..=MAX_COLD_LEFT_MS).contains(millis));
    millis.map(|millis| Span((millis * 1e3) as u64))
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
