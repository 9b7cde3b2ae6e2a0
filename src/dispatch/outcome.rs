//! Outcome of an attempt.

use std::fmt;

/// Outcome of an attempt, which is one request sent to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response.
    Answered,
    /// Complete response that rejects the request; it says nothing against the target.
    Rejected,
    /// Complete response that reports a failure of the target.
    Failed,
    /// The target says that it did not run the request.
    NotRun,
    /// No byte of the request was sent.
    Unsent,
    /// The connection ended before the response did; the request may have run.
    Broken,
    /// The target sent something that isn't the response; the request may have run.
    Malformed,
    /// The target did not respond in time; the request may have run.
    Silent,
    /// The caller disconnected, or the deadline passed.
    Cancelled,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Answered => "answered",
            Outcome::Rejected => "rejected",
            Outcome::Failed => "failed",
            Outcome::NotRun => "not-run",
            Outcome::Unsent => "unsent",
            Outcome::Broken => "broken",
            Outcome::Malformed => "malformed",
            Outcome::Silent => "silent",
            Outcome::Cancelled => "cancelled",
        })
    }
}
