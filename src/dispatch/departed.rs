//! Router that fell silent, and may be cut off.

use crate::{id, unit::Time};

/// Router that fell silent. It may be cut off and go on with its part of limits, so that the others don't
/// use that for a while.
#[derive(Clone, Debug)]
pub(super) struct Departed {
    pub(super) router: id::Router,
    /// Requests per second that it reported.
    pub(super) demand: u32,
    /// Time until which its part is kept.
    pub(super) until: Time,
}
