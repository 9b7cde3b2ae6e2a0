//! Outcome of a granted claim.

/// Outcome of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The request completed, with its response if that is small enough to be stored.
    Finished(Option<Box<str>>),
    /// The request certainly did not run; the key can be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
}
