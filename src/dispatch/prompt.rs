//! Size and parts of a generation's prompt.

/// Part of a prompt, for example a system prompt that several requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifier, the same in all requests that share the part.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// Prompt of a generation and its expected output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts, from the beginning of the prompt.
    pub parts: Box<[Part]>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Expected number of generated tokens.
    pub expected_output: u32,
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the tokens charged to the workspace: one for each prompt token and two for each
    /// expected output token.
    pub fn cost(&self) -> u64 {
        u64::from(self.tokens) + 2 * u64::from(self.expected_output)
    }
}
