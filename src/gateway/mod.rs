//! HTTP gateway: routes client requests by host and path, forwards them to targets and relays the
//! responses.

mod call;
mod dialect;
mod error;
mod events;
mod exchange;
mod fleet;
mod handler;
mod head;
mod hub;
mod keeper;
mod logbook;
mod outgoing;
mod pressure;
mod relay;
mod reply;
mod router;
mod settings;
mod shelves;
mod signals;
mod ticket;

pub use self::{
    dialect::Dialect,
    error::Error,
    events::Events,
    fleet::Fleet,
    handler::Handler,
    head::Head,
    hub::Hub,
    outgoing::Outgoing,
    pressure::Pressure,
    reply::Reply,
    router::{Reload, Router, run, spawn},
    settings::{Configuration, Decoder, Peer, Registry, Settings, Sources},
};
