//! Events of the front end for the control thread.

use super::{Answer, Call, Command};
use crate::{id, ingress, unit::Cost, wire::Outcome};
use tokio::sync::{mpsc, oneshot};

/// Event of the front end for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A request was received completely.
    Arrived {
        /// Number of the request in this process.
        request: u64,
        /// Properties of the request.
        call: Call,
        /// Channel for commands to the task that handles the request.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// A caller requested an idempotency key.
    KeyRequested {
        /// Channel for the key.
        reply: oneshot::Sender<Box<str>>,
    },
    /// The caller disconnected.
    Disconnected {
        /// Number of the request.
        request: u64,
    },
    /// The first byte of the attempt may have been sent.
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
        /// Position from which another target can resume the response.
        resume: ingress::Resume,
        /// Complete response to a request with an idempotency key, if it is small enough to store.
        answer: Option<Answer>,
    },
}
