//! Aggregation of the workspaces' usage over all owners.
//!
//! Every workspace has one router in the fleet that aggregates its usage, its tally. Owners report
//! cumulative usage to the tally and get back the fleet-wide level: the cost of the workspace's
//! requests divided by its weight, in thousandths of a token.

mod event;
mod ledger;
mod machine;

pub use self::{event::Event, machine::Tally};
