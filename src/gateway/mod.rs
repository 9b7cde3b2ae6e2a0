//! HTTP gateway: routes client requests by host and path, forwards them to targets and relays the
//! responses.

mod caches;
mod call;
mod controller;
mod dialect;
mod driver;
mod error;
mod exchange;
mod framer;
mod handler;
mod head;
mod limiter;
mod outgoing;
mod record;
mod relay;
mod reply;
mod router;
mod settings;
mod signals;
mod state;
mod submission;

pub use self::{
    dialect::Dialect,
    driver::Driver,
    error::Error,
    framer::Framer,
    handler::Handler,
    head::Head,
    limiter::Limiter,
    outgoing::Outgoing,
    reply::Reply,
    router::{Reload, Router, run, spawn},
    settings::{Configuration, Decoder, Peer, Registry, Settings, Sources},
    state::State,
};
