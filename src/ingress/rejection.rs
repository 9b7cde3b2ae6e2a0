//! Final responses that the router generates itself.

use crate::wire;
use std::fmt;

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// The target's response was interrupted after the request was sent.
    Broken,
    /// The deadline passed after the request was sent.
    Deadline,
    /// An earlier request with the same idempotency key may still be running.
    Running,
    /// It cannot be determined now whether an earlier request with the same idempotency key ran.
    Claim,
}

/// Final response that the router generates in place of a target's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The request certainly was not run.
    NotRun {
        /// Reason and retry delay.
        refusal: wire::Refusal,
    },
    /// The request may have run, now or as an earlier request with the same idempotency key.
    Unknown {
        /// Why the outcome is unknown.
        doubt: Doubt,
    },
    /// An earlier request with the same idempotency key completed.
    Finished {
        /// Its response, if it was stored.
        answer: Option<Box<str>>,
    },
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Doubt::Broken => "the target's response was interrupted after the request was sent",
            Doubt::Deadline => "the deadline passed after the request was sent to a target",
            Doubt::Running => "an earlier request with this idempotency key may still be running",
            Doubt::Claim => {
                "cannot determine whether an earlier request with this idempotency key ran"
            }
        })
    }
}
