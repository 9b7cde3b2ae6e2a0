//! Parsed properties of a request.

use crate::{
    claim, id,
    unit::{Cost, Span},
    wire::Class,
};

/// Properties of a request that the control thread needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Workspace that the caller's key belongs to.
    pub workspace: id::Workspace,
    /// Service that is called.
    pub service: id::Service,
    /// Size class of `estimate`.
    pub class: Class,
    /// Estimated cost: the caller's, or else the service's default.
    pub estimate: Cost,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Idempotency key that the caller sent.
    pub key: Option<claim::Key>,
    /// Time left until the deadline: the caller's timeout, at most the service's.
    pub timeout: Span,
    /// Identifier of the trace.
    pub trace: Box<str>,
}
