//! Position from which another target can resume an interrupted response.

/// Position from which another target can resume an interrupted response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resume {
    /// From the start: no part of the response reached the caller.
    Start,
    /// After the event with this identifier (`Last-Event-ID`), the last one that the caller
    /// received.
    After(Box<str>),
    /// Not at all: the caller received a part that no other target can continue.
    Never,
}
