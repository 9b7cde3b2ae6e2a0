//! A request as the front took it from a caller.

use crate::{
    claim, id,
    unit::{Cost, Time},
    wire,
};

/// A request as the front took it from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number that the front gave the request; unique in this process.
    pub number: u64,
    /// Workspace that pays for the service.
    pub workspace: id::Workspace,
    /// Service that is called.
    pub service: id::Service,
    /// Size class.
    pub class: wire::Class,
    /// Estimated cost.
    pub estimate: Cost,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Idempotency key, if the caller sent one.
    pub key: Option<claim::Key>,
    /// Time by which the caller wants the last byte of the answer.
    pub deadline: Time,
}
