//! Number and tokens of some generations.

/// Number and tokens of some generations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amount {
    /// Generations.
    pub requests: u64,
    /// Tokens charged for them.
    pub tokens: u64,
}

impl Amount {
    /// Adds a generation.
    pub(super) fn add(&mut self, tokens: u64) {
        self.requests += 1;
        self.tokens += tokens;
    }
}
