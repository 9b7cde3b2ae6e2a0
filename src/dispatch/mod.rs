//! Load balancing and admission: which target a request is sent to, in which order queued requests
//! are sent, and which requests are refused.
//!
//! A state machine without network, clock or threads. Each router decides about its own requests,
//! based on the loads that all routers report to each other by gossip.
//!
//! A generation at a model engine has two phases: the engine processes the prompt (prefill), then
//! streams the generated tokens. Engines keep processed parts of prompts in a cache.

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
