//! Build of a service in a summary.

/// Build of which a target is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Build {
    /// Hash of the name of the service.
    pub service: u64,
    /// Key of the build, [`crate::id::Build::key`].
    pub build: u64,
}
