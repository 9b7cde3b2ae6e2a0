//! Claims on idempotency keys: at most one request with a key runs.
//!
//! A key that a caller chose is claimed by a conditional insert into the platform's table. A key
//! that a router issued is claimed at that router, which works while the platform is down.
//!
//! A claim has an identifier of its own, of type [`id::Attempt`](crate::id::Attempt). It covers all
//! attempts of its request.

mod action;
mod batcher;
mod event;
mod issuer;
mod key;
mod outcome;
mod record;
mod registry;
mod remote;
mod settings;
mod sweep;
mod verdict;
mod worker;

pub use self::{
    action::Action,
    event::Event,
    issuer::Issuer,
    key::Key,
    outcome::Outcome,
    record::{Record, State},
    registry::Registry,
    settings::Settings,
    verdict::Verdict,
    worker::Worker,
};
