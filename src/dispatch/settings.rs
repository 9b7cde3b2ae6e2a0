//! Settings of the dispatcher.

use super::Placement;
use crate::{id, unit::Span};

/// Settings of the dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router.
    pub router: id::Router,
    /// Run of this router.
    pub incarnation: id::Incarnation,
    /// Failure domain that this router is in.
    pub domain: id::Domain,
    /// How targets are chosen.
    pub placement: Placement,
    /// Window over which workspaces share the capacity.
    pub share_window: Span,
    /// Repeats that the fleet may send for each thousand requests of a service.
    pub repeat_permille: u32,
    /// Repeats that the fleet may send to a service beyond that.
    pub repeat_extra: u32,
    /// Longest time for which a request waits here for a target.
    pub hold: Span,
}

impl Settings {
    /// Returns the settings of a router with the defaults of everything else.
    pub fn new(router: id::Router, incarnation: id::Incarnation, domain: id::Domain) -> Self {
        Self {
            router,
            incarnation,
            domain,
            placement: Placement::default(),
            // The users' platform accounts shares over four seconds.
            share_window: Span::from_secs(4),
            // A fifth, as the users' platform allows; see `repeat_extra` for the rest.
            repeat_permille: 200,
            repeat_extra: 50,
            // Longer waits end late in most cases; a caller that is told so may come back in time.
            hold: Span::from_millis(1_500),
        }
    }
}
