//! Targets known to a router, maintained from a list that lags behind and is unavailable at times.

mod machine;
mod run;
mod target;

pub use self::{
    machine::{Catalog, Entry, Event},
    run::Run,
    target::Target,
};
