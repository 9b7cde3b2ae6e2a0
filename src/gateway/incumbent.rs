//! The newest configuration that was read, in the encoded form in which other routers get it.

use super::settings::Configuration;
use crate::{
    unit::Version,
    watch::{Event, Row},
};

/// The newest configuration that was read. It takes the place of older ones in the list that this
/// router serves to others, because the platform's list may have come back from an old copy.
#[derive(Debug, Default)]
pub struct Incumbent {
    version: Version,
    row: Option<Row>,
}

impl Incumbent {
    /// Replaces the older configurations in an event by this one, or takes a newer one over from
    /// it; returns the number of replaced ones.
    pub fn reconcile(
        &mut self,
        event: &mut Event<Row>,
        decode: fn(Row) -> Option<Configuration>,
    ) -> usize {
        let is_full = matches!(event, Event::Full { .. });
        let (Event::Full { entries, .. } | Event::Changed { entries, .. }) = event else {
            return 0;
        };
        let mut replaced = 0;
        for entry in entries.iter_mut() {
            let Some(Ok(table)) = decode(entry.clone()) else {
                continue;
            };
            match &self.row {
                Some(row) if table.version < self.version => {
                    *entry = row.clone();
                    replaced += 1;
                }
                _ => {
                    self.version = table.version;
                    self.row = Some(entry.clone());
                }
            }
        }
        if let Some(row) = &self.row
            && is_full
            && !entries.iter().any(|entry| entry.key == row.key)
        {
            entries.push(row.clone());
            replaced += 1;
        }
        replaced
    }
}
