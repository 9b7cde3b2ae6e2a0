//! Handle of a request that is registered with the dispatcher.

use super::Driver;
use crate::{dispatch::Event, unit::Span};
use std::sync::Arc;

/// A request registered with the dispatcher; dropping this removes it.
pub(super) struct Submission {
    number: u64,
    driver: Arc<Driver>,
    silence_timeout: Span,
}

impl Submission {
    pub(super) fn new(number: u64, driver: Arc<Driver>, silence_timeout: Span) -> Self {
        Self {
            number,
            driver,
            silence_timeout,
        }
    }

    /// Returns the silence of a target after which another one is tried.
    pub(super) fn silence_timeout(&self) -> Span {
        self.silence_timeout
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
