//! Delay that a router adds to streamed tokens, beside that of a direct connection.

use marlrun::{
    load::{self, Arrival, Flow, Kind, Latency, Length, Report, Route, Settings, Spread, Workload},
    local::{self, Fleet, Machine},
    standin::engine,
    unit::{Span, Weight},
};
use std::{error::Error, net::SocketAddr, thread, time::Duration};

const BASE: &str = r#"
[sites.north]
domains = ["north"]

[services.assistant]
kind = "model"
idempotent = true
timeout = "60s"
engine = { resume = true }

[workspaces.callers]
# SHA-256 of `example-callers`.
key_sha256 = ["70efe5c31a81330d79be745e044c2587c068e005c7d81331a5f14b9e46c506e5"]
"#;
/// Time between two tokens.
const TOKEN_INTERVAL: Span = Span::from_millis(40);
/// Streams at once at each engine; as many as its slots, so that none waits.
const SLOTS: u32 = 16;
const ENGINES: usize = 4;
/// Time that the routers get to hear of each other.
const SETTLE: Duration = Duration::from_secs(2);

fn main() -> Result<(), Box<dyn Error>> {
    let fleet = start()?;
    thread::sleep(SETTLE);
    println!("tokens 40 ms apart, times in ms   tokens     p50     p95     p99     max");
    for streams in [1, SLOTS * ENGINES as u32] {
        let routers = fleet.routers();
        let routes = [
            ("direct", Route::Direct { routers: 1 }),
            ("1 router", Route::Routers(vec![routers[0]])),
            ("2 routers", Route::Routers(routers)),
        ];
        for (name, route) in routes {
            let report = run(&fleet, route, streams)?;
            print_row(
                &format!("{streams} streams, {name}, transit"),
                &report.transit,
            );
            print_row(
                &format!("{streams} streams, {name}, first byte"),
                &report.first_byte,
            );
        }
    }
    fleet.stop();
    Ok(())
}

fn start() -> Result<Fleet, Box<dyn Error>> {
    let engine = Machine::Engine(engine::Settings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        slots: SLOTS,
        first_token: Span(0),
        token_interval: TOKEN_INTERVAL,
        load_lag: Span::from_millis(200),
    });
    Ok(Fleet::spawn(&local::Settings {
        base: BASE.into(),
        domains: vec!["north".parse()?],
        routers_per_domain: 2,
        targets_per_domain: vec![("assistant".parse()?, engine); ENGINES],
        traffic_threads: 1,
    })?)
}

fn run(fleet: &Fleet, route: Route, streams: u32) -> Result<Report, Box<dyn Error>> {
    let flow = Flow {
        service: "assistant".parse()?,
        kind: Kind::Stream,
        arrival: Arrival::Callers(streams),
        length: Length::Uniform(20, 40),
        quick: false,
        hint_error: 1.0,
        method: "POST".into(),
        keyed: false,
        from: Span(0),
        until: None,
    };
    let workspace = load::Workspace {
        name: "callers".parse()?,
        weight: Weight::ONE,
        key: None,
        spread: Spread::Even,
        flows: vec![flow],
    };
    let settings = Settings {
        route,
        targets: fleet.targets(),
        seed: 1,
        duration: Span::from_secs(8),
        warmup: Span::from_secs(1),
        drain: Span::from_secs(5),
        sample_interval: Span::from_millis(100),
        backlog_after: Span::from_millis(200),
        threads: 2,
    };
    let workspaces = vec![workspace];
    let report = load::run(settings, &Workload { workspaces })?;
    if report.counts.answered < report.counts.sent {
        return Err(format!("not all streams came whole:\n{report}").into());
    }
    Ok(report)
}

fn print_row(name: &str, latency: &Latency) {
    println!(
        "{name:<33} {:>6} {:>7.2} {:>7.2} {:>7.2} {:>7.2}",
        latency.count, latency.p50_ms, latency.p95_ms, latency.p99_ms, latency.max_ms
    );
}
