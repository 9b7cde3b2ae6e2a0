//! Configuration in force: what the operators declared.

mod base;
mod digest;
mod document;
mod engine;
mod finding;
mod fleet;
mod load;
mod overlay;
mod place;
mod reader;
mod section;
mod service;
mod source;
mod target;
mod workspace;

pub use self::{
    digest::{Digest, InvalidDigest},
    document::{Document, Holder},
    engine::Engine,
    finding::{Finding, Findings},
    fleet::Fleet,
    load::{check, load},
    overlay::{Limits, Overlay, Patch},
    place::Place,
    service::{Kind, Service},
    source::{Source, Unreadable},
    target::Target,
    workspace::Workspace,
};
