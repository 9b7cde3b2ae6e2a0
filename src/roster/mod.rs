//! Which routers there are, and which of them lead their failure domain.

mod entry;
mod machine;

pub use self::{entry::Entry, machine::Roster};
