//! Answer that a target began a moment ago.

use crate::{id, unit::Time};

/// Answer that a target began a moment ago. It may have ended since.
#[derive(Clone, Debug)]
pub(super) struct Beginning {
    pub(super) at: Time,
    /// Request.
    pub(super) number: u64,
    /// Time at which the request was sent to the target.
    pub(super) sent: Time,
    pub(super) target: id::Target,
    /// Key of the target.
    pub(super) key: u64,
    /// Parts of the prompt that other requests may share.
    pub(super) parts: Box<[u64]>,
    /// The answer was whole.
    pub(super) answered: bool,
}
