//! A target as it registered itself.

use crate::{id, unit::Span};
use std::net::SocketAddr;

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub name: id::Target,
    /// Run of the target, in Unix milliseconds of its start; 0 if it does not tell. A larger number
    /// is a later run, which keeps nothing of earlier ones.
    pub born: u64,
    /// Service that it is a target of.
    pub service: id::Service,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: id::Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Takes no new work.
    pub leaving: bool,
    /// Time for which it is still slow after its start.
    pub warm_up: Span,
}
