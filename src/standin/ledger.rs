//! Account of the runs at a target stand-in.

use super::load::Use;
use hyper::HeaderMap;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

/// Header that carries the attempt.
pub(super) const ATTEMPT: &str = "marlrun-attempt";
/// Header that carries the request.
pub(super) const REQUEST: &str = "marlrun-request";
/// Header that carries the caller's idempotency key.
pub(super) const KEY: &str = "idempotency-key";

/// Runs under one identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Count {
    /// Runs that began to have an effect.
    pub started: u64,
    /// Runs that were carried out whole.
    pub finished: u64,
    /// Runs that ended early.
    pub cancelled: u64,
    /// Tokens made.
    pub tokens: u64,
}

/// Figures over all runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Total {
    /// Requests taken in, whether they ran or not.
    pub admitted: u64,
    /// Requests taken in after the target was told to leave.
    pub admitted_leaving: u64,
    /// Runs that began to have an effect.
    pub started: u64,
    /// Runs that were carried out whole.
    pub finished: u64,
    /// Runs that ended early.
    pub cancelled: u64,
    /// Tokens made, those of current runs included.
    pub tokens: u64,
    /// Time of the figures on the target's clock, in microseconds.
    pub at_micros: u64,
    /// Time that slots were held, added up over the slots, in microseconds.
    pub busy_micros: u64,
    /// Time that requests waited for a slot, added up over the requests, in microseconds.
    pub queued_micros: u64,
}

/// Account of the runs at a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Runs {
    /// Figures over all runs.
    pub total: Total,
    /// Runs by attempt.
    pub attempts: BTreeMap<Box<str>, Count>,
    /// Runs by request.
    pub requests: BTreeMap<Box<str>, Count>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<Box<str>, Count>,
    /// Runs by what the request says, whatever its headers name.
    pub contents: BTreeMap<Box<str>, Count>,
}

/// Account that runs write to.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    runs: Mutex<Runs>,
    tokens: AtomicU64,
}

impl Ledger {
    /// Returns the figures over all runs.
    pub(super) fn total(&self, usage: Use) -> Total {
        Total {
            tokens: self.tokens.load(Ordering::Relaxed),
            at_micros: usage.at.0,
            busy_micros: usage.busy.0,
            queued_micros: usage.queued.0,
            ..self.runs().total
        }
    }

    /// Returns the whole account.
    pub(super) fn copy(&self, usage: Use) -> Runs {
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

    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Identifiers under which a run is counted.
#[derive(Clone, Debug, Default)]
pub(super) struct Labels {
    pub(super) attempt: Option<Box<str>>,
    pub(super) request: Option<Box<str>>,
    pub(super) key: Option<Box<str>>,
    pub(super) content: Option<Box<str>>,
}

impl Labels {
    /// Returns the identifiers that a request's headers name, and its content's.
    pub(super) fn of(headers: &HeaderMap, content: &str) -> Self {
        let text = |name| Some(headers.get(name)?.to_str().ok()?.into());
        Self {
            attempt: text(ATTEMPT),
            request: text(REQUEST),
            key: text(KEY),
            content: Some(content.into()),
        }
    }
}

/// A request taken in; dropping it ends its run.
#[derive(Debug)]
pub(super) struct Run {
    ledger: Arc<Ledger>,
    labels: Labels,
    started: bool,
    finished: bool,
    tokens: u64,
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
