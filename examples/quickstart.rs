//! A small fleet in one process: stand-ins of the platform and of the targets, and four routers
//! in two failure domains. Sends real requests and prints their answers, then a load and its report.

use marlrun::{
    load::{self, Report, Route, Settings, Workload},
    local::{self, Fleet, Machine},
    standin::{chat, engine, plain},
    unit::Span,
};
use oxhttp::model::{Body, Request, Response, StatusCode};
use std::{error::Error, net::SocketAddr, thread, time::Duration};

const CONFIGURATION: &str = include_str!("quickstart.toml");
const WORKLOAD: &str = include_str!("load/quickstart.toml");
/// Slots of each target.
const SLOTS: u32 = 4;
const LOAD_DURATION: Span = Span::from_secs(10);
/// Tries, 100 ms apart, until the routers know each other and the targets.
const READY_TRIES: usize = 100;

fn main() -> Result<(), Box<dyn Error>> {
    let fleet = start_fleet()?;
    let routers = fleet.routers();
    println!("routers for callers: {routers:?}");
    await_ready(&routers)?;
    show_answers(&routers)?;
    let report = run_load(&fleet)?;
    println!("\n{report}");
    fleet.stop();
    if report.violations() > 0 {
        return Err("a promise was broken".into());
    }
    Ok(())
}

fn start_fleet() -> Result<Fleet, Box<dyn Error>> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = Machine::Engine(engine::Settings {
        listen,
        slots: SLOTS,
        first_token: Span::from_millis(20),
        token_interval: Span::from_millis(10),
        load_lag: Span::from_millis(200),
    });
    let panels = Machine::Plain(plain::Settings {
        listen,
        slots: SLOTS,
        duration: Span::from_millis(5),
        load_lag: Span::from_millis(200),
    });
    Ok(Fleet::spawn(&local::Settings {
        base: CONFIGURATION.into(),
        domains: vec!["north".parse()?, "south".parse()?],
        routers_per_domain: 2,
        targets_per_domain: vec![
            ("assistant".parse()?, engine),
            ("assistant".parse()?, engine),
            ("panels".parse()?, panels),
        ],
        traffic_threads: 1,
    })?)
}

/// Waits until each router answers a request.
fn await_ready(routers: &[SocketAddr]) -> Result<(), Box<dyn Error>> {
    for router in routers {
        let is_ready = |_| {
            let status = complete(*router, "example-desk", "ready?", 1, false).map(|a| a.status());
            let ready = status.is_ok_and(|status| status.is_success());
            if !ready {
                thread::sleep(Duration::from_millis(100));
            }
            ready
        };
        if !(0..READY_TRIES).any(is_ready) {
            return Err(format!("router {router} does not answer").into());
        }
    }
    Ok(())
}

fn show_answers(routers: &[SocketAddr]) -> Result<(), Box<dyn Error>> {
    let whole = complete(routers[0], "example-desk", "hello", 6, false)?;
    show("whole answer", whole)?;
    let streamed = complete(routers[1], "example-desk", "hello", 3, true)?;
    show("streamed answer", streamed)?;
    let call = Request::post(format!("http://{}/s/panels/rooms/7/check-in", routers[2]))
        .header("authorization", "Bearer example-floor")
        .body(Body::empty())?;
    show("check-in", oxhttp::Client::new().request(call)?)?;
    let refused = complete(routers[3], "nobody", "hello", 3, false)?;
    show("unknown key", refused)
}

fn complete(
    router: SocketAddr,
    key: &str,
    prompt: &str,
    tokens: u64,
    stream: bool,
) -> Result<Response<Body>, Box<dyn Error>> {
    let chat = chat::Request {
        model: "assistant".into(),
        messages: serde_json::json!([{"role": "user", "content": prompt}]),
        max_tokens: Some(tokens),
        stream,
        standin_tokens: None,
    };
    let request = Request::post(format!("http://{router}/v1/chat/completions"))
        .header("authorization", format!("Bearer {key}"))
        .body(Body::from(serde_json::to_vec(&chat)?))?;
    Ok(oxhttp::Client::new().request(request)?)
}

fn show(name: &str, answer: Response<Body>) -> Result<(), Box<dyn Error>> {
    let status: StatusCode = answer.status();
    let body = answer.into_body().to_string()?;
    println!("\n{name}: {status}\n{}", body.trim_end());
    Ok(())
}

fn run_load(fleet: &Fleet) -> Result<Report, Box<dyn Error>> {
    println!("\nload for {LOAD_DURATION} ...");
    let workload: Workload = toml::from_str(WORKLOAD)?;
    let settings = Settings {
        route: Route::Routers(fleet.routers()),
        targets: fleet.targets(),
        seed: 1,
        duration: LOAD_DURATION,
        warmup: Span::from_secs(2),
        drain: Span::from_secs(10),
        sample_interval: Span::from_millis(100),
        backlog_after: Span::from_millis(200),
        threads: 2,
    };
    Ok(load::run(settings, &workload)?)
}
