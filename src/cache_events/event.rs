//! Inputs of the readers.

use super::{Applied, Batch, Engine, Fault};
use crate::{catalog::Run, id};

/// Input of the readers.
#[derive(Clone, Debug)]
pub enum Event {
    /// The other routers that are alive changed.
    Routers(Vec<(id::Router, id::Domain)>),
    /// The engines that report changes of their caches changed.
    Engines(Vec<Engine>),
    /// A call ended.
    Ended {
        /// Run of the engine.
        run: Run,
        /// What it returned.
        result: Result<Batch, Fault>,
    },
    /// A report was applied.
    Applied {
        /// Run of the engine.
        run: Run,
        /// What it changed.
        applied: Applied,
    },
    /// Time has passed.
    Tick,
}
