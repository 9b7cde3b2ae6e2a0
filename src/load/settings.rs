//! Settings of a run.

use super::{Route, Target};
use crate::unit::Span;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where requests are sent.
    pub route: Route,
    /// Targets: their stand-ins' accounts are read, and requests sent to them if the route says so.
    pub targets: Vec<Target>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time for which requests are sent.
    pub duration: Span,
    /// Time at the start that figures over time leave out.
    pub warmup: Span,
    /// Time after the end that requests get to finish.
    pub drain: Span,
    /// Time between two samples of the service given.
    pub sample_interval: Span,
    /// Wait of a request from which on its workspace counts as backlogged.
    pub backlog_after: Span,
    /// Threads.
    pub threads: usize,
}
