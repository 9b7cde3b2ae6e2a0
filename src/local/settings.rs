//! Settings of an in-process fleet.

use crate::{
    id,
    standin::{engine, plain},
};

/// Settings of a target stand-in, by kind.
#[derive(Clone, Copy, Debug)]
pub enum Machine {
    /// Stand-in of a model engine.
    Engine(engine::Settings),
    /// Stand-in of a plain service.
    Plain(plain::Settings),
}

/// Settings of an in-process fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base configuration in TOML, without the targets.
    pub base: Box<str>,
    /// Failure domains.
    pub domains: Vec<id::Domain>,
    /// Number of routers in each failure domain.
    pub routers_per_domain: usize,
    /// Service and stand-in of each target in a failure domain; the same in every domain.
    pub targets_per_domain: Vec<(id::Service, Machine)>,
    /// Number of threads of each router that serve traffic.
    pub traffic_threads: usize,
}
