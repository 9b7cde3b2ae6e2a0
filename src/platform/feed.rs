//! A table of the store as a list that can be followed.

use super::{Row, Store};
use crate::{
    unit::Span,
    watch::{Fault, Page, Source},
};
use futures::{FutureExt, future::BoxFuture};

/// A table of the store, each row decoded into an entry.
pub struct Feed<T> {
    store: Store,
    table: &'static str,
    decode: fn(Row) -> Option<T>,
}

impl<T> Feed<T> {
    /// Returns a feed of a table; rows that `decode` gives nothing for are left out.
    pub fn open(store: Store, table: &'static str, decode: fn(Row) -> Option<T>) -> Self {
        Self {
            store,
            table,
            decode,
        }
    }

    fn page(&self, (rows, version): (Vec<Row>, u64)) -> Page<T> {
        Page {
            entries: rows.into_iter().filter_map(self.decode).collect(),
            version,
        }
    }
}

impl<T: Send + 'static> Source<T> for Feed<T> {
    fn read(&self) -> BoxFuture<'_, Result<Page<T>, Fault>> {
        let read = self.store.rows(self.table);
        read.map(|rows| rows.map(|rows| self.page(rows))).boxed()
    }

    fn follow(&self, after: u64, wait: Span) -> BoxFuture<'_, Result<Page<T>, Fault>> {
        let feed = self.store.feed(self.table, after, wait);
        feed.map(|rows| rows.map(|rows| self.page(rows))).boxed()
    }
}
