//! Handle of a request that is registered with the dispatcher.

use super::Driver;
use crate::dispatch::{Estimate, Event, Refusal};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Decision of the dispatcher on one request.
#[derive(Clone, Debug)]
pub(super) enum Decision {
    /// Send it to a target; `earlier` is the number of targets that it was sent to before.
    Send { estimate: Estimate, earlier: u32 },
    /// Refuse it.
    Refuse(Refusal),
    /// Stop waiting for the target that it was sent to.
    Abandon,
}

/// A request registered with the dispatcher; dropping this removes it.
pub(super) struct Submission {
    number: u64,
    driver: Arc<Driver>,
    decisions: mpsc::UnboundedReceiver<Decision>,
}

impl Submission {
    pub(super) fn new(
        number: u64,
        driver: Arc<Driver>,
        decisions: mpsc::UnboundedReceiver<Decision>,
    ) -> Self {
        Self {
            number,
            driver,
            decisions,
        }
    }

    /// Waits for the next decision to send or refuse the request.
    pub(super) async fn decision(&mut self) -> Option<Result<(Estimate, u32), Refusal>> {
        loop {
            match self.decisions.recv().await? {
                Decision::Send { estimate, earlier } => return Some(Ok((estimate, earlier))),
                Decision::Refuse(refusal) => return Some(Err(refusal)),
                // The attempt that it concerned has already ended.
                Decision::Abandon => {}
            }
        }
    }

    /// Waits for the decision to stop waiting for the target.
    pub(super) async fn abandoned(&mut self) {
        while let Some(decision) = self.decisions.recv().await {
            if matches!(decision, Decision::Abandon) {
                return;
            }
        }
        std::future::pending().await
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
