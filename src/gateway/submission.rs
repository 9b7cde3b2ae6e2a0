//! Handle of a request that is registered with the dispatcher.

use super::Driver;
use crate::dispatch::Event;
use std::sync::Arc;

/// A request registered with the dispatcher; dropping this removes it.
pub(super) struct Submission {
    number: u64,
    driver: Arc<Driver>,
}

impl Submission {
    pub(super) fn new(number: u64, driver: Arc<Driver>) -> Self {
        Self { number, driver }
    }

    /// Passes an event to the dispatcher.
    pub(super) fn report(&self, event: Event) {
        self.driver.step(event);
    }

    /// Returns the driver of the dispatcher.
    pub(super) fn driver(&self) -> &Driver {
        &self.driver
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        self.driver.remove(self.number);
    }
}
