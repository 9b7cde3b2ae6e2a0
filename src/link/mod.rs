//! Links between routers: ordered batches of messages over capnp-rpc connections.

mod event;
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
