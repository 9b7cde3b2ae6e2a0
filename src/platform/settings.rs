//! The platform's settings file of a process.

use crate::{dispatch, gateway, id, roster, unit::Span};
use serde::Deserialize;
use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path};

/// Settings of a process, as the platform wrote them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this router.
    pub router: id::Router,
    /// Failure domain that it is in.
    pub domain: id::Domain,
    /// Address of the callers' interface.
    pub listen: SocketAddr,
    /// Address at which the balancer asks for readiness.
    pub health: SocketAddr,
    /// Address for datagrams between routers.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Thousandths of a core that the VM has.
    pub millicores: u32,
    /// Descriptors that the process may have open.
    pub descriptors: u32,
    /// Time in which a configuration must be in force after it was accepted.
    pub configuration_bound: Span,
    /// Time after which a leaving target must not get new work.
    pub drain_bound: Span,
    /// Time between the order to stop and the kill.
    pub stop_bound: Span,
    /// Window over which workspaces share the capacity.
    pub share_window: Span,
    /// Repeats that the fleet may send for each thousand requests of a service.
    pub repeat_permille: u32,
    /// Repeats that the fleet may send to a service beyond that.
    pub repeat_extra: u32,
}

/// Why the settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    /// The file can't be read.
    #[error("the settings file {path}: {cause}")]
    File {
        /// Path.
        path: Box<str>,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The content isn't of the expected form; line and column are in the cause.
    #[error("the settings file {path}: {cause}")]
    Form {
        /// Path.
        path: Box<str>,
        /// What is wrong and where.
        cause: serde_json::Error,
    },
    /// Values are missing or wrong.
    #[error("the settings file {path}: {}", findings.join("; "))]
    Values {
        /// Path.
        path: Box<str>,
        /// What is wrong, by field.
        findings: Box<[String]>,
    },
}

/// The file's fields that are used. Others are ignored, since new ones may come.
#[derive(Deserialize)]
struct Wire {
    node: String,
    zone: String,
    ip: String,
    listen: Listen,
    /// First and last port that are free between nodes.
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
    /// Cores of the VM, as a fraction of one.
    #[serde(rename = "cpu-share")]
    cpu_share: f64,
}

/// The platform's store; the wire calls it a provider.
#[derive(Deserialize)]
struct Provider {
    address: String,
}

/// Values of bounds that a settings file doesn't name: those of the users' smallest site.
const DEFAULT_CONFIG_MS: f64 = 2_000.0;
const DEFAULT_DRAIN_MS: f64 = 2_000.0;
const DEFAULT_GRACE_S: f64 = 8.0;
const DEFAULT_SHARE_S: f64 = 4.0;
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const DEFAULT_RETRY_EXTRA: f64 = 50.0;

impl Settings {
    /// Environment variable in which the platform names the file.
    pub const VARIABLE: &str = "MARLRUN_SETTINGS";

    /// Reads the settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, with all values that are wrong.
    pub fn read(path: &Path) -> Result<Self, Unreadable> {
        let name: Box<str> = path.display().to_string().into();
        let text = fs::read_to_string(path).map_err(|cause| Unreadable::File {
            path: name.clone(),
            cause,
        })?;
        Self::parse(&name, &text)
    }

    /// Reads settings from the text of a file; `path` names it in errors.
    ///
    /// # Errors
    ///
    /// Fails with all values that are wrong.
    pub fn parse(path: &str, text: &str) -> Result<Self, Unreadable> {
        let wire: Wire = serde_json::from_str(text).map_err(|cause| Unreadable::Form {
            path: path.into(),
            cause,
        })?;
        let mut findings = Vec::new();
        let settings = wire.check(&mut findings);
        settings.ok_or_else(|| Unreadable::Values {
            path: path.into(),
            findings: findings.into(),
        })
    }
}

impl Wire {
    fn check(&self, findings: &mut Vec<String>) -> Option<Settings> {
        let router = field(findings, "node", &self.node);
        let domain = field(findings, "zone", &self.zone);
        let listen = field(findings, "listen.front", &self.listen.front);
        let health = field(findings, "listen.ready", &self.listen.ready);
        let store = field(findings, "provider.address", &self.provider.address);
        let port = self.ports.first();
        if port.is_none() {
            findings.push("port-range: is empty".into());
        }
        let peer = port
            .and_then(|port| field::<SocketAddr>(findings, "ip", &format!("{}:{port}", self.ip)));
        let millis = |name, default| Span((self.bound(name, default) * 1e3) as u64);
        let seconds = |name, default| Span((self.bound(name, default) * 1e6) as u64);
        Some(Settings {
            router: router?,
            domain: domain?,
            listen: listen?,
            health: health?,
            peer: peer?,
            store: store?,
            millicores: (self.limits.cpu_share.max(0.0) * 1e3) as u32,
            descriptors: self.limits.max_fds,
            configuration_bound: millis("config-ms", DEFAULT_CONFIG_MS),
            drain_bound: millis("drain-ms", DEFAULT_DRAIN_MS),
            stop_bound: seconds("grace-s", DEFAULT_GRACE_S),
            share_window: seconds("quota-window-s", DEFAULT_SHARE_S),
            repeat_permille: (self.bound("retry-ratio", DEFAULT_RETRY_RATIO) * 1e3) as u32,
            repeat_extra: self.bound("retry-extra", DEFAULT_RETRY_EXTRA) as u32,
        })
    }

    /// Returns a bound; one that is missing or not a number has its default.
    fn bound(&self, name: &str, default: f64) -> f64 {
        let value = self.bounds.get(name).and_then(serde_json::Value::as_f64);
        value.filter(|value| *value >= 0.0).unwrap_or(default)
    }
}

fn field<T: std::str::FromStr<Err: std::fmt::Display>>(
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
    /// Returns this router's entry for the others.
    pub fn entry(&self) -> roster::Entry {
        roster::Entry {
            router: self.router.clone(),
            domain: self.domain.clone(),
            peer: self.peer,
            millicores: self.millicores,
        }
    }

    /// Returns the settings of a router that starts with these.
    pub fn router_settings(&self, incarnation: id::Incarnation) -> gateway::Settings {
        let mut dispatch =
            dispatch::Settings::new(self.router.clone(), incarnation, self.domain.clone());
        dispatch.share_window = self.share_window;
        dispatch.retry_permille = self.repeat_permille;
        dispatch.retry_extra = self.repeat_extra;
        gateway::Settings {
            listen: self.listen,
            entry: self.entry(),
            health: self.health,
            descriptors: self.descriptors,
            stop_bound: self.stop_bound,
            change_bound: self.configuration_bound.min(self.drain_bound),
            dispatch,
        }
    }

    /// Returns what differs in settings that were read again.
    pub fn changes(&self, read: &Self) -> Box<str> {
        if self == read {
            "none".into()
        } else {
            format!("from {self:?} to {read:?}; in force after a restart").into()
        }
    }
}
