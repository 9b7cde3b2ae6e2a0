//! Targets known to a router, maintained from a list that lags behind and is unavailable at times.

mod entry;
mod event;
mod machine;
mod memory;
mod run;
mod target;
mod verification;
mod write;

pub use self::{entry::Entry, event::Event, machine::Catalog, run::Run, target::Target};
