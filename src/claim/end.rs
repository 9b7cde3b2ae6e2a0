//! How a granted claim ended.

/// How a granted claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The operation ran; its answer if it is small enough to be stored.
    Finished(Option<Box<str>>),
    /// The operation certainly did not run; the key may be used again.
    NotRun,
    /// The operation may have run.
    Unknown,
}
