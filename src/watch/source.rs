//! Where a list comes from.

use super::{Fault, Page};
use crate::unit::Span;
use futures::future::BoxFuture;

/// Where a list comes from.
pub trait Source<T>: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> BoxFuture<'_, Result<Page<T>, Fault>>;

    /// Waits for changes after a version, for `wait` at most.
    fn follow(&self, after: u64, wait: Span) -> BoxFuture<'_, Result<Page<T>, Fault>>;
}
