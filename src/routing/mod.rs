//! Routing table: which service a request goes to, which keys are valid and whether a request may
//! be retried.

mod engine;
mod kind;
mod limits;
mod route;
mod service;
mod split;
mod table;
mod transfer;
mod warm_up;

pub use self::{
    engine::Engine, kind::Kind, limits::Limits, route::Route, service::Service, split::Split,
    table::Table, transfer::Transfer, warm_up::WarmUp,
};
