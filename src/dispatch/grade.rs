//! Standing of a request in its workspace's share.

/// Standing of a request in its workspace's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Grade {
    /// It is within the share.
    Within,
    /// It is within the share of what engines serve beyond the configured capacity.
    Surplus,
    /// It may take spare capacity; its workspace is this much above its share, as a fraction of it.
    Spare(f64),
    /// It is refused, because other workspaces are refused, too.
    Beyond,
}
