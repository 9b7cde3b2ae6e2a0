//! A caller's request, read and routed.

use super::Head;
use crate::{
    id,
    routing::Route,
    unit::{Span, Time},
};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::sync::Arc;

/// A caller's request, read and routed.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Number that the router gave it.
    pub(super) number: u64,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: Head,
    pub(super) route: Arc<Route>,
    pub(super) service: id::Service,
    pub(super) workspace: Option<id::Workspace>,
    pub(super) arrived: Time,
    /// Time until which it must have its final answer.
    pub(super) deadline: Time,
}

impl Call {
    /// Returns the time that is left.
    pub(super) fn remaining(&self, now: Time) -> Span {
        self.deadline.since(now)
    }
}
