//! The configuration stored in the platform: a head row in the table and objects in the object store.
//!
//! The changes of each version are a separate object, written before the head row refers to it, so that the head row
//! never refers to a missing object. Objects of attempts that lost a race stay unreferenced.

mod access;
mod error;
mod outcome;
mod proposal;
mod stored;

pub use self::{access::Store, error::Error, outcome::Outcome, proposal::Proposal, stored::Stored};

/// Key of the head row.
const HEAD_KEY: &str = "config/head";
