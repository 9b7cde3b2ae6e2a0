//! Decoding of the operators' configuration, which the store holds as JSON.

use crate::{
    id,
    routing::{Engine, Kind, Limits, Route, Service, Split, Table},
    unit::{Span, Version},
};
use serde::Deserialize;
use std::fmt;

/// Errors in a configuration, each with the name of the faulty element.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Box<str>>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

impl std::error::Error for Findings {}

#[derive(Deserialize)]
struct Wire {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    limits: WireLimits,
    /// Absent if clients need no API key.
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Deserialize)]
struct WireRoute {
    #[serde(default)]
    name: Box<str>,
    host: Box<str>,
    prefix: Box<str>,
    kind: Box<str>,
    #[serde(rename = "timeout-ms")]
    timeout_ms: f64,
    /// Latency objective: to the complete response, or to the first event of a stream.
    #[serde(rename = "slo-ms")]
    slo_ms: Option<f64>,
    #[serde(default)]
    priority: u32,
    /// The only service of a route that is not split.
    service: Option<Box<str>>,
    /// The services of a split route, which the platform calls back ends.
    #[serde(default)]
    backends: Vec<WireSplit>,
    #[serde(default = "default_attempts")]
    attempts: u32,
    #[serde(default, rename = "no-auth")]
    no_auth: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(rename = "gap-aim-ms")]
    gap_aim_ms: Option<f64>,
}

#[derive(Deserialize)]
struct WireSplit {
    service: Box<str>,
    weight: f64,
}

#[derive(Deserialize)]
struct WireService {
    name: Box<str>,
    #[serde(rename = "max-conns")]
    max_conns: Option<u32>,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
    /// Capacity of the KV cache in tokens, for running requests and cached prompt parts together.
    #[serde(rename = "kv-tokens")]
    kv_tokens: u64,
}

#[derive(Default, Deserialize)]
struct WireLimits {
    #[serde(rename = "max-header-bytes")]
    max_header_bytes: Option<usize>,
    #[serde(rename = "max-body-bytes")]
    max_body_bytes: Option<usize>,
    #[serde(rename = "header-timeout-ms")]
    header_timeout_ms: Option<f64>,
    #[serde(rename = "idle-timeout-ms")]
    idle_timeout_ms: Option<f64>,
    #[serde(rename = "tokens-per-s")]
    tokens_per_s: Option<f64>,
}

#[derive(Deserialize)]
struct WireTenant {
    name: Box<str>,
    #[serde(default, rename = "api-keys")]
    api_keys: Vec<Box<str>>,
    priority: Option<u32>,
}

fn default_attempts() -> u32 {
    1
}

/// Factor by which the fractional weights of split routes become integers.
const WEIGHT_SCALE: f64 = 1_000.0;
/// Maximum number of connections to a target if its service sets none.
const DEFAULT_CONNECTIONS: u32 = 100;
/// Objective for the longest pause between two events of a stream if the route sets none.
const DEFAULT_PAUSE_MS: f64 = 250.0;

/// Minimum time without an event after which clients of a stream disconnect; they wait longer where
/// the objectives are long. These three figures are the platform's.
const MIN_PATIENCE: Span = Span::from_millis(2_000);
/// The same as a multiple of the objective for pauses.
const PATIENCE_PAUSES: u64 = 8;
/// The same as a multiple of the latency objective.
const PATIENCE_OBJECTIVES: u64 = 4;

/// Decodes a configuration.
///
/// # Errors
///
/// Fails if the bytes are not valid JSON of the expected schema, or if names are invalid; reports
/// all invalid names together.
pub fn decode(bytes: &[u8]) -> Result<Table, Findings> {
    let wire: Wire =
        serde_json::from_slice(bytes).map_err(|error| Findings(vec![error.to_string().into()]))?;
    let mut findings = Findings::default();
    let limits = wire.limits.decode();
    let version = Version(wire.version);
    let mut table = Table::new(version, limits, wire.tenants.is_some());
    for service in &wire.services {
        findings.apply_or_record(service.decode(), |service| table.add_service(service));
    }
    for route in &wire.routes {
        findings.apply_or_record(route.decode(), |route| table.add_route(route));
    }
    for tenant in wire.tenants.iter().flatten() {
        let name = tenant.name.parse::<id::Workspace>();
        let name = name.map_err(|error| format!("tenant: {error}").into());
        findings.apply_or_record(name, |name| {
            for key in &tenant.api_keys {
                table.add_key(key.as_bytes(), name.clone());
            }
            if let Some(priority) = tenant.priority {
                table.priorities.insert(name, priority);
            }
        });
    }
    if findings.0.is_empty() {
        Ok(table)
    } else {
        Err(findings)
    }
}

