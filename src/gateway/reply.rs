//! Parsed headers of a target's response.

use crate::unit::{Rate, Span};

/// Values parsed from the status and headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// ID of the request that it responds to; `None` if the target echoed none.
    pub request_id: Option<Box<str>>,
    /// Whether the target that the request was meant for sent it, and not another one at its address.
    pub expected: bool,
    /// Whether it has a target's signature.
    pub signed: bool,
    /// Whether the target declares that it did not run the request.
    pub not_run: bool,
    /// Time for which the target keeps the idle connection open.
    pub keep_alive: Option<Span>,
    /// Whether the target closes the connection after the response.
    pub closes: bool,
    /// Whether the target announces that it leaves.
    pub leaving: bool,
    /// Time for which a target that refuses the request wants no further ones; an error has the
    /// text that can't be read as a time.
    pub pause: Option<Result<Span, Box<str>>>,
    /// Requests per second that the target takes of all routers together; `None` if it names no limit, an
    /// error has the text that can't be read as one.
    pub limit: Option<Result<Rate, Box<str>>>,
    /// Whether the body has a content encoding; targets use none, so such a response is rejected.
    pub encoded: bool,
}
