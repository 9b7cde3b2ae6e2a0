//! Change of an engine's cache.

/// What happened to a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The engine has it cached.
    Cached,
    /// The engine has evicted it.
    Evicted,
}

/// Change of an engine's cache, as the engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// Number of the event; later ones have higher numbers.
    pub number: u64,
    /// What happened.
    pub change: Change,
    /// Identifier of the part.
    pub part: u64,
    /// Tokens of the part that are cached now.
    pub tokens: u64,
    /// Hash of the model that the part is cached for.
    pub model: u32,
}
