//! Report on a run.

mod findings;
mod held;
mod run;
mod service;
mod target;
mod workspace;

pub(super) use self::findings::Findings;
pub use self::{run::Run, service::Service, target::Target, workspace::Workspace};
