//! A service that callers use.

use super::Engine;
use crate::{
    id,
    unit::{Cost, Span},
};

/// Kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that generate tokens.
    Model,
    /// Plain HTTP services.
    Plain,
}

/// A service that callers use.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name; callers reach a plain service under `/s/<name>/` and a model by its name.
    pub name: id::Service,
    /// Kind.
    pub kind: Kind,
    /// Host names that select the service.
    pub hosts: Vec<Box<str>>,
    /// Calls of unsafe methods may be repeated.
    pub idempotent: bool,
    /// Largest estimated cost of a quick call.
    pub quick: Cost,
    /// Cost assumed for a call with no hint and no history.
    pub estimate: Cost,
    /// Longest time that a call may take, from arrival to its last byte.
    pub timeout: Span,
    /// Requests of one workspace that may wait at one owner.
    pub max_waiting: u32,
    /// Abilities of the targets.
    pub engine: Engine,
}
