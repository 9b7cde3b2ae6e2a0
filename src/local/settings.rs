//! Settings of a fleet in one process.

use crate::{
    id,
    standin::{engine, plain},
};

/// A target's stand-in.
#[derive(Clone, Copy, Debug)]
pub enum Machine {
    /// Model engine.
    Engine(engine::Settings),
    /// Plain service.
    Plain(plain::Settings),
}

/// Settings of a fleet in one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Base configuration in TOML, without the targets.
    pub base: Box<str>,
    /// Failure domains.
    pub domains: Vec<id::Domain>,
    /// Routers in each failure domain.
    pub routers_per_domain: usize,
    /// Targets in each failure domain.
    pub targets_per_domain: Vec<(id::Service, Machine)>,
    /// Threads that carry the traffic of each router.
    pub traffic_threads: usize,
}
