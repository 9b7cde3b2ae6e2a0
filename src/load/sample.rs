//! State of all lanes at one point in time.

use crate::unit::Cost;

/// State of all lanes at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Sample {
    /// Time since the start, in milliseconds.
    pub at_ms: u64,
    /// Service so far, by lane.
    pub served: Vec<Cost>,
    /// Whether the workspace has a request that has waited for long, by lane.
    pub backlogged: Vec<bool>,
}
