//! What the dispatcher orders.

use super::{Offer, Refusal};

/// What the dispatcher orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to a target now.
    Send {
        /// Request.
        number: u64,
        /// Target, with what decided for it.
        offer: Offer,
        /// How many targets the request was sent to before.
        earlier: u32,
        /// Time for which it waited, in microseconds.
        waited: crate::unit::Span,
    },
    /// Give up a request: it is not sent, or not once more.
    Refuse {
        /// Request.
        number: u64,
        /// Why.
        refusal: Refusal,
    },
    /// Stop to wait for the target that a request was sent to; its run ends as silent.
    Abandon {
        /// Request.
        number: u64,
    },
    /// A target is not used for a while, or used again.
    Belief {
        /// Target.
        target: crate::id::Target,
        /// It is not used.
        suspect: bool,
        /// Failures and answers in the window that decided.
        failures: u32,
        /// Answers in the window that decided.
        answers: u32,
    },
}
