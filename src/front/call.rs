//! What a caller asks for.

use crate::{
    claim, id,
    unit::{Cost, Span},
    wire::Class,
};

/// A request as the control thread sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Workspace that the caller's key belongs to.
    pub workspace: id::Workspace,
    /// Service that is called.
    pub service: id::Service,
    /// Size class by the caller's hint.
    pub class: Class,
    /// Cost by the caller's hint, or the service's default.
    pub estimate: Cost,
    /// The request may be sent again after it may have run.
    pub idempotent: bool,
    /// Idempotency key of a request that is not idempotent.
    pub key: Option<claim::Key>,
    /// Time left until the caller gives up.
    pub timeout: Span,
    /// Identifier of the trace.
    pub trace: Box<str>,
}
