//! The configuration in the platform: a head row in the table and bodies in the object store.
//!
//! Each version's changes are an object of their own, written before the head row names it, so that a head row
//! never points to nothing. Objects of tries that lost a race stay behind unreferenced.

mod access;
mod error;
mod outcome;
mod proposal;
mod stored;

pub use self::{access::Store, error::Error, outcome::Outcome, proposal::Proposal, stored::Stored};

/// Key of the head row.
const HEAD_KEY: &str = "config/head";
