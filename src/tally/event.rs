//! Inputs of the tally.

use crate::{config, id, wire};
use std::sync::Arc;

/// Input of the tally.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Config(Arc<config::Fleet>),
    /// An owner reports service.
    Report {
        /// Owner.
        from: id::Router,
        /// Report.
        report: wire::Report,
    },
    /// A router died or was cut off: nothing waits there any more. Its service stays counted.
    RouterLost(id::Router),
    /// Lowest floor of each service among all live routers.
    Floors(Vec<(id::Service, u64)>),
    /// Time passed; comes at least every second.
    Tick,
}
