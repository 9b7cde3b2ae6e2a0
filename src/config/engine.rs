//! Optional features of a service's targets.

/// Optional features that all targets of a service support.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Engine {
    /// A target rejects requests with an outdated fencing token.
    pub fencing: bool,
    /// A broken stream can be resumed on another target of the service.
    pub resume: bool,
}
