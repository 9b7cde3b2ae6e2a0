//! Queues of the targets that a router owns: who waits, who runs and who is next.

mod account;
mod entry;
mod estimator;
mod event;
mod hold;
mod machine;
mod pool;
mod queue;
mod rate;
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
