//! Router, or group of routers, among which limits are divided.

/// Router, or group of routers, among which limits are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Member {
    /// Hash of the name of the router, or of the one that leads the group.
    pub(super) key: u64,
    /// Requests per second that targets are sought for there.
    pub(super) demand: u32,
}
