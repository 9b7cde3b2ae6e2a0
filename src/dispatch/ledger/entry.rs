//! What one workspace asked for, was granted and lost.

use super::{Amount, Loss};
use std::collections::BTreeMap;

/// What one workspace asked for, was granted and lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Generations that arrived.
    pub asked: Amount,
    /// Generations that were sent to their first target.
    pub sent: Amount,
    /// Generations that a target began to answer.
    pub begun: Amount,
    /// Generations that ended before a target began them.
    pub lost: BTreeMap<Loss, Amount>,
}
