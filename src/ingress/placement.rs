//! Choice of targets and their owners.

use crate::id;

/// Choice of targets and their owners, by the state of the fleet as this router knows it.
pub trait Placement {
    /// Returns a target of the service that is not in `exclude`, with its owner.
    fn pick(
        &self,
        service: &id::Service,
        exclude: &[id::Target],
        seed: u64,
    ) -> Option<(id::Target, id::Router)>;

    /// Returns the owner of a target, or `None` if the target takes no new work.
    fn owner_of(&self, target: &id::Target) -> Option<id::Router>;
}
