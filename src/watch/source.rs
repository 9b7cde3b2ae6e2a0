//! Source of a watched list.

use super::{Fault, Page, Row};
use crate::unit::Span;
use futures::future::BoxFuture;

/// Source of a watched list.
pub trait Source: Send + Sync {
    /// Reads the whole list from any endpoint that answers.
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>>;

    /// Records that the last call failed or its answer was unusable, so that the next call goes to
    /// another endpoint.
    fn report_failure(&self) {}

    /// Waits for changes after a version, at most for `wait`.
    fn changes(&self, after: u64, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>>;
}
