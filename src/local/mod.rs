//! Fleet that runs in one process, for the quickstart and for benches.

mod error;
mod fleet;
mod settings;

pub use self::{
    error::Error,
    fleet::Fleet,
    settings::{Machine, Settings},
};
