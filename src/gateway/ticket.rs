//! Handle of a request that is registered at the dispatcher.

use super::Hub;
use crate::dispatch::{Estimate, Event, Refusal};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Decision of the dispatcher on one request.
#[derive(Clone, Debug)]
pub(super) enum Order {
    /// Send it to a target; `earlier` is the number of targets that it was sent to before.
    Send { estimate: Estimate, earlier: u32 },
    /// Refuse it.
    Refuse(Refusal),
    /// Stop waiting for the target that it was sent to.
    Abandon,
}

/// A request registered at the dispatcher; dropping this removes it.
pub(super) struct Ticket {
    number: u64,
    hub: Arc<Hub>,
    orders: mpsc::UnboundedReceiver<Order>,
}

impl Ticket {
    pub(super) fn new(number: u64, hub: Arc<Hub>, orders: mpsc::UnboundedReceiver<Order>) -> Self {
        Self {
            number,
            hub,
            orders,
        }
    }

    /// Waits for the next decision to send or refuse the request.
    pub(super) async fn decision(&mut self) -> Option<Result<(Estimate, u32), Refusal>> {
        loop {
            match self.orders.recv().await? {
                Order::Send { estimate, earlier } => return Some(Ok((estimate, earlier))),
                Order::Refuse(refusal) => return Some(Err(refusal)),
                // The attempt that it concerned has already ended.
                Order::Abandon => {}
            }
        }
    }

    /// Waits for the decision to stop waiting for the target.
    pub(super) async fn abandoned(&mut self) {
        while let Some(order) = self.orders.recv().await {
            if matches!(order, Order::Abandon) {
                return;
            }
        }
        std::future::pending().await
    }

    /// Passes an event to the dispatcher.
    pub(super) fn tell(&self, event: Event) {
        self.hub.step(event);
    }

    /// Returns the driver of the dispatcher.
    pub(super) fn hub(&self) -> &Hub {
        &self.hub
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.hub.leave(self.number);
    }
}
