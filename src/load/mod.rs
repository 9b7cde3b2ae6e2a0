//! Seeded load on routers or targets, with a check of every answer and a report.

mod account;
mod answer;
mod arrival;
mod balance;
mod client;
mod counts;
mod driver;
mod error;
mod flow;
mod gap;
mod kind;
mod lane;
mod latency;
mod length;
mod meter;
mod outcome;
mod page;
mod plot;
mod probe;
pub mod report;
mod request;
mod route;
mod sample;
mod series;
mod settings;
mod spread;
mod target;
mod workload;
mod workspace;

pub use self::{
    arrival::Arrival, counts::Counts, driver::run, error::Error, flow::Flow, gap::Gap, kind::Kind,
    lane::Lane, latency::Latency, length::Length, outcome::Outcome, plot::plot,
    report::Run as Report, route::Route, sample::Sample, series::Series, settings::Settings,
    spread::Spread, target::Target, workload::Workload, workspace::Workspace,
};
