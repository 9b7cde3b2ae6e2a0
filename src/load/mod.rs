//! Seeded load on routers or targets, with a check of every answer and a report.

mod account;
mod answer;
mod arrival;
mod balance;
mod client;
mod driver;
mod error;
mod flow;
mod gap;
mod latency;
mod length;
mod meter;
mod outcome;
mod page;
mod plot;
mod probe;
mod report;
mod request;
mod route;
mod series;
mod settings;
mod spread;
mod workload;
mod workspace;

pub use self::{
    arrival::Arrival,
    driver::run,
    error::Error,
    flow::{Flow, Kind},
    gap::Gap,
    latency::Latency,
    length::Length,
    outcome::{Counts, Outcome},
    plot::plot,
    report::{Report, ServiceReport, TargetReport, WorkspaceReport},
    route::{Route, Target},
    series::{Lane, Sample, Series},
    settings::Settings,
    spread::Spread,
    workload::Workload,
    workspace::Workspace,
};
