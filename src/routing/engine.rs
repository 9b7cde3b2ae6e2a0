//! Capacity of a service's model engines.

/// Capacity of each model engine of a service, as configured by the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Size of an engine's KV cache in tokens, for running requests and cached prompts together.
    pub memory_tokens: u64,
}
