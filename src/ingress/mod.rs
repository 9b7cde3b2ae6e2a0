//! Per-request state machine at the router that accepted the request: slot requests to the owners
//! of targets, grants, attempts and retries.
//!
//! The identifier of an attempt is assigned with its slot request. A request that gets no slot and
//! asks for another one does so under a new identifier.

mod action;
mod backoff;
mod budget;
mod context;
mod controller;
mod event;
mod job;
mod placement;
mod rejection;
mod request;
mod resume;
mod settings;
mod slot;

pub(crate) use self::budget::Budget;
pub use self::{
    action::Action,
    controller::Controller,
    event::Event,
    placement::Placement,
    rejection::{Cause, Rejection},
    request::Request,
    resume::Resume,
    settings::Settings,
};
