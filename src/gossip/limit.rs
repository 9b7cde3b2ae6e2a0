//! Limit of a target in a summary.

use crate::unit::{Rate, Span};

/// What the response of a target said of its limit, and which part of it the recipient may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Hash of the target's name and start time.
    pub target: u64,
    /// Requests that the target takes of all routers together; `None` if it names no limit any more.
    pub limit: Option<Rate>,
    /// Time since the request was sent.
    pub sent_age: Span,
    /// Time since the head of the response was received.
    pub age: Span,
    /// Part of the limit that the recipient may use; zero unless it follows the sender.
    pub quota: Rate,
    /// Number of routers that the recipient may divide that part among.
    pub slots: u16,
}
