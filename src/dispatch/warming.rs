//! Change of a target's warm-up.

use super::Cause;
use crate::{id, unit::Span};

/// A target that turned cold or warm, as far as this router knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Warming {
    /// Target.
    pub target: id::Target,
    /// Why it is treated as cold, and for how long at least; `None` if it is warm.
    pub cold: Option<(Cause, Span)>,
}
