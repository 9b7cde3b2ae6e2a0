//! Events that drive an aggregator.

use crate::{config, id, wire};
use std::sync::Arc;

/// Event that an aggregator handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new configuration is in force.
    Config(Arc<config::Fleet>),
    /// An owner reports usage.
    Report {
        /// Owner.
        from: id::Router,
        /// Report.
        report: wire::Report,
    },
    /// A router died or was cut off: none of its requests wait any more. Its usage stays counted.
    RouterLost(id::Router),
    /// Lowest floor of each service among all live routers, from their heartbeats.
    Floors(Vec<(id::Service, u64)>),
    /// Timer tick, at least every second.
    Tick,
}
