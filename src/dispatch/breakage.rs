//! Connections to a target that ended before their responses did.

use crate::unit::Time;

/// Connections to a target that ended before their responses did. If no other request of this router is
/// left there, the target has crashed.
#[derive(Clone, Debug)]
pub(super) struct Breakage {
    pub(super) at: Time,
    /// Number of connections.
    pub(super) broken: u32,
    /// The target has refused a connection since.
    pub(super) refused: bool,
    /// Parts of the prompts of requests whose answers had not begun or had just begun, each with the time
    /// at which the request was sent.
    pub(super) suspects: Vec<(u64, Time)>,
}

impl Breakage {
    pub(super) fn new(at: Time) -> Self {
        Self {
            at,
            broken: 0,
            refused: false,
            suspects: Vec::new(),
        }
    }
}
