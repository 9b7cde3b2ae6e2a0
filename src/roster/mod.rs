//! Registered routers and the leaders of their failure domains.
//!
//! In a large fleet the leaders exchange summaries of loads with each other. Any other router
//! follows one router of its failure domain, if possible a leader: it sends its summary to that
//! router and gets a summary of all others from it.

mod census;
mod entry;
mod routers;

pub use self::{entry::Entry, routers::Roster};
