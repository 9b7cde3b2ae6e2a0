//! Settings of a controller.

use crate::unit::Span;

/// Settings of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of owner changes per request; beyond it an owner's refusal is final.
    pub max_hops: u8,
    /// Retries that the budget allows per thousand requests.
    pub retry_permille: u32,
    /// Maximum number of retries that can accumulate for a burst.
    pub retry_burst: u32,
    /// Upper bound of the delay before the first retry; it doubles with each further one.
    pub backoff_base: Span,
    /// Upper bound of the delay before any retry.
    pub backoff_max: Span,
    /// Time after a grant within which an attempt must start, and after its start within which its
    /// first byte must be sent.
    pub start_within: Span,
    /// Interval between reports of running costs to the owners.
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
