//! Timer of a wait whose limit may be raised meanwhile.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::time::Sleep;

/// Timer of a wait whose limit may be raised meanwhile.
pub(super) struct Timer {
    sleep: Pin<Box<Sleep>>,
    /// Limit that the timer runs for now.
    limit: Duration,
}

impl Timer {
    /// Starts a timer.
    pub(super) fn open(limit: Duration) -> Self {
        Self {
            sleep: Box::pin(tokio::time::sleep(limit)),
            limit,
        }
    }

    /// Completes with the limit once it has passed since the start. `newest` is asked only then; if
    /// it is longer, the timer goes on for the rest.
    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        newest: impl Fn() -> Duration,
    ) -> Poll<Duration> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let rest = newest().saturating_sub(self.limit);
            if rest.is_zero() {
                return Poll::Ready(self.limit);
            }
            let deadline = self.sleep.deadline() + rest;
            self.sleep.as_mut().reset(deadline);
            self.limit += rest;
        }
    }
}
