//! Figures of a service's model engines.

/// Figures of the model engines of a service, as its operators declare them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine keeps in memory, of running requests and cached prompts together.
    pub memory_tokens: u64,
}
