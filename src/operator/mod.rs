//! Operator API of a router: JSON over HTTP, authorized by a key.

mod client;
mod request;
mod router;
mod server;
mod source;
mod status;
mod target;
mod workspace;

pub use self::{
    client::{Client, Error},
    request::{Phase, Request},
    router::Router,
    server::Server,
    source::Source,
    status::Status,
    target::Target,
    workspace::Workspace,
};
