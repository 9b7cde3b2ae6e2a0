//! Stand-ins for the platform and for targets, for tests, benches and the quickstart.

mod cancels;
pub mod chat;
pub mod engine;
mod error;
mod generation;
mod handle;
mod ledger;
mod load;
pub mod plain;
pub mod platform;
mod reply;
mod script;
mod server;
mod slots;
mod target;
mod text;

pub use self::{
    error::Error,
    handle::Handle,
    ledger::{Count, Runs, Total},
    load::Load,
    script::Script,
    text::Text,
};
