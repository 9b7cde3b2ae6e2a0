//! A request as the HTTP front end accepted it.

use crate::{
    claim, id,
    unit::{Cost, Time},
    wire,
};

/// A request as the HTTP front end accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number of the request, assigned by the HTTP front end; unique in this process.
    pub number: u64,
    /// Workspace that pays for the service.
    pub workspace: id::Workspace,
    /// Service that is called.
    pub service: id::Service,
    /// Size class, by estimated cost.
    pub class: wire::Class,
    /// Estimated cost.
    pub estimate: Cost,
    /// Running the request more than once is safe.
    pub idempotent: bool,
    /// Idempotency key, if the caller sent one.
    pub key: Option<claim::Key>,
    /// Time by which the caller wants the last byte of the response.
    pub deadline: Time,
}
