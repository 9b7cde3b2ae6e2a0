//! Links between routers: ordered delivery of messages, in batches over Cap'n Proto RPC.

mod event;
mod gate;
mod handshake;
mod links;
mod peer;
mod server;
mod settings;

pub use self::{
    event::Event,
    links::{Error, Links},
    settings::Settings,
};
