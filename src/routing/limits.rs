//! Limits on callers' requests and connections.

use crate::unit::Span;

/// Limits on callers' requests and connections, from the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Time within which a request head must arrive after its first byte.
    pub head_timeout: Span,
    /// Maximum idle time of a connection, and time limit for receiving a request body.
    pub idle_timeout: Span,
    /// Throughput of all targets together in tokens per second; a prompt token counts once, a
    /// generated one twice. `None` if not configured.
    pub tokens_per_s: Option<u64>,
}

impl Default for Limits {
    /// Returns the limits in force before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
            tokens_per_s: None,
        }
    }
}
