//! Limit of one target.

use super::{quota::Quota, reading::Reading};

/// Who read the response that tells a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// This router.
    Own,
    /// A router that follows this one.
    Follower,
    /// Another router.
    Other,
}

/// Limit of one target, as far as responses told.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// The reading that applies.
    pub(super) reading: Reading,
    /// Who read it.
    pub(super) source: Source,
    /// Part of it that this router may use.
    pub(super) quota: Quota,
    /// Requests sent there since this was last logged.
    pub(super) sent: u64,
}

impl Limit {
    pub(super) fn new(reading: Reading, source: Source) -> Self {
        Self {
            reading,
            source,
            quota: Quota::default(),
            sent: 0,
        }
    }

    /// Records what a response said; returns whether the limit changed.
    pub(super) fn record(&mut self, reading: Reading, source: Source) -> bool {
        if !reading.replaces(&self.reading) {
            return false;
        }
        let is_changed = self.reading.limit != reading.limit;
        self.reading = reading;
        self.source = source;
        is_changed
    }
}
