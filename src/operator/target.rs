//! Targets as a router knows them.

use crate::id;
use std::net::SocketAddr;

/// A target as the answering router knows it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// Target.
    pub target: id::Target,
    /// Service that it runs.
    pub service: id::Service,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Router that owns it, if one is known.
    pub owner: Option<id::Router>,
    /// Slots.
    pub slots: u32,
    /// Free slots, as the owner said last.
    pub free: u32,
    /// It takes new work.
    pub fit: bool,
}
