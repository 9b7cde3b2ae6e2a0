//! Health probe of a target.

use crate::{catalog, unit::Time};

/// Health probe of a target, which is to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Target.
    pub target: catalog::Target,
    /// Path of its health check.
    pub path: Box<str>,
    /// Time of the decision. A probe that can't be written at once is to be dropped, since it counts as a request.
    pub sent: Time,
}
