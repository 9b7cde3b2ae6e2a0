//! What a response said of its target's limit.

use crate::unit::{Rate, Time};

/// What a response said of its target's limit. The target wrote it at some time between these two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Reading {
    /// Requests that the target takes of all routers together; `None` if it named no limit.
    pub(super) limit: Option<Rate>,
    /// Time at which the request was sent.
    pub(super) sent: Time,
    /// Time at which the head of the response was received.
    pub(super) received: Time,
}

impl Reading {
    /// Reports whether it applies in place of an earlier one. Responses overtake each other: one that may be
    /// older applies only if it is stricter.
    pub(super) fn replaces(&self, earlier: &Self) -> bool {
        let is_newer = self.sent >= earlier.received;
        is_newer || (self.received > earlier.sent && self.is_as_strict_as(earlier))
    }

    fn is_as_strict_as(&self, other: &Self) -> bool {
        match (self.limit, other.limit) {
            (Some(own), Some(other)) => own <= other,
            (own, None) => own.is_some(),
            (None, Some(_)) => false,
        }
    }
}
