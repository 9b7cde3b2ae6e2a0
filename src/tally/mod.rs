//! Fleet-wide service levels of the workspaces that a router adds up.

mod event;
mod ledger;
mod machine;

pub use self::{event::Event, machine::Tally};
