//! Final answers that the router itself gives.

use crate::wire;
use std::fmt;

/// Why the outcome of a request is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// The target's answer broke off after the request was sent.
    Broken,
    /// The deadline passed after the request was sent.
    Deadline,
    /// An earlier try with the same idempotency key may still run.
    Running,
    /// Whether an earlier try with the same idempotency key ran cannot be told now.
    Claim,
}

/// Final answer that the router gives in place of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The request certainly was not run.
    NotRun {
        /// Why, and when to come back.
        refusal: wire::Refusal,
    },
    /// The request may have run, now or at an earlier try.
    Unknown {
        /// Why the outcome is not known.
        doubt: Doubt,
    },
    /// An earlier try with the same idempotency key ran to its end.
    Finished {
        /// Its answer, if it was stored.
        answer: Option<Box<str>>,
    },
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Doubt::Broken => "the answer broke off after the request was sent",
            Doubt::Deadline => "the deadline passed after the request was sent",
            Doubt::Running => "an earlier try with this idempotency key may still run",
            Doubt::Claim => "whether an earlier try with this idempotency key ran cannot be told",
        })
    }
}
