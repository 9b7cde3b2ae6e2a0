//! What a target is known to support.

/// Abilities of a target's implementation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Engine {
    /// The target refuses an order with an old fencing number.
    pub fencing: bool,
    /// Another target of the service can resume a broken stream.
    pub resume: bool,
}
