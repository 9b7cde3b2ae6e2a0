//! Report on a run.

use super::{
    Counts, Gap, Latency, Outcome, Route, Sample, Series, Settings, Workload, Workspace,
    account::{Account, Book},
    latency::Times,
    probe::{Probe, Reading},
};
use crate::{
    id,
    standin::Runs,
    unit::{Cost, Span, Time, Weight},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Lengths of the windows over which the gap is reported.
const WINDOWS: [Span; 4] = [
    Span::from_secs(1),
    Span::from_secs(5),
    Span::from_secs(10),
    Span::from_secs(30),
];

/// What a run gathered.
pub(super) struct Findings {
    pub(super) start: Time,
    pub(super) account: Account,
    pub(super) series: Series,
    pub(super) probes: Vec<Probe>,
    /// Runs at each probed target, after the end.
    pub(super) runs: Vec<Runs>,
}

/// Report on a run.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
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
    pub services: Vec<ServiceReport>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceReport>,
    /// Targets.
    pub targets: Vec<TargetReport>,
    /// Service of the workspaces over time.
    pub series: Series,
}

/// Report on one service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceReport {
    /// Service.
    pub service: id::Service,
    /// Slots of its targets.
    pub slots: u32,
    /// Part of the slots' time that requests held them.
    pub utilisation: f64,
    /// The same while a request had waited for long.
    pub utilisation_backlogged: f64,
    /// Time for which a request had waited for long, in seconds.
    pub backlogged_secs: f64,
    /// Slot-seconds that were idle in that time.
    pub idle_slot_secs: f64,
    /// Gap between backlogged workspaces over windows of several lengths, the whole run and any.
    pub gaps: Vec<Gap>,
}

/// Report on one workspace.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct WorkspaceReport {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Weight.
    pub weight: Weight,
    /// Requests by how they ended.
    pub counts: Counts,
    /// Service after the warmup, by service.
    pub served: BTreeMap<id::Service, Cost>,
    /// Part of the samples at which it was backlogged, by service.
    pub backlogged: BTreeMap<id::Service, f64>,
    /// Waits of its quick requests.
    pub quick_wait: Latency,
    /// Times to the first byte of its streams.
    pub first_byte: Latency,
}

/// Report on one target.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TargetReport {
    /// Service.
    pub service: id::Service,
    /// Address.
    pub address: SocketAddr,
    /// Slots.
    pub slots: u32,
    /// Part of the slots' time that requests held them.
    pub utilisation: f64,
    /// Seconds that requests waited inside the target, added up.
    pub queued_secs: f64,
    /// Runs that began, up to the last answer.
    pub started: u64,
    /// Runs that ended early.
    pub cancelled: u64,
    /// Tokens made.
    pub tokens: u64,
}

impl Report {
    /// Returns the report on what a run gathered.
    pub(super) fn of(settings: &Settings, workload: &Workload, findings: Findings) -> Self {
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
                .map(|service| ServiceReport::of(settings, &findings, service))
                .collect(),
            workspaces: workspaces
                .map(|workspace| WorkspaceReport::of(settings, &findings, workspace))
                .collect(),
            targets: findings
                .probes
                .iter()
                .zip(&findings.runs)
                .map(|(probe, runs)| TargetReport::of(settings, &findings, probe, runs))
                .collect(),
            series: findings.series,
        }
    }

    /// Returns what must not occur: wrong answers, double runs and false refusals.
    pub fn violations(&self) -> u64 {
        self.counts.wrong + self.ran_twice + self.refused_but_ran
    }
}

impl ServiceReport {
    fn of(settings: &Settings, findings: &Findings, service: id::Service) -> Self {
        let series = &findings.series;
        let lanes = series.lanes_of(&service);
        let samples = series.from(settings.warmup);
        let own = || {
            let probes = findings.probes.iter();
            probes.filter(|probe| probe.target.service == service)
        };
        let (mut all, mut backlogged) = (Held::default(), Held::default());
        for probe in own() {
            for pair in readings(settings, findings, probe).windows(2) {
                let held = Held::between(probe, &pair[0], &pair[1]);
                all.add(held);
                if is_backlogged(findings, &lanes, &pair[0], &pair[1]) {
                    backlogged.add(held);
                }
            }
        }
        let slots: u32 = own().map(|probe| probe.slots).sum();
        Self {
            slots,
            utilisation: all.part(),
            utilisation_backlogged: backlogged.part(),
            backlogged_secs: backlogged.capacity / f64::from(slots.max(1)),
            idle_slot_secs: backlogged.capacity - backlogged.busy,
            gaps: gaps(settings, series, samples, &lanes),
            service,
        }
    }
}

