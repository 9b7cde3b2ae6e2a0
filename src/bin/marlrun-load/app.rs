//! Command line of the load tool.

use clap::Parser;
use marlrun::{
    load::{Route, Settings, Target},
    unit::Span,
};
use std::{net::SocketAddr, path::PathBuf};

/// Sends seeded load to routers or targets, checks every answer and reports.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct App {
    /// Workload, a TOML file.
    #[arg(long, env = "MARLRUN_LOAD_WORKLOAD")]
    pub(crate) workload: PathBuf,
    /// Address of a router's interface for callers; repeat it for several.
    #[arg(long = "router", required_unless_present = "direct")]
    routers: Vec<SocketAddr>,
    /// Sends requests straight to the targets.
    #[arg(long, conflicts_with = "routers", requires = "targets")]
    direct: bool,
    /// Routers that a direct route acts as; they know nothing of each other.
    #[arg(long, default_value_t = 1)]
    direct_routers: usize,
    /// Stand-in of a target, as `service=address`; its account is read and compared.
    #[arg(long = "target")]
    targets: Vec<Target>,
    /// Seed of all random numbers.
    #[arg(long, env = "MARLRUN_LOAD_SEED", default_value_t = 1)]
    seed: u64,
    /// Time for which requests are sent.
    #[arg(long, default_value = "30s")]
    duration: Span,
    /// Time at the start that gaps and utilisation leave out.
    #[arg(long, default_value = "2s")]
    warmup: Span,
    /// Time after the end that requests get to finish.
    #[arg(long, default_value = "10s")]
    drain: Span,
    /// Time between two samples.
    #[arg(long, default_value = "100ms")]
    sample_interval: Span,
    /// Wait of a request from which on its workspace counts as backlogged.
    #[arg(long, default_value = "200ms")]
    backlog_after: Span,
    /// Threads.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// File for the report as JSON.
    #[arg(long)]
    pub(crate) json: Option<PathBuf>,
    /// Folder for the plots, one SVG file a service.
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
