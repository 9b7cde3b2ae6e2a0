//! Reading of the cache events of engines: which router reads which engine, when it calls next, and what a failed call, a
//! gap or a restart of the engine means.
//!
//! A state machine without network, clock or threads, meant for fleets of one to several hundred routers and engines: each
//! engine has a reader and a standby, and a router's calls are bounded however many engines it reads.

mod action;
mod applied;
mod batch;
mod call;
mod engine;
mod event;
mod fault;
mod item;
mod readers;
mod reading;
mod report;

pub use self::{
    action::Action,
    applied::Applied,
    batch::Batch,
    call::Call,
    engine::Engine,
    event::Event,
    fault::Fault,
    item::{Change, Item},
    readers::Readers,
    report::{Report, Reset},
};
