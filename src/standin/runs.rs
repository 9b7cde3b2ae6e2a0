//! Account of the runs at a target.

use super::{Count, Total};
use std::collections::BTreeMap;

/// Account of the runs at a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Runs {
    /// Figures over all runs.
    pub total: Total,
    /// Runs by attempt.
    pub attempts: BTreeMap<Box<str>, Count>,
    /// Runs by request.
    pub requests: BTreeMap<Box<str>, Count>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<Box<str>, Count>,
    /// Runs by what the request says, whatever its headers name.
    pub contents: BTreeMap<Box<str>, Count>,
}
