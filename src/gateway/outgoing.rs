//! Header values that a router sets on a request to a target.

use crate::{id, unit::Span};
use std::net::SocketAddr;

/// Header values that a router sets on a request to a target.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing<'a> {
    /// Target that is to run the request; another one that has taken over its address refuses.
    pub target: &'a id::Target,
    /// Workspace of the caller.
    pub workspace: Option<&'a id::Workspace>,
    /// Time left until the deadline.
    pub remaining: Span,
    /// Engine from which the target copies cached parts of the prompt first.
    pub source: Option<SocketAddr>,
    /// ID of the last event that the caller received, where a stream is resumed.
    pub last_event_id: Option<&'a str>,
}
