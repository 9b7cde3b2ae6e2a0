//! A request that a target stand-in took in.

use super::{Count, labels::Labels, ledger::Ledger};
use std::sync::{Arc, atomic::Ordering};

/// A request taken in; dropping it ends its run.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) ledger: Arc<Ledger>,
    pub(super) labels: Labels,
    pub(super) started: bool,
    pub(super) finished: bool,
    pub(super) tokens: u64,
}

impl Run {
    /// Counts that the run begins to have an effect.
    pub(super) fn start(&mut self) {
        self.started = true;
        self.ledger.runs().total.started += 1;
        self.count(|count| count.started += 1);
    }

    /// Counts a token.
    pub(super) fn token(&mut self) {
        self.tokens += 1;
        self.ledger.tokens.fetch_add(1, Ordering::Relaxed);
    }

    /// Marks the run as carried out whole.
    pub(super) fn finish(&mut self) {
        self.finished = true;
    }

    fn count(&self, change: impl Fn(&mut Count)) {
        let mut runs = self.ledger.runs();
        let runs = &mut *runs;
        let maps = [
            (&mut runs.attempts, &self.labels.attempt),
            (&mut runs.requests, &self.labels.request),
            (&mut runs.keys, &self.labels.key),
            (&mut runs.contents, &self.labels.content),
        ];
        for (map, label) in maps {
            if let Some(label) = label {
                change(map.entry(label.clone()).or_default());
            }
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.started {
            return;
        }
        let (finished, tokens) = (u64::from(self.finished), self.tokens);
        self.count(|count| {
            count.finished += finished;
            count.cancelled += 1 - finished;
            count.tokens += tokens;
        });
        let total = &mut self.ledger.runs().total;
        total.finished += finished;
        total.cancelled += 1 - finished;
    }
}
