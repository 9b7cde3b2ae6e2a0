//! A table of the store as the source of a watched list.

use super::Store;
use crate::{
    unit::Span,
    watch::{Fault, Page, Position, Row, Source},
};
use futures::{FutureExt, future::BoxFuture};

/// A table of the store as the source of a watched list.
pub struct Table {
    store: Store,
    name: &'static str,
}

impl Table {
    /// Returns a table of the store without connecting.
    pub fn open(store: Store, name: &'static str) -> Self {
        Self { store, name }
    }
}

impl Source for Table {
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        self.store.read_table(self.name).boxed()
    }

    fn changes(&self, after: Position, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        self.store.changes(self.name, after.version, wait).boxed()
    }
}
