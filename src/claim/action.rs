//! Actions that a registry asks for.

use super::Verdict;
use crate::{id, table, wire};

/// Action that a registry asks for. One call to the table is under way at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write rows; `Event::Written` follows.
    Write {
        /// Number of the call.
        call: u64,
        /// Rows.
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
        /// Rows, at most.
        limit: usize,
    },
    /// Send a message to a router.
    Send(wire::Envelope),
    /// Tell the answer to a claim.
    Verdict {
        /// Attempt that claimed.
        attempt: id::Attempt,
        /// Answer.
        verdict: Verdict,
    },
}
