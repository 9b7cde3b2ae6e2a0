//! Per-request state machine at the router that accepted the request: slot requests to the owners
//! of targets, grants, attempts and retries.

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
    rejection::{Doubt, Rejection},
    request::Request,
    resume::Resume,
    settings::Settings,
};
