//! Account that the runs at a target stand-in write to.

use super::{Runs, Total, labels::Labels, run::Run, usage::Usage};
use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

/// Account that runs write to.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    runs: Mutex<Runs>,
    pub(super) tokens: AtomicU64,
}

impl Ledger {
    /// Returns the figures over all runs.
    pub(super) fn total(&self, usage: Usage) -> Total {
        Total {
            tokens: self.tokens.load(Ordering::Relaxed),
            at_micros: usage.at.0,
            busy_micros: usage.busy.0,
            queued_micros: usage.queued.0,
            ..self.runs().total
        }
    }

    /// Returns the whole account.
    pub(super) fn copy(&self, usage: Usage) -> Runs {
        let mut runs = self.runs().clone();
        runs.total = self.total(usage);
        runs
    }

    /// Takes a request in.
    pub(super) fn admit(self: &Arc<Self>, labels: Labels, leaving: bool) -> Run {
        let mut runs = self.runs();
        runs.total.admitted += 1;
        runs.total.admitted_leaving += u64::from(leaving);
        Run {
            ledger: Arc::clone(self),
            labels,
            started: false,
            finished: false,
            tokens: 0,
        }
    }

    pub(super) fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(|e| e.into_inner())
    }
}
