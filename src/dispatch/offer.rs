//! What a request would meet at a target.

use super::View;
use crate::{id, unit::Span};

/// What a request would meet at a target, as far as the router knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Target.
    pub target: id::Target,
    /// Load of the target that was counted on.
    pub view: View,
    /// Age of the oldest report of another router in that load.
    pub view_age: Span,
    /// Tokens of the prompt that the target has to read.
    pub unread: u64,
    /// Wait until the target begins to read the prompt.
    pub wait: Span,
    /// Time until the first event, or the answer of a plain service.
    pub first: Span,
    /// Price of choosing the target, in microseconds of engine time; the lowest one is chosen.
    pub(super) price: u64,
}
