//! Watches a list kept by the platform, through outages and gaps in its change history.

mod decode;
mod event;
mod fault;
mod page;
mod row;
mod source;
mod watcher;

pub use self::{
    decode::decode,
    event::Event,
    fault::Fault,
    page::Page,
    row::Row,
    source::Source,
    watcher::{Settings, Watcher},
};
