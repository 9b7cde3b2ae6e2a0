//! Source of a watched list.

use super::{Fault, Page, Position, Row};
use crate::unit::Span;
use futures::future::BoxFuture;

/// Source of a watched list.
pub trait Source: Send + Sync {
    /// Reads the whole list from any endpoint that answers.
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>>;

    /// Records that the last call failed or its answer was unusable, so that the next call goes to
    /// another endpoint.
    fn report_failure(&self) {}

    /// Reads the changes after a position from the platform, as of after this call: no copy of the list that may be
    /// older is read.
    fn check(&self, after: Position) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        self.changes(after, Span(0))
    }

    /// Waits for changes after a position, at most for `wait`. A page of another era than that of
    /// `after` has no meaning but that the whole list has to be read.
    fn changes(&self, after: Position, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>>;
}
