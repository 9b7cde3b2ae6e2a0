//! Places in an engine's batch, given first come, first served.

use super::{Load, gauge::Gauge, usage::Usage};
use crate::{clock, unit::Span};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Places at a target; the semaphore serves those who wait in order.
#[derive(Debug)]
pub(super) struct Slots {
    places: Arc<Semaphore>,
    gauge: Mutex<Gauge>,
}

impl Slots {
    pub(super) fn new(slots: u32, load_lag: Span) -> Arc<Self> {
        Arc::new(Self {
            places: Arc::new(Semaphore::new(slots as usize)),
            gauge: Mutex::new(Gauge::new(slots, load_lag)),
        })
    }

    /// Returns the load as it was some time ago.
    pub(super) fn load(&self) -> Load {
        let mut gauge = self.gauge.lock().unwrap_or_else(PoisonError::into_inner);
        gauge.report(clock::now())
    }

    /// Returns the use of the places up to now.
    pub(super) fn usage(&self) -> Usage {
        let gauge = self.gauge.lock().unwrap_or_else(PoisonError::into_inner);
        gauge.usage(clock::now())
    }

    /// Waits for a place.
    pub(super) async fn take(self: Arc<Self>) -> Place {
        let waiting = Waiting::begin(Arc::clone(&self));
        let permit = Arc::clone(&self.places).acquire_owned().await;
        drop(waiting);
        self.update(|load| load.running += 1);
        Place {
            slots: self,
            // The semaphore is never closed.
            _permit: permit.ok(),
        }
    }

    fn update(&self, change: impl FnOnce(&mut Load)) {
        let mut gauge = self.gauge.lock().unwrap_or_else(PoisonError::into_inner);
        gauge.update(clock::now(), change);
    }
}

/// Counts a request as waiting until it is dropped.
struct Waiting(Arc<Slots>);

impl Waiting {
    fn begin(slots: Arc<Slots>) -> Self {
        slots.update(|load| load.waiting += 1);
        Self(slots)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.update(|load| load.waiting -= 1);
    }
}

/// A place in the batch; dropping it frees it.
#[derive(Debug)]
pub(super) struct Place {
    slots: Arc<Slots>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.slots.update(|load| load.running -= 1);
    }
}
