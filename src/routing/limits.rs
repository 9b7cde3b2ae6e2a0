//! Limits on what callers may send.

use crate::unit::Span;

/// Limits on callers' requests and connections, from the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size of a request head in bytes.
    pub head_bytes: usize,
    /// Size of a request body in bytes.
    pub body_bytes: usize,
    /// Time in which a head that was begun has to arrive.
    pub head_timeout: Span,
    /// Time for which a connection may be idle.
    pub idle_timeout: Span,
    /// Tokens that all targets serve together in a second: each token read counts once and each
    /// generated one twice. `None` if the configuration names no figure.
    pub tokens_per_s: Option<u64>,
}

impl Default for Limits {
    /// Limits in force before a configuration is known.
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
