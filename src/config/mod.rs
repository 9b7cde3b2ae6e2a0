//! Configuration in force: what the operators declared.

mod base;
mod delta;
mod difference;
mod digest;
mod document;
mod engine;
mod finding;
mod fleet;
mod head;
mod load;
mod map;
mod overlay;
mod place;
mod reader;
mod render;
pub mod replica;
mod section;
mod service;
mod source;
pub mod store;
mod target;
mod update;
mod workspace;

pub use self::{
    delta::Delta,
    difference::Difference,
    digest::{Digest, InvalidDigest},
    document::{Document, Holder},
    engine::Engine,
    finding::{Finding, Findings},
    fleet::Fleet,
    head::{Change, Entry, Head, InvalidChange},
    load::{check, load},
    map::Map,
    overlay::{Limits, Overlay, Patch},
    place::Place,
    replica::Replica,
    service::{Kind, Service},
    source::{Source, Unreadable},
    store::Store,
    target::Target,
    update::{Damaged, Step, Update},
    workspace::Workspace,
};
