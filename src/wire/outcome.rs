//! How an attempt ended, as its ingress reports it to the owner.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target's response was received completely.
    Answered,
    /// The target refused the request without running it, or no byte of it was sent.
    NotRun,
    /// No connection to the target could be opened; no byte of the request was sent.
    Unreachable,
    /// The connection failed or the response was invalid or incomplete, after the request was sent.
    Broken,
    /// The caller disconnected, the attempt was aborted, or its grant expired before it was sent.
    Cancelled,
}
