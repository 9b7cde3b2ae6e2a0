//! Routers as separate processes on the same seeded load: marlrun, its baselines and one central queue,
//! at the sizes of both deployments and with two and four times the routers.
//!
//! `cargo bench --bench fleet -- FILTER` runs the rows whose name contains the filter.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Caller, Fleet};
use marlrun::{
    load::{self, Arrival, Flow, Kind, Length, Report, Route, Settings, Spread, Target, Workload},
    unit::{Span, Weight},
};
use std::{env, error::Error, net::SocketAddr};

/// Slots of a model engine.
const ENGINE_SLOTS: u32 = 8;
/// Slots of a plain service.
const PLAIN_SLOTS: u32 = 8;
const WARMUP: Span = Span::from_secs(5);
const DURATION: Span = Span::from_secs(25);
const SAMPLE: Span = Span::from_millis(100);
const SEED: u64 = 1;
/// Workspaces with many callers and four times the entitlement.
const LARGE: usize = 3;
/// Workspaces with few callers.
const SMALL: usize = 8;
/// Workspaces with quick calls only.
const QUICK: usize = 5;

/// Places and services of a deployment.
struct Deployment {
    name: &'static str,
    domains: &'static [&'static str],
    routers: usize,
    engines: usize,
    plains: usize,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "mtatsminda",
        domains: &["saburtalo", "vake", "didube", "isani"],
        routers: 7,
        engines: 12,
        plains: 4,
    },
    Deployment {
        name: "granite-relay",
        domains: &["hall-portland", "hall-worcester", "hall-concord"],
        routers: 6,
        engines: 12,
        plains: 3,
    },
];

/// Way of sharing that a row shows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each router alone sends to the target with the fewest of its own requests, first come first served.
    LeastLoaded,
    /// Each router alone has a fair queue for all targets.
    AloneFair,
    /// One router for all: one central queue.
    Central,
    /// The fleet.
    Marlrun,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::LeastLoaded => "least loaded, alone",
            Way::AloneFair => "fair queue, alone",
            Way::Central => "one central queue",
            Way::Marlrun => "marlrun",
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let filter = env::args()
        .skip(1)
        .find(|argument| !argument.starts_with('-'));
    println!(
        "{:<14} {:<20} {:>7} {:>9} {:>9} {:>7} {:>8} {:>9} {:>9} {:>9} {:>8} {:>7}",
        "deployment",
        "way",
        "routers",
        "gap",
        "gap 5 s",
        "held %",
        "held busy",
        "quick p99",
        "first p95",
        "ctl B/s",
        "ctl CPU%",
        "refused"
    );
    for deployment in &DEPLOYMENTS {
        for way in [Way::LeastLoaded, Way::AloneFair, Way::Central, Way::Marlrun] {
            for times in [1, 2, 4] {
                let row = format!("{} {} x{times}", deployment.name, way.name());
                let wanted = filter
                    .as_ref()
                    .is_none_or(|filter| row.contains(filter.as_str()));
                if !wanted || (way == Way::Central && times > 1) {
                    continue;
                }
                run(deployment, way, times)?;
            }
        }
    }
    Ok(())
}

fn run(deployment: &Deployment, way: Way, times: usize) -> Result<(), Box<dyn Error>> {
    let count = match way {
        Way::Central => 1,
        _ => deployment.routers * times,
    };
    let fleet = start(deployment, way, count);
    let routers: Vec<SocketAddr> = fleet
        .addresses
        .values()
        .map(|router| router.listen)
        .collect();
    let route = match way {
        Way::LeastLoaded => Route::Direct { routers: count },
        _ => Route::Routers(routers),
    };
    let before = spent(&fleet);
    let report = load::run(settings(&fleet, route), &workload()?)?;
    let after = spent(&fleet);
    print_row(
        deployment,
        way,
        count,
        &report,
        (after.0 - before.0, after.1 - before.1),
    );
    if report.violations() > 0 {
        return Err(format!("a promise was broken:\n{report}").into());
    }
    Ok(())
}

fn start(deployment: &Deployment, way: Way, count: usize) -> Fleet {
    let names = names();
    let workspaces: Vec<_> = names
        .iter()
        .map(|(name, weight)| (name.as_str(), *weight))
        .collect();
    let mut fleet = Fleet::with(deployment.domains, &workspaces);
    fleet.alone = way == Way::AloneFair;
    let domain = |index: usize| deployment.domains[index % deployment.domains.len()];
    for index in 0..deployment.engines {
        let interval = ["--token-interval", "10ms"];
        fleet.start_target(
            &format!("engine-{index}"),
            "assistant",
            domain(index),
            ENGINE_SLOTS,
            &interval,
        );
    }
    for index in 0..deployment.plains {
        fleet.start_target(
            &format!("plain-{index}"),
            "panels",
            domain(index),
            PLAIN_SLOTS,
            &[],
        );
    }
    if way != Way::LeastLoaded {
        let names: Vec<_> = (0..count).map(|index| format!("router-{index}")).collect();
        let routers = names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.as_str(), domain(index)));
        fleet.start_routers(&routers.collect::<Vec<_>>());
    }
    fleet
}

