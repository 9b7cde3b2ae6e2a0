//! Settings file that the platform writes for each router process.

use crate::{dispatch, gateway, id, roster, unit::Span};
use serde::Deserialize;
use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, sync::Arc};

/// Validated content of the settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this router.
    pub router: id::Router,
    /// Failure domain of this router.
    pub domain: id::Domain,
    /// Region of each failure domain.
    pub regions: BTreeMap<id::Domain, id::Region>,
    /// Memory that the process may use in bytes; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address of the health endpoints, where the load balancer checks readiness.
    pub health: SocketAddr,
    /// Peer address: datagrams (UDP) and lists (TCP) between routers.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// CPU of the VM in millicores.
    pub millicores: u32,
    /// Maximum number of open file descriptors of the process.
    pub descriptors: u32,
    /// Time within which a configuration must take effect after the platform accepted it.
    pub configuration_bound: Span,
    /// Time after which a draining target must not receive new requests.
    pub drain_bound: Span,
    /// Time between SIGTERM and SIGKILL.
    pub stop_bound: Span,
    /// Window over which the capacity is shared among workspaces.
    pub share_window: Span,
    /// Retries that the fleet may send for each thousand requests of a service.
    pub repeat_permille: u32,
    /// Retries that the fleet may send to a service in addition.
    pub repeat_extra: u32,
    /// Factor on the rate of requests that a cold target tolerates.
    pub warm_up_factor: f64,
    /// Requests that a cold target tolerates in a second in addition.
    pub warm_up_slack: u32,
    /// Time after which an evacuated failure domain must not receive new requests.
    pub evacuation_bound: Span,
}

/// Error of reading the settings file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("the settings file {path}: {cause}")]
    Read {
        /// Path.
        path: Box<str>,
        /// I/O error.
        cause: std::io::Error,
    },
    /// The content is not valid JSON of the expected schema; the cause has line and column.
    #[error("the settings file {path}: {cause}")]
    Syntax {
        /// Path.
        path: Box<str>,
        /// Parse error.
        cause: serde_json::Error,
    },
    /// Values are missing or invalid.
    #[error("the settings file {path}: {}", findings.join("; "))]
    Invalid {
        /// Path.
        path: Box<str>,
        /// Invalid fields, each with its error.
        findings: Box<[String]>,
    },
}

/// Fields of the file that are used. Unknown fields are ignored, so that the platform can add some.
#[derive(Deserialize)]
struct File {
    node: String,
    zone: String,
    /// Region of each failure domain.
    #[serde(default)]
    zones: BTreeMap<String, String>,
    ip: String,
    listen: Listen,
    /// First and last port for traffic between routers; the first one is used.
    #[serde(rename = "port-range")]
    ports: Vec<u16>,
    limits: Limits,
    bounds: BTreeMap<String, serde_json::Value>,
    provider: Provider,
}

#[derive(Deserialize)]
struct Listen {
    front: String,
    ready: String,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(rename = "max-fds")]
    max_fds: u32,
    /// CPU cores of the VM; may be a fraction.
    #[serde(rename = "cpu-share")]
    cpu_share: f64,
    /// Memory of the process in units of 10^6 bytes.
    #[serde(rename = "ram-mb")]
    ram_mb: Option<f64>,
}

/// The platform's store, which the file calls a provider.
#[derive(Deserialize)]
struct Provider {
    address: String,
}

/// Bytes in a megabyte of the settings file.
const BYTES_PER_MB: f64 = 1e6;
/// Defaults of bounds that are missing in the file: the values of the smallest deployment.
const DEFAULT_CONFIG_MS: f64 = 2_000.0;
const DEFAULT_DRAIN_MS: f64 = 2_000.0;
const DEFAULT_GRACE_S: f64 = 8.0;
const DEFAULT_SHARE_WINDOW_S: f64 = 4.0;
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const DEFAULT_RETRY_EXTRA: f64 = 50.0;
const DEFAULT_COLD_OVER: f64 = 1.0;
const DEFAULT_COLD_SLACK: f64 = 0.0;
const DEFAULT_EVACUATE_MS: f64 = 5_000.0;

impl Settings {
    /// Environment variable with the path of the settings file.
    pub const ENV_VARIABLE: &str = "MARLRUN_SETTINGS";

    /// Reads the settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has invalid values; reports all of them.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name: Box<str> = path.display().to_string().into();
        let text = fs::read_to_string(path).map_err(|cause| Error::Read {
            path: name.clone(),
            cause,
        })?;
        Self::parse(&name, &text)
    }

    /// Parses the text of a settings file; `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// Fails if the text has invalid values; reports all of them.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        let file: File = serde_json::from_str(text).map_err(|cause| Error::Syntax {
            path: path.into(),
            cause,
        })?;
        let mut findings = Vec::new();
        let settings = file.check(&mut findings);
        settings.ok_or_else(|| Error::Invalid {
            path: path.into(),
            findings: findings.into(),
        })
    }
}

