//! Engine from which another one copies the cached parts of a prompt.

use crate::{id, routing::Engine, unit::Span};
use std::net::SocketAddr;

/// Time to set up a transfer, up to which engines differ.
const SET_UP_TIME: Span = Span::from_millis(5);
/// Minimum number of shared tokens for which a source is named. The set-up of a transfer delays the request that needs
/// it alone, by up to 5 ms; prompt tokens that are processed again take time from all requests of the engine.
pub(super) const MIN_TOKENS: u64 = 200;

/// Time after which a part that was sent to an engine counts as prefilled there although no router has reported so.
/// Prompts are usually processed within the 600 ms in which their first event is due.
pub(super) const PREFILLED_AFTER: Span = Span::from_millis(1_000);

/// Engine from which another one copies the cached parts of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name.
    pub target: id::Target,
    /// Address.
    pub address: SocketAddr,
    /// Tokens of the prompt's shared parts that it is expected to have cached.
    pub tokens: u64,
}

/// Returns the time in which an engine copies tokens.
pub(super) fn copy_time(engine: &Engine, tokens: u64) -> Span {
    match engine.transfer {
        Some(transfer) if tokens > 0 => Span(SET_UP_TIME.0 + transfer.time(tokens).0),
        _ => Span(0),
    }
}
