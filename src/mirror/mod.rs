//! Cached copies of the platform's lists that routers serve to each other.
//!
//! Only a few routers of each failure domain read from the platform. The others ask these routers,
//! and the platform only if none of them answers. A router that cannot reach the platform falls
//! back to other routers as well.

mod cache;
mod handler;
mod page;
mod source;

pub use self::{
    cache::Cache,
    handler::Handler,
    source::{Peers, Source},
};
