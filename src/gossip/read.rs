//! A part of a prompt that a target was sent.

/// A part of a prompt that a target was sent, and so keeps for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// Hash of the target's name and run.
    pub target: u64,
    /// Identifier of the part.
    pub part: u64,
    /// Tokens of the part.
    pub tokens: u32,
}
