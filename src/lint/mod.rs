//! Check of a configuration before it is put in force: what is wrong, what can never match, and which limits
//! contradict each other. `docs/design/check.md` says what can't be found without a running fleet.

mod check;
mod context;
mod field;
mod finding;
mod level;
mod plan;
mod report;
mod route;
mod service;
mod workspace;

pub use self::{
    check::check,
    context::Context,
    field::{Field, Fields},
    finding::Finding,
    level::Level,
    plan::Plan,
    report::Report,
    route::Route,
    service::Service,
    workspace::{Key, Workspace},
};
