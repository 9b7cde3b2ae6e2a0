//! Request for a slot at a target.

use crate::{
    id,
    unit::{Cost, Span},
};

/// Size class of a request, by its estimated cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A short call that must not wait behind long ones.
    Quick,
    /// Any other call.
    Long,
}

/// Asks the owner of a target for one slot; repeating it changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Attempt that wants the slot.
    pub attempt: id::Attempt,
    /// Workspace that pays for the service.
    pub workspace: id::Workspace,
    /// Service that is called.
    pub service: id::Service,
    /// Target whose owner is asked; an owner may grant any target of the service that it owns.
    pub target: id::Target,
    /// Size class.
    pub class: Class,
    /// Estimated cost.
    pub estimate: Cost,
    /// Time that the request has waited so far, at earlier owners.
    pub waited: Span,
    /// Time left until the caller's deadline.
    pub remaining: Span,
    /// Number of times that the request changed its owner.
    pub hops: u8,
}
