//! Which service a request goes to, who may send it and how it may be repeated.

mod engine;
mod kind;
mod limits;
mod route;
mod service;
mod share;
mod table;

pub use self::{
    engine::Engine, kind::Kind, limits::Limits, route::Route, service::Service, share::Share,
    table::Table,
};
