//! Orders of the control thread to the task that carries a request.

use crate::{config, id, ingress, unit::Time};
use std::sync::Arc;

/// What the task has to do next.
#[derive(Clone, Debug)]
pub enum Order {
    /// Send the request to the target now.
    Start {
        /// Attempt to run.
        attempt: id::Attempt,
        /// Target to send it to.
        target: Arc<config::Target>,
        /// Time after which the grant is stale and nothing may be sent.
        expires: Time,
        /// Time at which the caller gives up.
        deadline: Time,
        /// Identifier of the last event that the caller already has, when a stream resumes.
        resume: Option<Box<str>>,
    },
    /// Stop the attempt.
    Abort {
        /// Attempt to stop.
        attempt: id::Attempt,
    },
    /// Give the caller a final answer in place of a target's.
    Reject(ingress::Rejection),
}