/// Returns the names and weights of the workspaces.
fn names() -> Vec<(String, u32)> {
    let large = (0..LARGE).map(|index| (format!("large-{index}"), 4));
    let small = (0..SMALL).map(|index| (format!("small-{index}"), 1));
    let quick = (0..QUICK).map(|index| (format!("quick-{index}"), 1));
    large.chain(small).chain(quick).collect()
}

fn workload() -> Result<Workload, Box<dyn Error>> {
    let mut workspaces = Vec::new();
    for (index, (name, weight)) in names().into_iter().enumerate() {
        let flows = if index < LARGE {
            vec![plans(40)?]
        } else if index < LARGE + SMALL {
            vec![plans(12)?]
        } else {
            vec![questions()?, signals()?]
        };
        workspaces.push(load::Workspace {
            key: Some(format!("key-{name}").into()),
            name: name.parse()?,
            weight: Weight::new(weight).ok_or("weight out of range")?,
            spread: if index % 2 == 0 {
                Spread::Home
            } else {
                Spread::Skewed
            },
            flows,
        });
    }
    Ok(Workload { workspaces })
}

/// Returns long plans in a closed loop, with hints that are wrong by up to three times.
fn plans(callers: u32) -> Result<Flow, Box<dyn Error>> {
    Ok(Flow {
        service: "assistant".parse()?,
        kind: Kind::Stream,
        arrival: Arrival::Callers(callers),
        length: Length::Exponential(150),
        quick: false,
        hint_error: 3.0,
        method: "POST".into(),
        keyed: false,
        from: Span(0),
        until: None,
    })
}

/// Returns quick questions in an open loop.
fn questions() -> Result<Flow, Box<dyn Error>> {
    Ok(Flow {
        kind: Kind::Whole,
        arrival: Arrival::Rate(2.0),
        length: Length::Uniform(2, 8),
        quick: true,
        hint_error: 1.0,
        ..plans(1)?
    })
}

/// Returns calls of the plain service in an open loop.
fn signals() -> Result<Flow, Box<dyn Error>> {
    Ok(Flow {
        service: "panels".parse()?,
        kind: Kind::Call,
        arrival: Arrival::Rate(4.0),
        length: Length::Uniform(5, 20),
        ..questions()?
    })
}

fn settings(fleet: &Fleet, route: Route) -> Settings {
    let targets = fleet.targets.iter().map(|(name, (_, address))| Target {
        service: if name.starts_with("engine") {
            "assistant"
        } else {
            "panels"
        }
        .parse()
        .expect("a name"),
        address: *address,
    });
    Settings {
        route,
        targets: targets.collect(),
        seed: SEED,
        duration: DURATION,
        warmup: WARMUP,
        drain: Span::from_secs(15),
        sample_interval: SAMPLE,
        backlog_after: Span::from_millis(200),
        threads: 2,
    }
}

/// Returns the control seconds and bytes that all routers spent so far.
fn spent(fleet: &Fleet) -> (f64, f64) {
    let pages = fleet.addresses.values().filter_map(|addresses| {
        let page = Caller::new(addresses.health, "").send("GET", "/metrics", &[], "");
        page.ok().map(|page| page.body)
    });
    let (mut busy, mut bytes) = (0.0, 0.0);
    for page in pages {
        busy += value(&page, "marlrun_control_busy_seconds_total");
        bytes += value(&page, "marlrun_control_sent_bytes_total");
    }
    (busy, bytes)
}

/// Adds up the series of a metric.
fn value(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

fn print_row(
    deployment: &Deployment,
    way: Way,
    routers: usize,
    report: &Report,
    spent: (f64, f64),
) {
    let model = report
        .services
        .iter()
        .find(|service| service.service.as_str() == "assistant");
    let Some(model) = model else {
        return;
    };
    let gap = |span: Span| {
        let samples = (span.0 / SAMPLE.0) as usize;
        let windows = model.gaps.iter().filter(|gap| gap.samples > 0);
        let nearest = windows.min_by_key(|gap| gap.samples.abs_diff(samples));
        nearest.map_or(0.0, |gap| gap.max)
    };
    let seconds = report.duration_secs;
    let per_router = |total: f64| total / seconds / routers as f64;
    println!(
        "{:<14} {:<20} {routers:>7} {:>9.1} {:>9.1} {:>7.2} {:>8.2} {:>9.1} {:>9.1} {:>9.0} {:>8.2} {:>7}",
        deployment.name,
        way.name(),
        gap(Span(DURATION.0 - WARMUP.0)),
        gap(Span::from_secs(5)),
        model.utilisation * 100.0,
        model.utilisation_backlogged * 100.0,
        report.quick_wait.p99_ms,
        report.first_byte.p95_ms,
        per_router(spent.1),
        per_router(spent.0) * 100.0,
        report.counts.refused,
    );
}
