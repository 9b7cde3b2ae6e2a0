//! The router daemon: its settings, its control thread, and the threads and servers around it.

mod control;
mod error;
mod event;
mod handle;
mod platform;
mod recent;
mod routes;
mod settings;
mod state;

pub use self::{
    error::Error,
    handle::{Daemon, run, spawn},
    settings::{Finding, Flags, Secret, Settings},
};
