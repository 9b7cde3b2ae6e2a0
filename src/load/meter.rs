//! Service that the workspaces get, as their callers see it.

use super::{Lane, Sample, Series};
use crate::unit::{Cost, Span, Time};
use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Service and waiting requests of one lane.
#[derive(Debug, Default)]
pub(super) struct Meter {
    served: AtomicU64,
    next: AtomicU64,
    /// Requests of which nothing has come, by the time at which they were sent.
    waiting: Mutex<BTreeSet<(Time, u64)>>,
}

impl Meter {
    /// Counts service.
    pub(super) fn serve(&self, cost: Cost) {
        self.served.fetch_add(cost.0, Ordering::Relaxed);
    }

    /// Counts a request as waiting until the result is dropped.
    pub(super) fn wait(self: &Arc<Self>, since: Time) -> Waiting {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let key = (since, number);
        self.waiting().insert(key);
        Waiting {
            meter: Arc::clone(self),
            key,
        }
    }

    fn is_backlogged(&self, now: Time, after: Span) -> bool {
        let oldest = self.waiting().first().map(|(since, _)| *since);
        oldest.is_some_and(|since| now.since(since) >= after)
    }

    fn waiting(&self) -> MutexGuard<'_, BTreeSet<(Time, u64)>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request of which nothing has come.
#[derive(Debug)]
pub(super) struct Waiting {
    meter: Arc<Meter>,
    key: (Time, u64),
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.meter.waiting().remove(&self.key);
    }
}

/// Meters of all lanes with the samples taken.
#[derive(Debug, Default)]
pub(super) struct Meters {
    lanes: Vec<Lane>,
    meters: Vec<Arc<Meter>>,
    samples: Mutex<Vec<Sample>>,
}

impl Meters {
    pub(super) fn new(lanes: Vec<Lane>) -> Self {
        Self {
            meters: lanes.iter().map(|_| Arc::default()).collect(),
            lanes,
            samples: Mutex::default(),
        }
    }

    /// Returns the meter of a lane.
    pub(super) fn meter(&self, workspace: &str, service: &str) -> Option<Arc<Meter>> {
        let is_it = |l: &Lane| l.workspace.as_str() == workspace && l.service.as_str() == service;
        let number = self.lanes.iter().position(is_it)?;
        Some(Arc::clone(&self.meters[number]))
    }

    /// Takes a sample.
    pub(super) fn sample(&self, start: Time, now: Time, backlog_after: Span) {
        let served = |m: &Arc<Meter>| Cost(m.served.load(Ordering::Relaxed));
        let backlogged = |m: &Arc<Meter>| m.is_backlogged(now, backlog_after);
        let sample = Sample {
            at_ms: now.since(start).as_millis(),
            served: self.meters.iter().map(served).collect(),
            backlogged: self.meters.iter().map(backlogged).collect(),
        };
        self.samples
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sample);
    }

    /// Returns the samples taken.
    pub(super) fn series(&self) -> Series {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        Series {
            lanes: self.lanes.clone(),
            samples: samples.clone(),
        }
    }
}
