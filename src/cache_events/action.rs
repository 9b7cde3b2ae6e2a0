//! Outputs of the readers.

use super::{Call, Report};

/// Output of the readers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call an engine, and pass on how it ended as [`super::Event::Ended`].
    Call(Call),
    /// Apply what a call brought, and pass on what it changed as [`super::Event::Applied`].
    Report(Report),
}
