//! Claims on idempotency keys: at most one request with a key runs.
//!
//! A key that a caller chose is claimed by a conditional insert into the platform's table. A key
//! that a router issued is claimed at that router, which works while the platform is down.

mod action;
mod batch;
mod end;
mod event;
mod issuer;
mod key;
mod record;
mod registry;
mod remote;
mod settings;
mod sweep;
mod verdict;
mod worker;

pub use self::{
    action::Action,
    end::End,
    event::Event,
    issuer::Issuer,
    key::Key,
    record::{Record, State},
    registry::Registry,
    settings::Settings,
    verdict::Verdict,
    worker::Worker,
};
