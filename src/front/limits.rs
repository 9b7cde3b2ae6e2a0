//! Limits on what a caller may send.

use crate::unit::Span;

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Size of a request body in bytes.
    pub body_bytes: usize,
    /// Size of a request head in bytes.
    pub head_bytes: usize,
    /// Time in which a request head that was begun has to arrive.
    pub head: Span,
    /// Time in which the next head and a body have to arrive, and an answer chunk to be taken.
    pub idle: Span,
    /// Time for which a router that shuts down still takes connections, so that the balancer learns of
    /// it before they are refused.
    pub notice: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            body_bytes: 4 << 20,
            head_bytes: 32 << 10,
            head: Span::from_secs(30),
            idle: Span::from_secs(30),
            notice: Span::from_secs(1),
        }
    }
}
