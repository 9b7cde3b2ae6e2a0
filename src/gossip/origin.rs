//! Build at which a stream began.

use crate::id;

/// Build at which a stream began. Another router continues the stream at targets of that build only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Hash of the name of the service.
    pub service: u64,
    /// Key of the build, [`id::Build::key`].
    pub build: u64,
    /// Whether routers that have not just started know it already, so that it is not passed on.
    pub repeated: bool,
    /// Stream.
    pub stream: id::Stream,
}
