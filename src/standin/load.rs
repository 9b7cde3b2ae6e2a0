//! Load of a target.

/// Load of a target at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}
