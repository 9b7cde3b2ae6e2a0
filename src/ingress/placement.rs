//! Selection of targets and their owners.

use crate::id;

/// Selects targets and their owners from this router's view of the fleet.
pub trait Placement {
    /// Returns a target of the service that is not in `exclude`, with its owner, or `None` if there
    /// is none. `seed` randomizes the selection.
    fn pick(
        &self,
        service: &id::Service,
        exclude: &[id::Target],
        seed: u64,
    ) -> Option<(id::Target, id::Router)>;

    /// Returns the owner of a target, or `None` if the target takes no new work.
    fn owner_of(&self, target: &id::Target) -> Option<id::Router>;
}
