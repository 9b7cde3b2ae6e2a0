//! Watches a list kept by the platform, through outages, gaps in its change history, and restores of the
//! platform from a copy.

mod decode;
mod event;
mod fault;
mod page;
mod position;
mod row;
mod source;
mod watcher;

pub use self::{
    decode::decode,
    event::Event,
    fault::Fault,
    page::Page,
    position::Position,
    row::Row,
    source::Source,
    watcher::{Settings, Watcher},
};
