//! What a router adds to a request that it sends to a target.

use crate::{id, unit::Span};

/// What a router adds to a request that it sends to a target.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing<'a> {
    /// Target that is to run it; another one that got its address refuses.
    pub target: &'a id::Target,
    /// Workspace of the caller.
    pub workspace: Option<&'a id::Workspace>,
    /// Time that is left.
    pub remaining: Span,
    /// Last event that the caller has, if the answer goes on.
    pub last_event: Option<&'a str>,
}
