//! Admission queues and weighted fair scheduling for the targets that a router owns.
//!
//! An ingress asks the owner of a target for one of its concurrency slots. The owner keeps the
//! requests in queues by workspace and grants each free slot to the workspace with the lowest
//! level. Terms used in this module:
//!
//! - Level: normalized service of a workspace in the whole fleet, that is its cost divided by its
//!   weight, in thousandths of a token.
//! - Floor: lowest level among the backlogged workspaces of a service at one owner.
//! - Charge: cost billed to a workspace; the estimate at the grant, the actual cost in the end.
//! - Pull: an owner with free slots takes waiting requests from another owner (work stealing).

mod account;
mod estimator;
mod event;
mod hold;
mod machine;
mod pool;
mod queue;
mod rate;
mod request;
mod slots;
mod snapshot;

pub use self::{
    account::Account,
    estimator::Estimator,
    event::{Event, Peer},
    machine::Owner,
    queue::Queue,
    rate::Rate,
    slots::Slots,
    snapshot::Snapshot,
};
