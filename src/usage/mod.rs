//! Aggregation of the workspaces' usage over all owners.
//!
//! Each workspace has one router in the fleet as its aggregator. Owners report cumulative usage to
//! it and get back the fleet-wide level: the cost of the workspace's requests divided by its
//! weight, in thousandths of a token.

mod aggregator;
mod event;
mod ledger;

pub use self::{aggregator::Aggregator, event::Event};
