//! Report on a run.

use super::{Findings, Service, Target, Workspace};
use crate::{
    id,
    load::{
        Counts, Latency, Outcome, Route, Series, Settings, Workload, account::Account,
        latency::Times,
    },
    standin::Runs,
};
use std::net::SocketAddr;

/// Report on a run.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// Seed.
    pub seed: u64,
    /// Time for which requests were sent, in seconds.
    pub duration_secs: f64,
    /// Time at the start that gaps and utilisation leave out, in seconds.
    pub warmup_secs: f64,
    /// Time between samples, in milliseconds.
    pub sample_ms: u64,
    /// Routers that requests were sent to; none if they were sent straight to targets.
    pub routers: Vec<SocketAddr>,
    /// Requests by how they ended.
    pub counts: Counts,
    /// Calls that ran more than once at the targets and may not.
    pub ran_twice: u64,
    /// Requests that were refused as not run, and ran.
    pub refused_but_ran: u64,
    /// What was wrong with the first wrong answers.
    pub wrong: Vec<Box<str>>,
    /// Time from sending to the first byte of streams.
    pub first_byte: Latency,
    /// Time between tokens of streams.
    pub between: Latency,
    /// Time from a target's sending of a token to its arrival at the caller, on one machine.
    pub transit: Latency,
    /// Time from sending to the first byte of quick requests, without the run time of calls.
    pub quick_wait: Latency,
    /// Services.
    pub services: Vec<Service>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Targets.
    pub targets: Vec<Target>,
    /// Service of the workspaces over time.
    pub series: Series,
}

impl Run {
    /// Returns the report on what a run gathered.
    pub(in crate::load) fn of(
        settings: &Settings,
        workload: &Workload,
        findings: Findings,
    ) -> Self {
        let account = &findings.account;
        let books = || account.workspaces.values();
        let mut counts = Counts::default();
        books().for_each(|book| counts.merge(&book.counts));
        let (ran_twice, refused_but_ran) = compare(account, &findings.runs);
        let workspaces = workload.workspaces.iter();
        Self {
            seed: settings.seed,
            duration_secs: settings.duration.as_secs_f64(),
            warmup_secs: settings.warmup.as_secs_f64(),
            sample_ms: settings.sample_interval.as_millis(),
            routers: match &settings.route {
                Route::Routers(routers) => routers.clone(),
                Route::Direct { .. } => Vec::new(),
            },
            counts,
            ran_twice,
            refused_but_ran,
            wrong: account.wrong.clone(),
            first_byte: merged(books().map(|book| &book.first)),
            between: account.between.latency(),
            transit: account.transit.latency(),
            quick_wait: merged(books().map(|book| &book.quick)),
            services: services(workload)
                .into_iter()
                .map(|service| Service::of(settings, &findings, service))
                .collect(),
            workspaces: workspaces
                .map(|workspace| Workspace::of(settings, &findings, workspace))
                .collect(),
            targets: findings
                .probes
                .iter()
                .zip(&findings.runs)
                .map(|(probe, runs)| Target::of(settings, &findings, probe, runs))
                .collect(),
            series: findings.series,
        }
    }

    /// Returns what must not occur: wrong answers, double runs and false refusals.
    pub fn violations(&self) -> u64 {
        self.counts.wrong + self.ran_twice + self.refused_but_ran
    }
}

/// Returns the services of a workload, each once.
fn services(workload: &Workload) -> Vec<id::Service> {
    let flows = workload.workspaces.iter().flat_map(|w| &w.flows);
    let mut services: Vec<id::Service> = flows.map(|flow| flow.service.clone()).collect();
    services.sort();
    services.dedup();
    services
}

fn merged<'a>(times: impl Iterator<Item = &'a Times>) -> Latency {
    let mut all = Times::default();
    times.for_each(|times| all.merge(times));
    all.latency()
}

/// Returns the requests that ran twice and may not, and those that were refused and ran.
fn compare(account: &Account, runs: &[Runs]) -> (u64, u64) {
    let (mut ran_twice, mut refused_but_ran) = (0, 0);
    for (content, ended) in &account.ended {
        let counts = runs.iter().filter_map(|runs| runs.contents.get(content));
        let started: u64 = counts.map(|count| count.started).sum();
        let refused = matches!(ended.outcome, Outcome::Refused(_) | Outcome::Unreachable);
        ran_twice += u64::from(started > 1 && !ended.repeatable);
        refused_but_ran += u64::from(started > 0 && refused);
    }
    (ran_twice, refused_but_ran)
}
