//! A caller's request after its headers and body were read and its route was found.

use super::Head;
use crate::{
    dispatch::Resumption,
    id,
    memory::{Account, Payload},
    routing::Route,
    unit::{Span, Time},
};
use http::{HeaderMap, Method, Uri};
use std::sync::Arc;

/// A caller's request after its headers and body were read and its route was found.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Number assigned by this router, unique within the process.
    pub(super) number: u64,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Payload,
    /// What the caller's connection holds.
    pub(super) account: Account,
    pub(super) head: Head,
    pub(super) route: Arc<Route>,
    pub(super) service: id::Service,
    pub(super) workspace: Option<id::Workspace>,
    /// Build that began the stream, from the first event that the caller got on.
    pub(super) build: Option<id::Build>,
    pub(super) arrived: Time,
    /// Latest time for the final response.
    pub(super) deadline: Time,
}

impl Call {
    /// Returns what the caller says of the stream that it resumes, if it does.
    pub(super) fn resumption(&self) -> Option<Resumption> {
        let last_event_id = self.head.last_event_id.as_deref().unwrap_or_default();
        let has_events = !last_event_id.trim().is_empty();
        let origin = self.head.origin.as_deref().unwrap_or_default();
        let stream = id::Stream::of(self.workspace.as_ref(), origin);
        (has_events || stream.is_some()).then_some(Resumption { stream, has_events })
    }

    /// Returns the time left until the deadline.
    pub(super) fn remaining(&self, now: Time) -> Span {
        self.deadline.since(now)
    }
}
