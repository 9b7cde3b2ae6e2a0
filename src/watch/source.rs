//! Where a list comes from.

use super::{Fault, Page, Row};
use crate::unit::Span;
use futures::future::BoxFuture;

/// Where a list comes from.
pub trait Source: Send + Sync {
    /// Reads the whole list, wherever it can be read.
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>>;

    /// Notes that the last answer was of no use, so that the next one is asked for elsewhere.
    fn doubt(&self) {}

    /// Waits for changes after a version, for `wait` at most.
    fn follow(&self, after: u64, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>>;
}
