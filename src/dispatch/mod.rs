//! Which target a request is sent to, in which order waiting requests go, and which are refused.
//!
//! A plain state machine without network, clock or threads. Each router decides for its own
//! requests, with the loads that all routers report to each other in view.

mod account;
mod action;
mod cache;
mod circle;
mod count;
mod end;
mod event;
mod health;
mod ledger;
mod machine;
mod offer;
mod pace;
mod peer;
mod placement;
mod prompt;
mod queue;
mod refusal;
mod request;
mod run;
mod settings;
mod share;
mod standing;
mod target;
mod told;
mod view;

pub use self::{
    action::Action,
    end::End,
    event::Event,
    machine::Dispatcher,
    offer::Offer,
    placement::Placement,
    prompt::{Part, Prompt},
    refusal::{Reason, Refusal},
    request::Request,
    settings::Settings,
    standing::Standing,
    told::{Audience, Told},
    view::View,
};