impl WorkspaceReport {
    fn of(settings: &Settings, findings: &Findings, workspace: &Workspace) -> Self {
        let series = &findings.series;
        let samples = series.from(settings.warmup);
        let numbered = series.lanes.iter().enumerate();
        let lanes = || {
            let own = |lane: &super::Lane| lane.workspace == workspace.name;
            numbered.clone().filter(move |(_, lane)| own(lane))
        };
        let served = |number: usize| match (samples.first(), samples.last()) {
            (Some(first), Some(last)) => last.served[number].saturating_sub(first.served[number]),
            _ => Cost(0),
        };
        let backlogged = |number: usize| {
            let count = samples.iter().filter(|s| s.backlogged[number]).count();
            count as f64 / samples.len().max(1) as f64
        };
        let book: Option<&Book> = findings.account.workspaces.get(&workspace.name);
        let book = book.cloned().unwrap_or_default();
        Self {
            workspace: workspace.name.clone(),
            weight: workspace.weight,
            counts: book.counts,
            served: lanes()
                .map(|(number, lane)| (lane.service.clone(), served(number)))
                .collect(),
            backlogged: lanes()
                .map(|(number, lane)| (lane.service.clone(), backlogged(number)))
                .collect(),
            quick_wait: book.quick.latency(),
            first_byte: book.first.latency(),
        }
    }
}

impl TargetReport {
    fn of(settings: &Settings, findings: &Findings, probe: &Probe, runs: &Runs) -> Self {
        let readings = readings(settings, findings, probe);
        let (mut held, mut queued) = (Held::default(), 0);
        if let (Some(first), Some(last)) = (readings.first(), readings.last()) {
            held = Held::between(probe, first, last);
            queued = last.total.queued_micros - first.total.queued_micros;
        }
        Self {
            service: probe.target.service.clone(),
            address: probe.target.address,
            slots: probe.slots,
            utilisation: held.part(),
            queued_secs: queued as f64 / 1e6,
            started: runs.total.started,
            cancelled: runs.total.cancelled,
            tokens: runs.total.tokens,
        }
    }
}

/// Slot-seconds held, of those there were.
#[derive(Clone, Copy, Default)]
struct Held {
    busy: f64,
    capacity: f64,
}

impl Held {
    fn between(probe: &Probe, first: &Reading, last: &Reading) -> Self {
        let busy = last.total.busy_micros - first.total.busy_micros;
        let passed = last.total.at_micros - first.total.at_micros;
        Self {
            busy: busy as f64 / 1e6,
            capacity: passed as f64 / 1e6 * f64::from(probe.slots),
        }
    }

    fn add(&mut self, other: Held) {
        self.busy += other.busy;
        self.capacity += other.capacity;
    }

    fn part(self) -> f64 {
        if self.capacity > 0.0 {
            self.busy / self.capacity
        } else {
            0.0
        }
    }
}

/// Returns a target's readings after the warmup.
fn readings<'a>(settings: &Settings, findings: &Findings, probe: &'a Probe) -> &'a [Reading] {
    let from = findings.start + settings.warmup;
    let first = probe.readings.partition_point(|r| r.at < from);
    &probe.readings[first..]
}

/// Reports whether some lane is backlogged at all samples between two readings.
fn is_backlogged(findings: &Findings, lanes: &[usize], first: &Reading, last: &Reading) -> bool {
    let millis = |reading: &Reading| reading.at.since(findings.start).as_millis();
    let samples = &findings.series.samples;
    let first = samples.partition_point(|s| s.at_ms < millis(first));
    let last = samples.partition_point(|s| s.at_ms <= millis(last));
    let mut samples = samples[first..last].iter();
    samples.len() > 0 && samples.all(|s| lanes.iter().any(|lane| s.backlogged[*lane]))
}

fn gaps(settings: &Settings, series: &Series, samples: &[Sample], lanes: &[usize]) -> Vec<Gap> {
    let interval = settings.sample_interval.as_millis().max(1);
    let lengths = WINDOWS.map(|window| (window.as_millis() / interval) as usize);
    let whole = samples.len().saturating_sub(1);
    let lengths = lengths.into_iter().filter(|length| *length < whole);
    let mut gaps: Vec<Gap> = lengths
        .chain([whole])
        .map(|length| Gap::sliding(series, samples, lanes, length))
        .collect();
    gaps.push(Gap::any(series, samples, lanes));
    gaps
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
