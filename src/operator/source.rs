//! What the operators' interface shows.

use super::{Request, Router, Status, Target, Workspace};
use crate::partition;

/// Source of what the operators' interface shows; called from several threads.
pub trait Source: Send + Sync {
    /// Returns the state of this router.
    fn status(&self) -> Status;

    /// Returns all routers that this one knows, itself included.
    fn routers(&self) -> Vec<Router>;

    /// Returns the workspaces that have or had work at this router.
    fn workspaces(&self) -> Vec<Workspace>;

    /// Returns all targets that this router knows.
    fn targets(&self) -> Vec<Target>;

    /// Returns a request by the identifier that its caller was given.
    fn request(&self, id: &str) -> Option<Request>;

    /// Starts a graceful shutdown; repeating it changes nothing.
    fn drain(&self);

    /// Returns the switch that cuts peers off, if faults may be set.
    fn cuts(&self) -> Option<&partition::Filter> {
        None
    }
}
