//! Replication of the configuration to a router, from the platform and from peers.

mod action;
mod event;
mod machine;
mod origin;
mod reason;
mod state;

pub use self::{
    action::Action, event::Event, machine::Replica, origin::Origin, reason::Reason, state::State,
};
