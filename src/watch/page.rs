//! Page of a list.

use super::Position;
use crate::unit::Span;

/// Entries of a list at one position of its history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// Entries: all of them, or those that changed.
    pub entries: Vec<T>,
    /// Position of the list.
    pub position: Position,
    /// Time since the platform sent it.
    pub age: Span,
}
