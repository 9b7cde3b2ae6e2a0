//! Finding about a part of prompts.

use super::Evidence;
use crate::unit::Span;

/// Finding about a part of prompts under which targets crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Identifier of the part.
    pub part: u64,
    /// Time since it was found.
    pub age: Span,
    /// What was found.
    pub evidence: Evidence,
}
