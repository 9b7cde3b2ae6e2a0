//! Call of an engine for its cache events.

use crate::{catalog::Run, unit::Span};
use std::net::SocketAddr;

/// Call of an engine for its cache events, to be made now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Run of the engine.
    pub run: Run,
    /// Address.
    pub address: SocketAddr,
    /// Position from which it continues; 0 at first.
    pub since: u64,
    /// Time for which the engine may wait for events.
    pub wait: Span,
}
