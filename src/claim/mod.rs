//! Claims: at most one attempt runs an operation that must not be repeated.
//!
//! A key that a caller made is claimed by a conditional insert in the platform's table. A key that
//! a router issued is claimed at that router, which works with the platform down.

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
