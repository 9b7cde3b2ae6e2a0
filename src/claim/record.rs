//! Value of a claim row in the table.

use crate::id;

/// State of the request that holds a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The router that holds the claim may run it, now or later.
    Running,
    /// It completed.
    Finished,
    /// It may have run.
    Unknown,
    /// It did not run; another claim can take over the row.
    Released,
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Router that holds the claim.
    pub router: id::Router,
    /// Identifier of the claim under which the row was written.
    pub attempt: Box<str>,
    /// State of the request.
    pub state: State,
    /// Time of the claim in milliseconds since the Unix epoch.
    pub claimed_at: u64,
    /// Response of a completed request, if it was stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Box<str>>,
}
