//! Settings of claims.

use crate::unit::Span;

/// Settings of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Shortest time between two calls to the table.
    pub period: Span,
    /// Rows in one write, at most.
    pub max_rows: usize,
    /// Claims that are pending, held or not yet recorded as ended, at most.
    pub max_claims: usize,
    /// Longest wait for the answer to a claim.
    pub wait: Span,
    /// Longest wait while the table does not answer.
    pub wait_failing: Span,
    /// Longest time for which the end of a claim waits for other writes to share the call.
    pub settle_delay: Span,
    /// Longest delay before a failed call is repeated.
    pub backoff_max: Span,
    /// Age at which a row is removed.
    pub row_lifetime: Span,
    /// Time between two looks for old rows.
    pub sweep_period: Span,
    /// Time for which an issued key may be claimed.
    pub key_lifetime: Span,
    /// Issued keys that are remembered, at most.
    pub max_keys: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Span::from_millis(20),
            max_rows: 100,
            max_claims: 10_000,
            wait: Span::from_millis(1_000),
            wait_failing: Span::from_millis(200),
            settle_delay: Span::from_millis(100),
            backoff_max: Span::from_secs(1),
            row_lifetime: Span::from_secs(24 * 3_600),
            sweep_period: Span::from_secs(60),
            key_lifetime: Span::from_secs(600),
            max_keys: 10_000,
        }
    }
}
