//! Actions that a registry emits for its caller to carry out.

use super::Verdict;
use crate::{id, table, wire};

/// Action that a registry emits for its caller to carry out. At most one call to the table is in
/// progress at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write rows; `Event::Written` follows.
    Write {
        /// Number of the call.
        call: u64,
        /// Conditional writes, applied all or none.
        writes: Vec<table::Write>,
    },
    /// Read rows; `Event::Read` follows.
    Read {
        /// Number of the call.
        call: u64,
        /// Keys of the rows.
        keys: Vec<Box<str>>,
    },
    /// Read rows in key order; `Event::Read` follows.
    Scan {
        /// Number of the call.
        call: u64,
        /// Prefix of the keys.
        prefix: Box<str>,
        /// Key after which to start.
        after: Box<str>,
        /// Maximum number of rows.
        limit: usize,
    },
    /// Send a message to a router.
    Send(wire::Envelope),
    /// Report the decision on a claim.
    Verdict {
        /// Identifier of the claim.
        attempt: id::Attempt,
        /// Decision.
        verdict: Verdict,
    },
}
