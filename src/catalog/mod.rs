//! Live targets, from a list that lags behind and is lost at times.

mod machine;
mod target;

pub use self::{
    machine::{Catalog, Event, Listed},
    target::Target,
};
