//! Adapter for the deployment platform: translates its settings file, its store and its HTTP headers
//! into the types of this crate. Contains no routing decisions.

mod configuration;
mod header;
mod registration;
mod replica;
mod row;
mod settings;
mod sources;
mod store;
mod table;

pub use self::{
    configuration::{Findings, decode as decode_configuration},
    header::Header,
    registration::{Registration, decode as decode_registration},
    replica::decode as decode_replica,
    settings::{Settings, Unreadable},
    store::Store,
    table::Table,
};
