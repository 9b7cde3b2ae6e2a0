//! Decoding of the rows by which operators evacuate failure domains.

use crate::{gateway::Evacuation, watch::Row};

/// What the keys of these rows begin with; the name of the failure domain follows.
const PREFIX: &str = "evacuate/";

/// Reports whether a key is that of an evacuation.
pub(super) fn is_key(key: &str) -> bool {
    key.starts_with(PREFIX)
}

/// Decodes the row of an evacuation; `None` for other rows. The evacuation is in force while the row is
/// there, whatever its value.
pub fn decode(row: Row) -> Option<Evacuation> {
    let name = row.key.strip_prefix(PREFIX)?;
    let domain = name.parse::<crate::id::Domain>();
    let fault = match (&domain, &row.value) {
        (Err(cause), _) => Some(cause.to_string().into()),
        (Ok(_), Some(value)) => value_fault(value),
        (Ok(_), None) => None,
    };
    Some(Evacuation {
        domain: domain.ok(),
        is_present: row.value.is_some(),
        fault,
    })
}

/// Returns what is wrong with the value of a row, which is to be a JSON object.
fn value_fault(value: &[u8]) -> Option<Box<str>> {
    match serde_json::from_slice(value) {
        Ok(serde_json::Value::Object(_)) => None,
        Ok(_) => Some("the value is not a JSON object".into()),
        Err(cause) => Some(format!("the value cannot be read: {cause}").into()),
    }
}
