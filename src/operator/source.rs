//! Data behind the operator API.

use super::{Request, Router, Status, Target, Workspace};
use crate::partition;

/// Data and actions behind the operator API; called from several threads.
pub trait Source: Send + Sync {
    /// Returns the state of this router.
    fn status(&self) -> Status;

    /// Returns all routers that this one knows, itself included.
    fn routers(&self) -> Vec<Router>;

    /// Returns the workspaces that have or had requests at this router.
    fn workspaces(&self) -> Vec<Workspace>;

    /// Returns all targets that this router knows.
    fn targets(&self) -> Vec<Target>;

    /// Returns a request by the identifier that was returned to its client.
    fn request(&self, id: &str) -> Option<Request>;

    /// Starts a graceful shutdown; further calls have no effect.
    fn drain(&self);

    /// Returns the filter that simulates partitions, if fault injection is enabled.
    fn partition_filter(&self) -> Option<&partition::Filter> {
        None
    }
}
