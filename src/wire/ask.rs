//! Slot requests.

use crate::{
    id,
    unit::{Cost, Span},
};

/// Size class of a request, by its estimated cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A short request, which must not wait behind long ones.
    Quick,
    /// Any other request.
    Long,
}

/// Request for a slot, sent to the owner of a target; idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Attempt that needs the slot.
    pub attempt: id::Attempt,
    /// Workspace that is charged.
    pub workspace: id::Workspace,
    /// Requested service.
    pub service: id::Service,
    /// Target whose owner receives the slot request; the owner may grant a slot of any target of
    /// the service that it owns.
    pub target: id::Target,
    /// Size class.
    pub class: Class,
    /// Estimated cost.
    pub estimate: Cost,
    /// Time that the request has already waited, at earlier owners.
    pub waited: Span,
    /// Time left until the deadline.
    pub remaining: Span,
    /// Number of times that the request was redirected to another owner.
    pub hops: u8,
}
