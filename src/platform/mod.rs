//! Adapter for the deployment platform: translates its settings file, its store and its HTTP headers
//! into the types of this crate. Contains no routing decisions.

mod archive;
mod cache_events;
mod configuration;
mod difference;
mod evacuation;
mod header;
mod in_force;
mod json;
mod number;
mod plan;
mod registration;
mod row;
mod schema;
mod settings;
mod sources;
mod store;
mod table;
mod target;

pub use self::{
    configuration::{Findings, decode as decode_configuration},
    difference::differences,
    evacuation::decode as decode_evacuation,
    header::Header,
    in_force::InForce,
    plan::plan,
    registration::{Registration, decode as decode_registration},
    settings::{Error, Settings},
    store::Store,
    table::Table,
    target::decode as decode_target,
};
