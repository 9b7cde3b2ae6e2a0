//! How a granted claim ended.

/// How a granted claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request completed, with its response if that is small enough to be stored.
    Finished(Option<Box<str>>),
    /// The request certainly did not run; the key can be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
}
