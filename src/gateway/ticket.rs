//! A request's place at the dispatcher.

use super::Hub;
use crate::dispatch::{Estimate, Event, Refusal};
use std::sync::Arc;
use tokio::sync::mpsc;

/// What the dispatcher orders for one request.
#[derive(Clone, Debug)]
pub(super) enum Order {
    /// Send it to a target, `earlier` others having had it.
    Send { estimate: Estimate, earlier: u32 },
    /// Give it up.
    Refuse(Refusal),
    /// Stop to wait for the target that has it.
    Abandon,
}

/// A request's place at the dispatcher; the place is given back when this is dropped.
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

    /// Waits for the next order that sends or refuses the request.
    pub(super) async fn decision(&mut self) -> Option<Result<(Estimate, u32), Refusal>> {
        loop {
            match self.orders.recv().await? {
                Order::Send { estimate, earlier } => return Some(Ok((estimate, earlier))),
                Order::Refuse(refusal) => return Some(Err(refusal)),
                // The run that it spoke of has ended meanwhile.
                Order::Abandon => {}
            }
        }
    }

    /// Waits for the order to stop waiting for the target.
    pub(super) async fn abandoned(&mut self) {
        while let Some(order) = self.orders.recv().await {
            if matches!(order, Order::Abandon) {
                return;
            }
        }
        std::future::pending().await
    }

    /// Tells the dispatcher what happened.
    pub(super) fn tell(&self, event: Event) {
        self.hub.step(event);
    }

    /// Returns the dispatcher's side.
    pub(super) fn hub(&self) -> &Hub {
        &self.hub
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.hub.leave(self.number);
    }
}
