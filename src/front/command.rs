//! Commands of the control thread to the task that handles a request.

use crate::{config, id, ingress, unit::Time};
use std::sync::Arc;

/// Command of the control thread to the task that handles a request.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send the request to the target now.
    Start {
        /// Attempt to run.
        attempt: id::Attempt,
        /// Target to send it to.
        target: Arc<config::Target>,
        /// Latest time to send the first byte; the grant is stale after it.
        not_after: Time,
        /// Deadline of the caller.
        deadline: Time,
        /// Identifier of the last event that the caller received (`Last-Event-ID`), if the target
        /// is to resume the stream after it.
        resume: Option<Box<str>>,
    },
    /// Abort the attempt.
    Abort {
        /// Attempt to abort.
        attempt: id::Attempt,
    },
    /// Send the caller a final response in place of a target's.
    Reject(ingress::Rejection),
}
