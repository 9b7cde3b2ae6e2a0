//! Evacuation of a failure domain, as an entry of the list of configurations tells it.

use crate::id;

/// Evacuation of a failure domain, as an entry of the list of configurations tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Failure domain; `None` if the entry names none that can exist.
    pub domain: Option<id::Domain>,
    /// Whether the entry is there; the evacuation is revoked if not.
    pub is_present: bool,
    /// What is wrong with the entry, which is in force all the same.
    pub fault: Option<Box<str>>,
}
