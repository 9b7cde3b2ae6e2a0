//! Use of a target's slots.

use crate::unit::{Span, Time};

/// Use of the slots from the start up to a point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Usage {
    /// Point in time.
    pub(super) at: Time,
    /// Time that slots were held, added up over the slots.
    pub(super) busy: Span,
    /// Time that requests waited for a slot, added up over the requests.
    pub(super) queued: Span,
}
