//! Configuration that the operators declare: files, validation, storage and replication.

mod base;
mod change;
mod delta;
mod difference;
mod digest;
mod document;
mod engine;
mod finding;
mod fleet;
mod head;
mod limits;
mod load;
mod map;
mod overlay;
mod patch;
mod plan;
mod position;
mod reader;
mod render;
pub mod replica;
mod section;
mod service;
mod source;
mod step;
pub mod store;
mod target;
mod update;
mod workspace;

pub(crate) use self::reader::suggestion;
pub use self::{
    change::{Change, InvalidChange},
    delta::Delta,
    difference::Difference,
    digest::{Digest, InvalidDigest},
    document::{Account, Document},
    engine::Engine,
    finding::{Finding, Findings},
    fleet::Fleet,
    head::{Entry, Head},
    limits::Limits,
    load::{check, load},
    map::Map,
    overlay::Overlay,
    patch::Patch,
    plan::plan,
    position::Position,
    reader::Reader,
    replica::Replica,
    service::{Kind, Service},
    source::{Source, Unreadable},
    step::Step,
    store::Store,
    target::Target,
    update::{Malformed, Update},
    workspace::Workspace,
};
