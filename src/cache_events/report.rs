//! What a call for cache events brought.

use super::Item;
use crate::{catalog::Run, unit::Time};

/// Why what events said before doesn't hold any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reset {
    /// Events are missing.
    Gap,
    /// The engine restarted: nothing from before is cached.
    Restart,
}

/// What a call for cache events brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Run of the engine.
    pub run: Run,
    /// Time after which the events happened, at the earliest.
    pub after: Time,
    /// Why what events said before doesn't hold any more, if so.
    pub reset: Option<Reset>,
    /// The last event of each part.
    pub items: Vec<Item>,
}
