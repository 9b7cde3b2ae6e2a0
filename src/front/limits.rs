//! Limits on callers' connections and requests.

use crate::unit::Span;

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub head_timeout: Span,
    /// Maximum time until the next request head begins, for a request body to arrive, and for the
    /// caller to accept more of a response.
    pub idle_timeout: Span,
    /// Drain notice: time for which a router that is shutting down still accepts connections, so
    /// that the load balancer notices the shutdown before connections are refused.
    pub drain_notice: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            body_bytes: 4 << 20,
            head_bytes: 32 << 10,
            head_timeout: Span::from_secs(30),
            idle_timeout: Span::from_secs(30),
            drain_notice: Span::from_secs(1),
        }
    }
}
