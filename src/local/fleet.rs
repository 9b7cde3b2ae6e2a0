//! In-process fleet.

use super::{Error, Machine, Settings};
use crate::{
    daemon::{self, Daemon},
    front, id, load, log,
    standin::{Handle, engine, plain, platform},
    table::Memory,
    unit::Span,
};
use std::{
    env,
    fmt::Write,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Delay before readers of the platform stand-in see a change of the list of VMs.
const LIST_LAG: Span = Span::from_secs(2);
/// Timeout for the graceful shutdown of a router.
const DRAIN_TIMEOUT: Span = Span::from_secs(10);

/// Number of fleets started by this process; makes the names of their files unique.
static STARTED_FLEETS: AtomicU64 = AtomicU64::new(0);

/// Target stand-in with its failure domain and service.
struct Target {
    domain: id::Domain,
    service: id::Service,
    slots: u32,
    handle: Handle,
}

/// Running fleet: a stand-in of the platform, stand-ins of targets, and routers.
pub struct Fleet {
    /// Keeps the stand-in running.
    _platform: Handle,
    targets: Vec<Target>,
    routers: Vec<Daemon>,
}

impl Fleet {
    /// Starts a fleet. Its routers discover each other shortly after.
    ///
    /// # Errors
    ///
    /// Fails if the configuration is invalid or a router or stand-in cannot start.
    pub fn spawn(settings: &Settings) -> Result<Self, Error> {
        let platform = platform::bind(platform::Settings {
            listen: any_port(),
            list_lag: LIST_LAG,
            memory: Arc::new(Memory::open()),
        })?;
        let targets = spawn_targets(settings)?;
        let base = write_base(settings, &targets)?;
        let routers = spawn_routers(settings, platform.address(), &base);
        // The routers have read the file; a leftover file does no harm.
        let _ = fs::remove_file(base);
        Ok(Self {
            _platform: platform,
            targets,
            routers: routers?,
        })
    }

    /// Returns the addresses on which the routers accept callers' requests.
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Daemon::address).collect()
    }

    /// Returns the targets.
    pub fn targets(&self) -> Vec<load::Target> {
        let target = |target: &Target| load::Target {
            service: target.service.clone(),
            address: target.handle.address(),
        };
        self.targets.iter().map(target).collect()
    }

    /// Shuts the routers down gracefully and stops the stand-ins.
    pub fn stop(self) {
        self.routers.into_iter().for_each(Daemon::drain);
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn spawn_targets(settings: &Settings) -> Result<Vec<Target>, Error> {
    let mut targets = Vec::new();
    for domain in &settings.domains {
        for (service, machine) in &settings.targets_per_domain {
            let (slots, handle) = match machine {
                Machine::Engine(engine) => (engine.slots, engine::bind(*engine)?),
                Machine::Plain(plain) => (plain.slots, plain::bind(*plain)?),
            };
            targets.push(Target {
                domain: domain.clone(),
                service: service.clone(),
                slots,
                handle,
            });
        }
    }
    Ok(targets)
}

/// Writes the configuration, including the started targets, to a temporary file.
fn write_base(settings: &Settings, targets: &[Target]) -> Result<PathBuf, Error> {
    let mut text = String::from(&*settings.base);
    for (number, target) in targets.iter().enumerate() {
        let (service, domain) = (&target.service, &target.domain);
        let (address, slots) = (target.handle.address(), target.slots);
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "\n[targets.{service}-{number}]\nservice = \"{service}\"\ndomain = \"{domain}\"\n\
             address = \"{address}\"\nslots = {slots}\n"
        );
    }
    let number = STARTED_FLEETS.fetch_add(1, Ordering::Relaxed);
    let name = format!("marlrun-{}-{number}.toml", process::id());
    let path = env::temp_dir().join(name);
    match fs::write(&path, text) {
        Ok(()) => Ok(path),
        Err(source) => Err(Error::Write { path, source }),
    }
}

fn spawn_routers(
    settings: &Settings,
    platform: SocketAddr,
    base: &Path,
) -> Result<Vec<Daemon>, Error> {
    let mut routers: Vec<Daemon> = Vec::new();
    for domain in &settings.domains {
        for number in 1..=settings.routers_per_domain {
            let router: id::Router = format!("{domain}-{number}").parse()?;
            let settings = daemon::Settings {
                router: router.clone(),
                domain: domain.clone(),
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
                memory_bytes: None,
                limits: front::Limits::default(),
                traffic_threads: settings.traffic_threads,
                drain_timeout: DRAIN_TIMEOUT,
                fault_injection: false,
                log_level: log::Level::Error,
            };
            let spawned = daemon::spawn(settings, &log::discard());
            routers.push(spawned.map_err(|source| Error::Router {
                router: router.as_str().into(),
                source,
            })?);
        }
    }
    Ok(routers)
}
