//! Outputs of the dispatcher.

use super::{Estimate, Refusal};

/// Output of the dispatcher, carried out by the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to a target now. If the request is at another target, that one is silent, and
    /// is left when the new one takes the request, see [`super::Event::Returned`].
    Send {
        /// Request.
        number: u64,
        /// Chosen target, with the estimate behind the choice.
        estimate: Estimate,
        /// Number of targets that the request was sent to before.
        earlier: u32,
        /// Time since the request arrived.
        waited: crate::unit::Span,
    },
    /// Refuse a request that was not sent, or that is not retried.
    Refuse {
        /// Request.
        number: u64,
        /// Why.
        refusal: Refusal,
    },
    /// Ask the platform whether the list of targets is current, see [`super::Event::TargetsChecked`].
    CheckTargets,
    /// A target was ejected because of failures, or is in use again.
    HealthChanged {
        /// Target.
        target: crate::id::Target,
        /// The target is ejected.
        suspect: bool,
        /// Failures in the window that decided.
        failures: u32,
        /// Successes in the window that decided.
        answers: u32,
    },
    /// A target crashed.
    TargetCrashed {
        /// Target.
        target: crate::id::Target,
        /// Shared parts of the prompts that it had not answered yet, or had just begun to answer.
        parts: Box<[u64]>,
    },
    /// Requests whose prompts have a part are held back, because targets crash under them.
    PartHeld {
        /// Part.
        part: u64,
        /// Number of crashes that followed each other.
        crashes: usize,
    },
    /// Requests whose prompts have a part are no longer held back.
    PartReleased {
        /// Part.
        part: u64,
    },
    /// A request is sent although a part of its prompt is held back, to find out whether targets still
    /// crash.
    Tried {
        /// Request.
        number: u64,
    },
    /// A target announced that it leaves; it gets no further request.
    TargetLeaving {
        /// Request whose response had the announcement.
        number: u64,
        /// Target.
        target: crate::id::Target,
    },
    /// A target asked for a pause.
    TargetPaused {
        /// Target.
        target: crate::id::Target,
        /// Duration that the target asked for.
        asked: crate::unit::Span,
        /// Duration for which it gets no request.
        applied: crate::unit::Span,
        /// Request that the target refused, if this router sent it.
        request: Option<u64>,
        /// Router that reported it, otherwise.
        router: Option<crate::id::Router>,
    },
    /// The limit of a target changed.
    TargetLimited {
        /// Target.
        target: crate::id::Target,
        /// Requests that the target takes of all routers together; `None` if it names no limit any more.
        limit: Option<crate::unit::Rate>,
        /// Request whose response said so, if this router read it.
        request: Option<u64>,
        /// Router that reported it, otherwise.
        router: Option<crate::id::Router>,
    },
}