impl Findings {
    fn apply_or_record<T>(&mut self, decoded: Result<T, Box<str>>, apply: impl FnOnce(T)) {
        match decoded {
            Ok(value) => apply(value),
            Err(finding) => self.0.push(finding),
        }
    }
}

fn millis(value: f64) -> Span {
    Span((value.max(0.0) * 1e3) as u64)
}

impl WireLimits {
    fn decode(&self) -> Limits {
        let default = Limits::default();
        Limits {
            head_bytes: self.max_header_bytes.unwrap_or(default.head_bytes),
            body_bytes: self.max_body_bytes.unwrap_or(default.body_bytes),
            head_timeout: self.header_timeout_ms.map_or(default.head_timeout, millis),
            idle_timeout: self.idle_timeout_ms.map_or(default.idle_timeout, millis),
            tokens_per_s: self.tokens_per_s.map(|tokens| tokens as u64),
        }
    }
}

impl WireService {
    fn decode(&self) -> Result<Service, Box<str>> {
        let name = self.name.parse();
        Ok(Service {
            name: name.map_err(|error| format!("service {:?}: {error}", self.name))?,
            max_connections: self.max_conns.unwrap_or(DEFAULT_CONNECTIONS),
            engine: self.engine.as_ref().map(|engine| Engine {
                slots: engine.slots,
                memory_tokens: engine.kv_tokens,
            }),
        })
    }
}

impl WireRoute {
    fn decode(&self) -> Result<Route, Box<str>> {
        let timeout = millis(self.timeout_ms);
        Ok(Route {
            name: self.name.clone(),
            host: self.host.clone(),
            prefix: self.prefix.clone(),
            kind: self.kind()?,
            timeout,
            slo: self.slo_ms.map_or(timeout, millis),
            priority: self.priority,
            splits: self.splits()?,
            max_attempts: self.attempts.max(1),
            public: self.no_auth,
        })
    }

    fn kind(&self) -> Result<Kind, Box<str>> {
        match &*self.kind {
            "safe" => Ok(Kind::Idempotent),
            "unsafe" => Ok(Kind::Once),
            "stream" => Ok(Kind::Stream {
                patience: self.patience(),
                resumable: self.resumable,
            }),
            // Requests of an unknown kind are never repeated, which is always safe.
            _ => Ok(Kind::Once),
        }
    }

    /// Returns the time without an event after which clients of a stream disconnect.
    fn patience(&self) -> Span {
        let pause = millis(self.gap_aim_ms.unwrap_or(DEFAULT_PAUSE_MS));
        let objective = millis(self.slo_ms.unwrap_or_default());
        MIN_PATIENCE
            .max(Span(pause.0 * PATIENCE_PAUSES))
            .max(Span(objective.0 * PATIENCE_OBJECTIVES))
    }

    fn splits(&self) -> Result<Vec<Split>, Box<str>> {
        let split = |service: &str, weight: f64| {
            let name = service.parse::<id::Service>();
            let service = name.map_err(|error| format!("route {:?}: {error}", self.name))?;
            let weight = (weight.max(0.0) * WEIGHT_SCALE) as u32;
            Ok(Split { service, weight })
        };
        match &self.service {
            Some(service) if self.backends.is_empty() => Ok(vec![split(service, 1.0)?]),
            _ => self
                .backends
                .iter()
                .map(|backend| split(&backend.service, backend.weight))
                .collect(),
        }
    }
}
