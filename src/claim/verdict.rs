//! Decision on a claim.

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant may run its request; no other claimant may.
    Granted,
    /// An earlier request holds the claim and may still be running.
    Running,
    /// An earlier request completed, with its response if that was stored.
    Finished(Option<Box<str>>),
    /// It cannot be determined whether an earlier request ran; the claimant must not run.
    Unknown,
}
