//! Adapter to the users' platform: its settings file, its store and its headers, translated into
//! the project's own types. It decides nothing.

mod configuration;
mod feed;
mod header;
mod registration;
mod replica;
mod row;
mod settings;
mod sources;
mod store;

pub use self::{
    configuration::{Findings, decode as decode_configuration},
    feed::Feed,
    header::Header,
    registration::{Registration, Run, decode as decode_registration},
    replica::decode as decode_replica,
    row::Row,
    settings::{Settings, Unreadable},
    store::Store,
};
