//! Registered routers and the leaders of their failure domains.

mod entry;
mod machine;

pub use self::{entry::Entry, machine::Roster};
