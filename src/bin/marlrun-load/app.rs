//! Command line of the load generator.

use clap::Parser;
use marlrun::{
    load::{Route, Settings, Target},
    unit::Span,
};
use std::{net::SocketAddr, path::PathBuf};

/// Sends seeded load to routers or targets, checks every response and prints a report.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct App {
    /// TOML file that describes the workload.
    #[arg(long, env = "MARLRUN_LOAD_WORKLOAD")]
    pub(crate) workload: PathBuf,
    /// Address on which a router accepts callers' requests; repeat the flag for each router.
    #[arg(long = "router", required_unless_present = "direct")]
    routers: Vec<SocketAddr>,
    /// Sends requests directly to the targets, bypassing the routers.
    #[arg(long, conflicts_with = "routers", requires = "targets")]
    direct: bool,
    /// Number of independent routers to simulate with --direct; they share no state.
    #[arg(long, default_value_t = 1)]
    direct_routers: usize,
    /// Target stand-in as `service=address`; its statistics are compared with the responses; repeat the flag for each
    /// target.
    #[arg(long = "target")]
    targets: Vec<Target>,
    /// Seed of the random number generators.
    #[arg(long, env = "MARLRUN_LOAD_SEED", default_value_t = 1)]
    seed: u64,
    /// Time for which requests are sent (for example 30s).
    #[arg(long, default_value = "30s")]
    duration: Span,
    /// Time at the start that is excluded from gaps and utilisation.
    #[arg(long, default_value = "2s")]
    warmup: Span,
    /// Time that requests in flight get to finish after the end of --duration.
    #[arg(long, default_value = "10s")]
    drain: Span,
    /// Time between samples of the service given to each workspace.
    #[arg(long, default_value = "100ms")]
    sample_interval: Span,
    /// A workspace counts as backlogged once one of its requests has waited this long.
    #[arg(long, default_value = "200ms")]
    backlog_after: Span,
    /// Number of worker threads.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// File to write the report to, as JSON.
    #[arg(long)]
    pub(crate) json: Option<PathBuf>,
    /// Directory for the plots, one SVG file per service.
    #[arg(long)]
    pub(crate) plots: Option<PathBuf>,
}

impl App {
    /// Returns the settings of the run.
    pub(crate) fn settings(&self) -> Settings {
        Settings {
            route: if self.direct {
                Route::Direct {
                    routers: self.direct_routers,
                }
            } else {
                Route::Routers(self.routers.clone())
            },
            targets: self.targets.clone(),
            seed: self.seed,
            duration: self.duration,
            warmup: self.warmup,
            drain: self.drain,
            sample_interval: self.sample_interval,
            backlog_after: self.backlog_after,
            threads: self.threads,
        }
    }
}
