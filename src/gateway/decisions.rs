//! Decisions of the dispatcher on one request.

use crate::dispatch::{Estimate, Refusal};
use tokio::sync::mpsc;

/// Decision of the dispatcher on one request.
#[derive(Clone, Debug)]
pub(super) enum Decision {
    /// Send it to a target; if it is at another one, leave that one.
    Send(Estimate),
    /// Refuse it.
    Refuse(Refusal),
}

/// Decisions on one request, in their order.
pub(super) struct Decisions(mpsc::UnboundedReceiver<Decision>);

impl Decisions {
    pub(super) fn new(receiver: mpsc::UnboundedReceiver<Decision>) -> Self {
        Self(receiver)
    }

    /// Waits for the next decision. While an attempt is in flight, that is a move to another target.
    pub(super) async fn next(&mut self) -> Decision {
        match self.0.recv().await {
            Some(decision) => decision,
            // The request's registration outlives its exchange, so the sender is never dropped.
            None => std::future::pending().await,
        }
    }
}
