//! Stand-ins for the platform and for targets, for tests, benches and the quickstart.

mod cancels;
pub mod chat;
mod cold;
mod count;
pub mod engine;
mod error;
mod gauge;
mod generation;
mod handle;
mod labels;
mod ledger;
mod load;
pub mod plain;
pub mod platform;
mod reply;
mod run;
mod runs;
mod script;
mod server;
mod slots;
mod target;
mod text;
mod total;
mod usage;

pub use self::{
    cold::WarmUp, count::Count, error::Error, handle::Handle, load::Load, runs::Runs,
    script::Script, text::Text, total::Total,
};
