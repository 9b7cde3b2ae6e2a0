//! Settings of the daemon from flags and environment variables.

use crate::{front, id, log, memory, unit::Span};
use std::{collections::BTreeMap, fmt, fs, net::SocketAddr, path::PathBuf, str::FromStr};

/// Bytes of a MB.
const BYTES_PER_MB: u64 = 1_000_000;

/// Validated settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this router.
    pub router: id::Router,
    /// Failure domain of this router.
    pub domain: id::Domain,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address of the peer interface (TCP and UDP).
    pub peer: SocketAddr,
    /// Address of the health and metrics endpoints, if enabled.
    pub health: Option<SocketAddr>,
    /// Address of the operators' interface, if enabled.
    pub operator: Option<SocketAddr>,
    /// Key that authorizes operators.
    pub operator_key: Option<Secret>,
    /// Key that all routers of the fleet share.
    pub fleet_key: Option<Secret>,
    /// Address of the platform's HTTP interface, if there is one.
    pub platform: Option<SocketAddr>,
    /// Peer addresses of routers to contact in addition to those that the platform lists.
    pub seeds: Vec<SocketAddr>,
    /// Base configuration file, if the configuration does not come from the platform.
    pub base: Option<PathBuf>,
    /// Overlay file of this site, applied to the base file.
    pub overlay: Option<PathBuf>,
    /// Memory that the process may use in bytes; `None` if it is not known.
    pub memory_bytes: Option<u64>,
    /// Limits on client connections and requests.
    pub limits: front::Limits,
    /// Number of threads that handle client traffic.
    pub traffic_threads: usize,
    /// Maximum duration of a graceful shutdown.
    pub drain_timeout: Span,
    /// Whether the operators' interface may inject faults, for tests.
    pub fault_injection: bool,
    /// Lowest severity that is logged.
    pub log_level: log::Level,
}

/// A secret string whose `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps a secret.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}

/// An invalid setting, with the flag and variable that set it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("--{flag} ({variable}): {message}")]
pub struct Finding {
    /// Flag without dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: Box<str>,
    /// Description of the error.
    pub message: Box<str>,
}

/// Flags and environment variables before validation.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Flags {
    /// Name of this router, unique in the fleet.
    #[arg(long, env = "MARLRUN_ROUTER")]
    pub router: Option<Box<str>>,
    /// Failure domain of this router.
    #[arg(long, env = "MARLRUN_DOMAIN")]
    pub domain: Option<Box<str>>,
    /// Listen address for clients, IP:PORT.
    #[arg(long, env = "MARLRUN_LISTEN")]
    pub listen: Option<Box<str>>,
    /// Address of the peer interface (TCP and UDP), IP:PORT.
    #[arg(long, env = "MARLRUN_PEER")]
    pub peer: Option<Box<str>>,
    /// Address of the endpoints /healthz, /readyz and /metrics, IP:PORT.
    #[arg(long, env = "MARLRUN_HEALTH")]
    pub health: Option<Box<str>>,
    /// Address of the operators' interface, IP:PORT; requires --operator-key-file.
    #[arg(long, env = "MARLRUN_OPERATOR")]
    pub operator: Option<Box<str>>,
    /// File with the key that authorizes operators.
    #[arg(long, env = "MARLRUN_OPERATOR_KEY_FILE")]
    pub operator_key_file: Option<Box<str>>,
    /// File with the key that all routers of the fleet share.
    #[arg(long, env = "MARLRUN_FLEET_KEY_FILE")]
    pub fleet_key_file: Option<Box<str>>,
    /// Address of the platform's HTTP interface, IP:PORT.
    #[arg(long, env = "MARLRUN_PLATFORM")]
    pub platform: Option<Box<str>>,
    /// Peer addresses of other routers to contact, in addition to those that the platform lists;
    /// IP:PORT, separated by commas.
    #[arg(long, env = "MARLRUN_SEEDS")]
    pub seeds: Option<Box<str>>,
    /// Base configuration file, used instead of the platform's configuration.
    #[arg(long, env = "MARLRUN_BASE")]
    pub base: Option<Box<str>>,
    /// Configuration overlay of this site; requires --base.
    #[arg(long, env = "MARLRUN_OVERLAY")]
    pub overlay: Option<Box<str>>,
    /// Maximum size of a request body in bytes [default: 4194304].
    #[arg(long, env = "MARLRUN_MAX_BODY_BYTES")]
    pub max_body_bytes: Option<Box<str>>,
    /// Maximum number of concurrent client connections [default: 10000].
    #[arg(long, env = "MARLRUN_MAX_CONNECTIONS")]
    pub max_connections: Option<Box<str>>,
    /// Memory that the process may use, in MB [default: what the machine and its limits permit]. A third of it
    /// is the budget for what is held for callers.
    #[arg(long, env = "MARLRUN_RAM_MB")]
    pub ram_mb: Option<Box<str>>,
    /// Time limit for receiving the next request head, and for each request body [default: 30s].
    #[arg(long, env = "MARLRUN_IDLE_TIMEOUT")]
    pub idle_timeout: Option<Box<str>>,
    /// Number of threads that handle client traffic, 1 to 64 [default: 2].
    #[arg(long, env = "MARLRUN_TRAFFIC_THREADS")]
    pub traffic_threads: Option<Box<str>>,
    /// Maximum duration of a graceful shutdown [default: 10m].
    #[arg(long, env = "MARLRUN_DRAIN_TIMEOUT")]
    pub drain_timeout: Option<Box<str>>,
    /// Time for which a router that is shutting down still accepts connections; the load balancer
    /// must check /readyz within it [default: 1s].
    #[arg(long, env = "MARLRUN_DRAIN_NOTICE")]
    pub drain_notice: Option<Box<str>>,
    /// Allows fault injection through the operators' interface (true or false); for tests only.
    #[arg(long, env = "MARLRUN_FAULT_INJECTION")]
    pub fault_injection: Option<Box<str>>,
    /// Lowest severity that is logged: error, warning, info or debug [default: info].
    #[arg(long, env = "MARLRUN_LOG_LEVEL")]
    pub log_level: Option<Box<str>>,
}

