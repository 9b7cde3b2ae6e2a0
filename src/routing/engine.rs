//! Capacity of a service's model engines.

use super::Transfer;

/// Capacity of each model engine of a service, as configured by the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Size of an engine's KV cache in tokens, for running requests and cached prompts together.
    pub memory_tokens: u64,
    /// Transfer of cached prompts between the engines; `None` if they don't support it.
    pub transfer: Option<Transfer>,
    /// Readers of cache events that an engine serves at a time; 0 if it has no such events.
    pub event_readers: u32,
}
