//! What is known of a generation before it runs.

/// Part of a prompt; requests share parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifier.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What is known of a generation before it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in their order.
    pub parts: Box<[Part]>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Tokens that will probably be generated.
    pub output: u32,
}

impl Prompt {
    /// Returns the tokens that the request counts against its workspace's share: each token read
    /// once and each generated one twice.
    pub fn cost(&self) -> u64 {
        u64::from(self.tokens) + 2 * u64::from(self.output)
    }
}
