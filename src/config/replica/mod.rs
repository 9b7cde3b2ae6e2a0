//! One router's copy of the configuration.

mod action;
mod event;
mod machine;
mod origin;
mod reason;
mod state;

pub use self::{
    action::Action, event::Event, machine::Replica, origin::Origin, reason::Reason, state::State,
};
