//! Configuration in force: what the operators declared.

mod engine;
mod fleet;
mod service;
mod target;
mod workspace;

pub use self::{
    engine::Engine,
    fleet::Fleet,
    service::{Kind, Service},
    target::Target,
    workspace::Workspace,
};
