//! A small fleet in one process: stand-ins of the platform and of the targets, and four routers
//! in two failure domains. Sends real requests and prints their answers, then a load and its report.

use marlrun::{
    daemon::{self, Daemon},
    front, id,
    load::{self, Report, Route, Settings, Target, Workload},
    log,
    platform::Memory,
    standin::{Handle, chat, engine, plain, platform},
    unit::Span,
};
use oxhttp::model::{Body, Request, Response, StatusCode};
use std::{
    error::Error,
    fmt::Write,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process,
    sync::Arc,
    thread,
    time::Duration,
};

const CONFIGURATION: &str = include_str!("quickstart.toml");
const WORKLOAD: &str = include_str!("load/quickstart.toml");
const DOMAINS: [&str; 2] = ["north", "south"];
const ROUTERS_PER_DOMAIN: usize = 2;
const ENGINES_PER_DOMAIN: usize = 2;
const SLOTS: u32 = 4;
const LOAD_DURATION: Span = Span::from_secs(10);
/// Tries, 100 ms apart, until the routers know each other and the targets.
const READY_TRIES: usize = 100;

fn main() -> Result<(), Box<dyn Error>> {
    let platform = start_platform()?;
    let targets = Targets::start()?;
    let base = targets.write_configuration()?;
    let routers = start_routers(platform.address(), &base)?;
    let addresses: Vec<SocketAddr> = routers.iter().map(Daemon::address).collect();
    println!("routers for callers: {addresses:?}");
    await_ready(&addresses)?;
    show_answers(&addresses)?;
    let report = run_load(addresses, &targets)?;
    println!("\n{report}");
    routers.into_iter().for_each(Daemon::drain);
    fs::remove_file(base)?;
    if report.violations() > 0 {
        return Err("a promise was broken".into());
    }
    Ok(())
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start_platform() -> Result<Handle, Box<dyn Error>> {
    Ok(platform::bind(platform::Settings {
        listen: any_port(),
        list_lag: Span::from_secs(2),
        memory: Arc::new(Memory::open()),
    })?)
}

/// Stand-ins of targets by failure domain and service.
struct Targets(Vec<(&'static str, &'static str, Handle)>);

impl Targets {
    fn start() -> Result<Self, Box<dyn Error>> {
        let mut targets = Vec::new();
        for domain in DOMAINS {
            for _ in 0..ENGINES_PER_DOMAIN {
                targets.push((domain, "assistant", start_engine()?));
            }
            targets.push((domain, "panels", start_panels()?));
        }
        Ok(Self(targets))
    }

    /// Writes the configuration with the targets to a file.
    fn write_configuration(&self) -> Result<PathBuf, Box<dyn Error>> {
        let mut text = String::from(CONFIGURATION);
        for (number, (domain, service, handle)) in self.0.iter().enumerate() {
            let address = handle.address();
            writeln!(text, "[targets.{service}-{number}]")?;
            writeln!(text, "service = \"{service}\"\ndomain = \"{domain}\"")?;
            writeln!(text, "address = \"{address}\"\nslots = {SLOTS}\n")?;
        }
        let path = std::env::temp_dir().join(format!("marlrun-quickstart-{}.toml", process::id()));
        fs::write(&path, text)?;
        Ok(path)
    }

    fn for_load(&self) -> Result<Vec<Target>, id::Invalid> {
        let target = |(_, service, handle): &(&str, &str, Handle)| {
            let address = handle.address();
            service.parse().map(|service| Target { service, address })
        };
        self.0.iter().map(target).collect()
    }
}

fn start_engine() -> Result<Handle, Box<dyn Error>> {
    Ok(engine::bind(engine::Settings {
        listen: any_port(),
        slots: SLOTS,
        first_token: Span::from_millis(20),
        token_interval: Span::from_millis(10),
        load_lag: Span::from_millis(200),
    })?)
}

fn start_panels() -> Result<Handle, Box<dyn Error>> {
    Ok(plain::bind(plain::Settings {
        listen: any_port(),
        slots: SLOTS,
        duration: Span::from_millis(5),
        load_lag: Span::from_millis(200),
    })?)
}

fn start_routers(platform: SocketAddr, base: &Path) -> Result<Vec<Daemon>, Box<dyn Error>> {
    let mut routers: Vec<Daemon> = Vec::new();
    for domain in DOMAINS {
        for number in 1..=ROUTERS_PER_DOMAIN {
            let settings = daemon::Settings {
                router: format!("{domain}-{number}").parse()?,
                domain: domain.parse()?,
                listen: any_port(),
                peer: any_port(),
                health: None,
                operator: None,
                operator_key: None,
                fleet_key: None,
                platform: Some(platform),
                seeds: routers.iter().map(Daemon::peer).collect(),
                base: Some(base.into()),
                overlay: None,
                limits: front::Limits::default(),
                traffic_threads: 1,
                drain_timeout: Span::from_secs(10),
                fault_injection: false,
                log_level: log::Level::Error,
            };
            routers.push(daemon::spawn(settings, &log::discard())?);
        }
    }
    Ok(routers)
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

fn run_load(routers: Vec<SocketAddr>, targets: &Targets) -> Result<Report, Box<dyn Error>> {
    println!("\nload for {LOAD_DURATION} ...");
    let workload: Workload = toml::from_str(WORKLOAD)?;
    let settings = Settings {
        route: Route::Routers(routers),
        targets: targets.for_load()?,
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