impl Flags {
    /// Validates all settings.
    ///
    /// # Errors
    ///
    /// Returns all invalid settings together.
    pub fn check(&self) -> Result<Settings, Vec<Finding>> {
        let mut checker = Checker::default();
        let router = checker.required("router", &self.router);
        let domain = checker.required("domain", &self.domain);
        let listen = checker.required("listen", &self.listen);
        let peer = checker.required("peer", &self.peer);
        let health = checker.optional("health", &self.health);
        let operator: Option<SocketAddr> = checker.optional("operator", &self.operator);
        let operator_key = checker.read_secret("operator-key-file", &self.operator_key_file);
        if operator.is_some() && operator_key.is_none() {
            checker.report("operator", "requires --operator-key-file");
        }
        checker.check_readable("base", &self.base);
        checker.check_readable("overlay", &self.overlay);
        checker.check_distinct([
            ("listen", listen),
            ("peer", peer),
            ("health", health),
            ("operator", operator),
        ]);
        if self.base.is_none() && self.overlay.is_some() {
            checker.report("overlay", "requires --base");
        }
        if self.base.is_none() && self.platform.is_none() && self.seeds.is_none() {
            checker.report(
                "platform",
                "a source of the configuration is required: --platform, --base or --seeds",
            );
        }
        let limits = self.limits(&mut checker);
        let memory_bytes = self.ram_mb.is_some().then(|| {
            let megabytes = checker.in_range("ram-mb", &self.ram_mb, 16..=1 << 24, 16);
            megabytes * BYTES_PER_MB
        });
        let traffic_threads = checker.in_range("traffic-threads", &self.traffic_threads, 1..=64, 2);
        let fault_injection = checker.optional("fault-injection", &self.fault_injection);
        let fleet_key = checker.read_secret("fleet-key-file", &self.fleet_key_file);
        let platform = checker.optional("platform", &self.platform);
        let seeds = checker.list("seeds", &self.seeds);
        let drain_timeout = checker.optional("drain-timeout", &self.drain_timeout);
        let log_level = checker.log_level(&self.log_level);
        let (Some(router), Some(domain), Some(listen), Some(peer)) = (router, domain, listen, peer)
        else {
            return Err(checker.findings);
        };
        if !checker.findings.is_empty() {
            return Err(checker.findings);
        }
        Ok(Settings {
            router,
            domain,
            listen,
            peer,
            health,
            operator,
            operator_key,
            fleet_key,
            platform,
            seeds,
            base: self.base.as_deref().map(PathBuf::from),
            overlay: self.overlay.as_deref().map(PathBuf::from),
            memory_bytes: memory_bytes.or_else(memory::usable_bytes),
            limits,
            traffic_threads: traffic_threads as usize,
            drain_timeout: drain_timeout.unwrap_or(Span::from_secs(600)),
            fault_injection: fault_injection.unwrap_or(false),
            log_level,
        })
    }

