//! Numbers of requests by how they ended.

use super::Outcome;

/// Numbers of requests by how they ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals of requests that were not run.
    pub refused: u64,
    /// Refusals that named no time to come back.
    pub refused_without_retry_after: u64,
    /// Answers that the outcome is not known.
    pub unknown: u64,
    /// Answers that broke off visibly.
    pub broken: u64,
    /// Connections that could not be opened.
    pub unreachable: u64,
    /// Answers that seemed whole and were not, or were another request's.
    pub wrong: u64,
    /// Requests refused as wrong in themselves.
    pub rejected: u64,
    /// Requests that the end of the run cut off.
    pub unfinished: u64,
}

impl Counts {
    /// Counts a request.
    pub fn add(&mut self, outcome: &Outcome) {
        self.sent += 1;
        let count = match outcome {
            Outcome::Answered => &mut self.answered,
            Outcome::Refused(retry_after) => {
                self.refused_without_retry_after += u64::from(retry_after.is_none());
                &mut self.refused
            }
            Outcome::Unknown => &mut self.unknown,
            Outcome::Broken => &mut self.broken,
            Outcome::Unreachable => &mut self.unreachable,
            Outcome::Wrong(_) => &mut self.wrong,
            Outcome::Rejected(_) => &mut self.rejected,
            Outcome::Unfinished => &mut self.unfinished,
        };
        *count += 1;
    }

    /// Adds the numbers of `other`.
    pub fn merge(&mut self, other: &Counts) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.refused += other.refused;
        self.refused_without_retry_after += other.refused_without_retry_after;
        self.unknown += other.unknown;
        self.broken += other.broken;
        self.unreachable += other.unreachable;
        self.wrong += other.wrong;
        self.rejected += other.rejected;
        self.unfinished += other.unfinished;
    }
}
