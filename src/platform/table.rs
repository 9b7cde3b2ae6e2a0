//! A table of the store as the source of a watched list.

use super::Store;
use crate::{
    unit::Span,
    watch::{Fault, Page, Row, Source},
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

fn page((entries, version): (Vec<Row>, u64)) -> Page<Row> {
    Page {
        entries,
        version,
        age: Span(0),
    }
}

impl Source for Table {
    fn read(&self) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        self.store
            .read_table(self.name)
            .map(|rows| rows.map(page))
            .boxed()
    }

    fn changes(&self, after: u64, wait: Span) -> BoxFuture<'_, Result<Page<Row>, Fault>> {
        let changes = self.store.changes(self.name, after, wait);
        changes.map(|rows| rows.map(page)).boxed()
    }
}
