//! Differences between two configurations of the operators.

use crate::config::{Difference, Digest};
use serde_json::Value;
use std::collections::HashMap;

/// Returns the members that differ between two configurations. Entries of arrays are compared by their name, or by
/// host and prefix, whatever their order; keys are shown as digests.
///
/// # Errors
///
/// Fails if one of the texts is not JSON.
pub fn differences(old: &str, new: &str) -> Result<Vec<Difference>, serde_json::Error> {
    let table = |text: &str| match text {
        // There is no configuration yet.
        "" => Ok(toml::Table::new()),
        text => serde_json::from_str(text).map(|value| to_table(&value)),
    };
    Ok(Difference::between_tables(&table(old)?, &table(new)?))
}

fn to_table(value: &Value) -> toml::Table {
    let members = value.as_object().into_iter().flatten();
    let members = members.filter_map(|(name, value)| {
        let value = match value {
            Value::Array(items) if name == "api-keys" => digests(items),
            value => to_toml(value)?,
        };
        Some((name.clone(), value))
    });
    members.collect()
}

/// Returns a value as TOML, in which findings and differences are shown; `None` for null.
fn to_toml(value: &Value) -> Option<toml::Value> {
    Some(match value {
        Value::Null => return None,
        Value::Bool(flag) => (*flag).into(),
        Value::Number(number) => match (number.as_i64(), number.as_f64()) {
            (Some(whole), _) => whole.into(),
            (None, number) => number.unwrap_or_default().into(),
        },
        Value::String(text) => text.clone().into(),
        Value::Object(_) => to_table(value).into(),
        Value::Array(items) => match items.iter().map(identity).collect::<Option<Vec<_>>>() {
            Some(names) if !names.is_empty() => entries(&names, items).into(),
            _ => items.iter().filter_map(to_toml).collect::<Vec<_>>().into(),
        },
    })
}

/// Returns the entries of an array by name; further ones of the same name have a number.
fn entries(names: &[String], items: &[Value]) -> toml::Table {
    let mut counts = HashMap::new();
    let entries = names.iter().zip(items).map(|(name, item)| {
        let count = counts.entry(name).or_insert(0);
        *count += 1;
        let name = match *count {
            1 => name.clone(),
            count => format!("{name} ({count})"),
        };
        (name, to_table(item).into())
    });
    entries.collect()
}

/// Returns what tells an entry of an array apart from the others; `None` for other items.
fn identity(item: &Value) -> Option<String> {
    let text = |name: &str| item.get(name).and_then(Value::as_str);
    let route = text("host").zip(text("prefix"));
    let route = route.map(|(host, prefix)| host.to_ascii_lowercase() + prefix);
    let name = || text("name").or_else(|| text("service")).map(str::to_owned);
    route.or_else(name)
}

fn digests(keys: &[Value]) -> toml::Value {
    let keys = keys.iter().filter_map(Value::as_str);
    let digests = keys.map(|key| toml::Value::String(Digest::of(key.as_bytes()).to_string()));
    toml::Value::Array(digests.collect())
}
