//! Positions of the fields of an entry.

use std::collections::BTreeMap;

/// A field of an entry whose position findings name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    /// Name.
    Name,
    /// Host of a route.
    Host,
    /// Path prefix of a route.
    Prefix,
    /// Timeout of a route.
    Timeout,
    /// Latency objective of a route.
    Objective,
    /// Longest pause of a route's streams.
    Pause,
    /// Number of attempts of a route.
    Attempts,
    /// Allowed regions of a route or a workspace.
    Regions,
    /// Service of a route that has a split, too.
    Service,
    /// Slots of an engine.
    Slots,
    /// Memory of an engine.
    Memory,
    /// Time for which a target is cold, if it is above 0.
    ColdTime,
    /// Rate of a cold target, if it is above 0.
    ColdRate,
    /// Maximum size of a request body.
    Body,
    /// Idle timeout.
    Idle,
}

/// Byte offsets of an entry and of those of its fields that the file has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    /// Offset of the entry.
    pub entry: usize,
    /// Offsets of its fields.
    pub fields: BTreeMap<Field, usize>,
}

impl Fields {
    /// Reports whether the file has a field.
    pub fn has(&self, field: Field) -> bool {
        self.fields.contains_key(&field)
    }

    /// Returns the offset of a field, or of the entry if the file lacks the field.
    pub fn offset(&self, field: Field) -> usize {
        self.fields.get(&field).copied().unwrap_or(self.entry)
    }
}
