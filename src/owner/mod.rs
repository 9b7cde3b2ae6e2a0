//! Admission queues and weighted fair scheduling for the targets that a router owns.
//!
//! The router that accepted a request from its caller, the ingress, asks the owner of a target for
//! one of its concurrency slots. The owner keeps the requests in queues by workspace and grants a
//! free slot to the workspace with the lowest level.
//! Terms used in this module:
//!
//! - Level: normalized service of a workspace in the whole fleet, that is its cost divided by its
//!   weight, in thousandths of a token.
//! - Backlogged workspace: one with waiting requests.
//! - Floor: lowest level among the backlogged workspaces of a service at one owner.
//! - Charge: cost billed to a workspace; the estimate at the grant, the actual cost in the end.
//! - Quick and long: size classes of requests; some slots are reserved for quick ones.
//! - SFQ: start-time fair queueing. While levels are far apart, it decides a part of the grants, so
//!   that the workspace with the lowest level does not get all slots.
//! - Pull: an owner takes waiting requests from another one (work stealing), because it has free
//!   slots or because the requests there have lower levels.

mod account;
mod estimator;
mod event;
mod hold;
mod pool;
mod queue;
mod rate;
mod request;
mod scheduler;
mod slots;
mod snapshot;

pub use self::{
    account::Account,
    estimator::Estimator,
    event::{Event, Peer},
    queue::Queue,
    rate::Rate,
    scheduler::Scheduler,
    slots::Slots,
    snapshot::Snapshot,
};