    fn limits(&self, checker: &mut Checker) -> front::Limits {
        let default = front::Limits::default();
        let body = checker.in_range(
            "max-body-bytes",
            &self.max_body_bytes,
            1..=1 << 30,
            default.body_bytes as u64,
        );
        let connections = checker.in_range(
            "max-connections",
            &self.max_connections,
            1..=1 << 20,
            default.connections as u64,
        );
        let idle_timeout = checker.optional("idle-timeout", &self.idle_timeout);
        let idle_timeout = idle_timeout.unwrap_or(default.idle_timeout);
        if idle_timeout == Span(0) {
            checker.report("idle-timeout", "must be longer than 0s");
        }
        front::Limits {
            connections: connections as usize,
            body_bytes: body as usize,
            idle_timeout,
            drain_notice: checker
                .optional("drain-notice", &self.drain_notice)
                .unwrap_or(default.drain_notice),
            ..default
        }
    }
}

/// Parses settings and collects the findings.
#[derive(Default)]
struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    fn report(&mut self, flag: &'static str, message: impl Into<Box<str>>) {
        let variable = format!("MARLRUN_{}", flag.replace('-', "_").to_uppercase());
        self.findings.push(Finding {
            flag,
            variable: variable.into(),
            message: message.into(),
        });
    }

    fn optional<T: FromStr<Err: fmt::Display>>(
        &mut self,
        flag: &'static str,
        text: &Option<Box<str>>,
    ) -> Option<T> {
        match text.as_deref()?.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(
                    flag,
                    format!("{:?}: {error}", text.as_deref().unwrap_or_default()),
                );
                None
            }
        }
    }

    fn required<T: FromStr<Err: fmt::Display>>(
        &mut self,
        flag: &'static str,
        text: &Option<Box<str>>,
    ) -> Option<T> {
        if text.is_none() {
            self.report(flag, "is missing");
        }
        self.optional(flag, text)
    }

    fn in_range(
        &mut self,
        flag: &'static str,
        text: &Option<Box<str>>,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let value = self.optional(flag, text).unwrap_or(default);
        if !range.contains(&value) {
            self.report(
                flag,
                format!(
                    "{value} is not between {} and {}",
                    range.start(),
                    range.end()
                ),
            );
        }
        value
    }

    fn list<T: FromStr<Err: fmt::Display>>(
        &mut self,
        flag: &'static str,
        text: &Option<Box<str>>,
    ) -> Vec<T> {
        let parts = text.as_deref().unwrap_or_default().split(',');
        let parts: Vec<_> = parts
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .collect();
        let values = parts
            .into_iter()
            .map(|part| self.optional(flag, &Some(part.into())));
        values.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// Checks that a file can be read. Its content is validated later, with line numbers in errors.
    fn check_readable(&mut self, flag: &'static str, path: &Option<Box<str>>) {
        let Some(path) = path.as_deref() else {
            return;
        };
        if let Err(error) = fs::read(path) {
            self.report(flag, format!("the file {path:?} cannot be read: {error}"));
        }
    }

    /// Checks that no two interfaces have the same address; port 0 never conflicts.
    fn check_distinct<const N: usize>(
        &mut self,
        addresses: [(&'static str, Option<SocketAddr>); N],
    ) {
        let mut seen = BTreeMap::new();
        for (flag, address) in addresses {
            let Some(address) = address.filter(|address| address.port() != 0) else {
                continue;
            };
            match seen.get(&address) {
                Some(other) => self.report(
                    flag,
                    format!("{address} is already the address of --{other}"),
                ),
                None => drop(seen.insert(address, flag)),
            }
        }
    }

    fn read_secret(&mut self, flag: &'static str, path: &Option<Box<str>>) -> Option<Secret> {
        let path = path.as_deref()?;
        match fs::read_to_string(path) {
            Ok(text) if text.trim().is_empty() => {
                self.report(flag, format!("the file {path:?} is empty"));
                None
            }
            Ok(text) => Some(Secret::new(text.trim())),
            Err(error) => {
                self.report(flag, format!("the file {path:?} cannot be read: {error}"));
                None
            }
        }
    }

    fn log_level(&mut self, text: &Option<Box<str>>) -> log::Level {
        let Some(text) = text.as_deref() else {
            return log::Level::Info;
        };
        match <log::Level as clap::ValueEnum>::from_str(text, true) {
            Ok(level) => level,
            Err(_) => {
                self.report(
                    "log-level",
                    format!("{text:?} is not error, warning, info or debug"),
                );
                log::Level::Info
            }
        }
    }
}
