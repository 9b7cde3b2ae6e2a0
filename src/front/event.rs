//! What happens to requests, for the control thread.

use super::{Answer, Call, Order};
use crate::{id, ingress, unit::Cost, wire::Outcome};
use tokio::sync::{mpsc, oneshot};

/// What happened to a request.
#[derive(Debug)]
pub enum Event {
    /// A request arrived whole.
    Arrived {
        /// Number of the request on this router.
        request: u64,
        /// What is asked for.
        call: Call,
        /// Where the orders for it go.
        orders: mpsc::UnboundedSender<Order>,
    },
    /// A caller wants an idempotency key.
    KeyWanted {
        /// Where the key goes.
        reply: oneshot::Sender<Box<str>>,
    },
    /// The caller went away.
    Gone {
        /// Number of the request.
        request: u64,
    },
    /// The first byte of the attempt may have reached the target.
    Sent {
        /// Attempt.
        attempt: id::Attempt,
    },
    /// Cost of a running attempt so far.
    Progress {
        /// Attempt.
        attempt: id::Attempt,
        /// Cost so far.
        cost: Cost,
    },
    /// The attempt ended.
    Ended {
        /// Attempt.
        attempt: id::Attempt,
        /// Final cost.
        cost: Cost,
        /// How it ended.
        outcome: Outcome,
        /// Where another target may go on.
        resume: ingress::Resume,
        /// Whole answer of a request with an idempotency key, if it is small.
        answer: Option<Answer>,
    },
}
