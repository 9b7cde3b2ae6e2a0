//! Settings of a controller.

use crate::unit::Span;

/// Settings of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Attempts that one request may start, at most.
    pub max_attempts: u32,
    /// Owners that one request may be handed between, at most.
    pub max_hops: u8,
    /// Retries per thousand requests.
    pub retry_permille: u32,
    /// Retries that may be saved up for a burst.
    pub retry_burst: u32,
    /// Longest delay before the first retry; it doubles with each further one.
    pub backoff_base: Span,
    /// Longest delay before any retry.
    pub backoff_max: Span,
    /// Time within which the first byte must leave after a grant.
    pub start_within: Span,
    /// Time between two reports of running costs to an owner.
    pub progress_period: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            max_hops: 8,
            retry_permille: 100,
            retry_burst: 20,
            backoff_base: Span::from_millis(50),
            backoff_max: Span::from_secs(2),
            start_within: Span::from_secs(1),
            progress_period: Span::from_secs(1),
        }
    }
}
