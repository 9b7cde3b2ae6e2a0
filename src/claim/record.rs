//! Value of a claim's row in the table.

use crate::id;

/// State of a claimed operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The claimant may run it, now or later.
    Running,
    /// It ran to its end.
    Finished,
    /// It may have run.
    Unknown,
    /// It was not run; the next claimant may take the row over.
    Released,
}

/// Value of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Router of the claimant.
    pub router: id::Router,
    /// Attempt under which the row was claimed.
    pub attempt: Box<str>,
    /// State.
    pub state: State,
    /// Time of the claim in milliseconds since the Unix epoch.
    pub claimed_at: u64,
    /// Answer of a finished operation, if it was stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Box<str>>,
}
