//! Prompt part that was sent to a target, or that a target has evicted.

/// Prompt part that was sent to a target, which therefore has it cached for a while; or one that a target has evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefill {
    /// Hash of the target's name and start time.
    pub target: u64,
    /// Identifier of the part.
    pub part: u64,
    /// Tokens of the part.
    pub tokens: u32,
    /// The target has finished processing it. Unknown to earlier releases, which neither send nor read it.
    pub prefilled: bool,
    /// The target has evicted it. Earlier releases skip such an item, since it names a target that they don't know.
    pub evicted: bool,
}
