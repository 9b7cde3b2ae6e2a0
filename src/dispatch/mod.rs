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
mod allocation;
mod allowance;
mod announced;
mod announcements;
mod attempt;
mod baseline;
mod batch;
mod beginning;
mod breakage;
mod builds;
mod cache;
mod capacity;
mod cause;
mod credit;
mod demand;
mod departed;
mod dispatcher;
mod durations;
mod estimate;
mod event;
mod grade;
mod hazards;
mod health;
mod history;
mod ledger;
mod limit;
mod limited;
mod limits;
mod listing;
mod member;
mod meter;
mod notices;
mod origins;
mod outcome;
mod pacer;
mod pause;
mod peer;
mod policy;
mod probe;
mod prompt;
mod queue;
mod quota;
mod reading;
mod refusal;
mod request;
mod settings;
mod share;
mod shared_parts;
mod source;
mod speed;
mod standing;
mod target;
mod tokens;
mod topology;
mod typical;
mod view;
mod warm_up;
mod warming;

pub use self::{
    action::Action,
    allocation::Allocation,
    batch::Batch,
    cause::Cause,
    demand::Demand,
    dispatcher::Dispatcher,
    estimate::Estimate,
    event::Event,
    history::History,
    ledger::{Amount, Entry, Loss},
    limited::Limited,
    outcome::Outcome,
    policy::Policy,
    probe::Probe,
    prompt::{Part, Prompt},
    refusal::{Reason, Refusal},
    request::{Request, Resumption, silence_timeout},
    settings::Settings,
    source::Source,
    standing::Standing,
    view::View,
    warming::Warming,
};
