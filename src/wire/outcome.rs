//! How an attempt ended, as its ingress tells the owner.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target gave its whole answer.
    Answered,
    /// The target refused before it ran the request.
    NotRun,
    /// The target could not be reached; no byte of the request was sent.
    Unreachable,
    /// The connection or the answer broke after the request was sent.
    Broken,
    /// The caller went away or the deadline passed.
    Cancelled,
}
