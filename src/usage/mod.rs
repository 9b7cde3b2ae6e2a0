//! Aggregation of the workspaces' usage over all owners.
//!
//! One router in the fleet is the aggregator of a workspace. Owners report cumulative usage to it and
//! get back the fleet-wide level: the cost of the workspace's requests divided by its weight, in
//! thousandths of a token.

mod aggregator;
mod event;
mod ledger;

pub use self::{aggregator::Aggregator, event::Event};
