//! Settings of claims.

use crate::unit::Span;

/// Settings of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Minimum interval between calls to the table.
    pub period: Span,
    /// Maximum number of rows per write.
    pub max_rows: usize,
    /// Maximum number of claims that are pending, held or whose end is not recorded yet.
    pub max_claims: usize,
    /// Timeout of a claim.
    pub wait: Span,
    /// Timeout of a claim that is made while calls to the table fail.
    pub wait_failing: Span,
    /// Maximum time for which the end of a claim waits to share a write with other rows.
    pub settle_delay: Span,
    /// Maximum backoff after failed calls to the table.
    pub backoff_max: Span,
    /// Age at which a row is deleted.
    pub row_lifetime: Span,
    /// Interval between scans for old rows.
    pub sweep_period: Span,
    /// Time for which an issued key can be claimed.
    pub key_lifetime: Span,
    /// Maximum number of issued keys that are remembered.
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
