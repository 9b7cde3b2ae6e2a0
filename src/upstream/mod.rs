//! HTTP connections to targets.

mod monitor;
mod pool;
mod sending;
mod upload;
mod wire;

pub use self::{
    pool::{Body, Lease, Pool},
    upload::Upload,
};
