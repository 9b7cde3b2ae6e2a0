//! Decoding of the changes that engines report of their caches.

use crate::{
    cache_events::{Batch, Change, Fault, Item},
    placement::hash,
};
use http::StatusCode;
use serde::{Deserialize, de::IgnoredAny};
use serde_json::Value;

/// Path of the events; the number after which they are asked for follows.
pub(super) const PATH: &str = "/api/kv-events?since=";

#[derive(Deserialize)]
struct Wire {
    /// A text or a number.
    epoch: Value,
    next: u64,
    /// Number of missing events, or whether some are missing.
    #[serde(default)]
    lost: Value,
    events: Vec<WireItem>,
}

/// Number, `+` or `-`, an empty text, identifier of the part, tokens that are cached now, and model.
type WireItem = (u64, Box<str>, IgnoredAny, Box<str>, f64, Box<str>);

/// Decodes a response.
pub(super) fn decode(status: StatusCode, body: &[u8]) -> Result<Batch, Fault> {
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(Fault::Missing),
        StatusCode::TOO_MANY_REQUESTS => return Err(Fault::Crowded),
        status => return Err(Fault::Status(status.as_u16())),
    }
    let wire: Wire = serde_json::from_slice(body).map_err(|_| Fault::Unreadable)?;
    Ok(Batch {
        epoch: hash(&wire.epoch.to_string()),
        next: wire.next,
        lost: match &wire.lost {
            Value::Null => false,
            Value::Bool(lost) => *lost,
            Value::Number(count) => count.as_f64() != Some(0.0),
            _ => true,
        },
        items: wire.events.iter().filter_map(decode_item).collect(),
    })
}

/// Decodes an event; `None` if it is of a kind that is unknown here.
fn decode_item((number, change, _, part, tokens, model): &WireItem) -> Option<Item> {
    Some(Item {
        number: *number,
        change: match &**change {
            "+" => Change::Cached,
            "-" => Change::Evicted,
            _ => return None,
        },
        part: u64::from_str_radix(part, 16).ok()?,
        tokens: *tokens as u64,
        model: hash(model) as u32,
    })
}
