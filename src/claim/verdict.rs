//! Answer to a claim.

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant may run the operation; nobody else may.
    Granted,
    /// An earlier try holds the claim and may still run.
    Running,
    /// An earlier try ran to its end; its answer if it was stored.
    Finished(Option<Box<str>>),
    /// Whether an earlier try ran cannot be told; the claimant must not run.
    Unknown,
}