impl File {
    fn check(&self, findings: &mut Vec<String>) -> Option<Settings> {
        let router = parse_field(findings, "node", &self.node);
        let domain = parse_field(findings, "zone", &self.zone);
        let listen = parse_field(findings, "listen.front", &self.listen.front);
        let health = parse_field(findings, "listen.ready", &self.listen.ready);
        let store = parse_field(findings, "provider.address", &self.provider.address);
        let port = self.ports.first();
        if port.is_none() {
            findings.push("port-range: is empty".into());
        }
        let peer = port.and_then(|port| {
            parse_field::<SocketAddr>(findings, "ip", &format!("{}:{port}", self.ip))
        });
        let millis = |name, default| Span((self.bound(name, default) * 1e3) as u64);
        let seconds = |name, default| Span((self.bound(name, default) * 1e6) as u64);
        Some(Settings {
            router: router?,
            domain: domain?,
            regions: self.regions(),
            memory_bytes: self.memory_bytes(),
            listen: listen?,
            health: health?,
            peer: peer?,
            store: store?,
            millicores: (self.limits.cpu_share.max(0.0) * 1e3) as u32,
            descriptors: self.limits.max_fds,
            configuration_bound: millis("config-ms", DEFAULT_CONFIG_MS),
            drain_bound: millis("drain-ms", DEFAULT_DRAIN_MS),
            stop_bound: seconds("grace-s", DEFAULT_GRACE_S),
            share_window: seconds("quota-window-s", DEFAULT_SHARE_WINDOW_S),
            repeat_permille: (self.bound("retry-ratio", DEFAULT_RETRY_RATIO) * 1e3) as u32,
            repeat_extra: self.bound("retry-extra", DEFAULT_RETRY_EXTRA) as u32,
            warm_up_factor: self.bound("cold-over", DEFAULT_COLD_OVER),
            warm_up_slack: self.bound("cold-slack", DEFAULT_COLD_SLACK) as u32,
            evacuation_bound: millis("evacuate-ms", DEFAULT_EVACUATE_MS),
        })
    }

    /// Returns the region of each failure domain; invalid names are left out.
    fn regions(&self) -> BTreeMap<id::Domain, id::Region> {
        let zones = self.zones.iter();
        let regions =
            zones.filter_map(|(zone, region)| Some((zone.parse().ok()?, region.parse().ok()?)));
        regions.collect()
    }

    fn memory_bytes(&self) -> Option<u64> {
        let megabytes = self.limits.ram_mb.filter(|megabytes| *megabytes > 0.0);
        megabytes.map(|megabytes| (megabytes * BYTES_PER_MB) as u64)
    }

    /// Returns a bound, or the default if it is missing, negative or not a number.
    fn bound(&self, name: &str, default: f64) -> f64 {
        let value = self.bounds.get(name).and_then(serde_json::Value::as_f64);
        value.filter(|value| *value >= 0.0).unwrap_or(default)
    }
}

fn parse_field<T: std::str::FromStr<Err: std::fmt::Display>>(
    findings: &mut Vec<String>,
    name: &str,
    text: &str,
) -> Option<T> {
    match text.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            findings.push(format!("{name}: {text:?}: {error}"));
            None
        }
    }
}

impl Settings {
    /// Returns this router's entry in the list of routers.
    pub fn entry(&self) -> roster::Entry {
        roster::Entry {
            router: self.router.clone(),
            domain: self.domain.clone(),
            peer: self.peer,
            millicores: self.millicores,
            answers_probes: true,
            doubted: false,
        }
    }

    /// Returns the settings of a router that runs with this file.
    pub fn router_settings(&self, incarnation: id::Incarnation) -> gateway::Settings {
        let mut dispatch =
            dispatch::Settings::new(self.router.clone(), incarnation, self.domain.clone());
        dispatch.share_window = self.share_window;
        dispatch.retry_permille = self.repeat_permille;
        dispatch.retry_extra = self.repeat_extra;
        dispatch.regions = Arc::new(self.regions.clone());
        dispatch.warm_up_factor = self.warm_up_factor;
        dispatch.warm_up_slack = self.warm_up_slack;
        // Evacuations are read with the configuration.
        let change_bound = self
            .configuration_bound
            .min(self.drain_bound)
            .min(self.evacuation_bound);
        dispatch.list_bound = change_bound;
        dispatch.awaits_history = true;
        gateway::Settings {
            listen: self.listen,
            entry: self.entry(),
            health: self.health,
            descriptors: self.descriptors,
            memory_bytes: self.memory_bytes,
            stop_bound: self.stop_bound,
            change_bound,
            evacuation_bound: self.evacuation_bound,
            dispatch,
        }
    }

    /// Describes the differences from settings that were read later, for the log.
    pub fn describe_changes(&self, read: &Self) -> Box<str> {
        if self == read {
            "none".into()
        } else {
            format!("from {self:?} to {read:?}; in force after a restart").into()
        }
    }
}
