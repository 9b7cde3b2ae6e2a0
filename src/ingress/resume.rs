//! Where another target may go on with a broken answer.

/// Where another target may go on with a broken answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resume {
    /// At the start: nothing of the answer reached the caller.
    Start,
    /// After the event of this identifier (`Last-Event-ID`), the last one that the caller got.
    After(Box<str>),
    /// Nowhere: the caller got a part that no other target can continue.
    Never,
}
