//! Decoding of the operators' configuration, which the store holds as JSON.

use super::{
    number::{self, Field, MAX_LOGGED_CHARS},
    target::deserialize_present,
};
use crate::{
    id,
    routing::{Engine, Kind, Limits, Route, Service, Split, Table, Transfer, WarmUp},
    unit::{Rate, Span, Version},
};
use serde::Deserialize;
use serde_json::Value;
use std::{borrow::Cow, fmt};

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
    #[serde(rename = "allowed-regions")]
    allowed_regions: Option<Vec<Box<str>>>,
    /// Longest pause between two events with which a stream is on time.
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
    #[serde(rename = "health-path")]
    health_path: Option<Box<str>>,
    /// Time for which a target is cold after its start, in seconds.
    #[serde(default, rename = "cold-s", deserialize_with = "deserialize_present")]
    cold_s: Option<Value>,
    /// Requests per second that a cold target tolerates.
    #[serde(
        default,
        rename = "cold-per-s",
        deserialize_with = "deserialize_present"
    )]
    cold_per_s: Option<Value>,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
    /// Capacity of the KV cache in tokens, for running requests and cached prompt parts together.
    #[serde(rename = "kv-tokens")]
    kv_tokens: u64,
    /// Size of the KV cache entry of one token in bytes.
    #[serde(default, rename = "token-kv-bytes")]
    token_kv_bytes: f64,
    /// Rate of an engine's link for transfers of cache entries in megabits per second.
    #[serde(default, rename = "link-mbps")]
    link_mbps: f64,
    /// Readers of cache events that an engine serves at a time.
    #[serde(default)]
    most: u32,
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
    #[serde(rename = "allowed-regions")]
    allowed_regions: Option<Vec<Box<str>>>,
}

fn default_attempts() -> u32 {
    1
}

/// Factor by which the fractional weights of split routes become integers.
const WEIGHT_SCALE: f64 = 1_000.0;
/// Largest values of a warm-up that are taken for what operators meant: ten minutes, and far more requests per second than
/// a target serves.
pub(super) const MAX_COLD_S: f64 = 600.0;
pub(super) const MAX_COLD_PER_S: f64 = 1e6;
/// Values that apply in place of those that can't be read: a time above the usual 3 s, and a rate so low that little
/// more than the slack of the settings is sent.
const UNREAD_COLD_S: f64 = 10.0;
const UNREAD_COLD_PER_S: f64 = 0.001;
/// Time limit of a route whose own can't be read; that of the usual routes, in milliseconds.
const UNREAD_TIMEOUT_MS: &str = "10000";
/// Slots of an engine that can't be read. Its targets then count as plain ones, with the slots of their list entries.
const UNREAD_SLOTS: u32 = u32::MAX;
/// KV memory in place of one that can't be read: above that of any engine, so that only its slots limit it.
const UNREAD_KV_TOKENS: &str = "1000000000000";
/// Maximum number of connections to a target if its service sets none.
const DEFAULT_CONNECTIONS: u32 = 100;

/// Decodes a configuration.
///
/// # Errors
///
/// Fails if the bytes are not valid JSON of the expected schema, or if names are invalid; reports
/// all invalid names together. A number that no JSON parser accepts is replaced by a safe value, except the version.
pub fn decode(bytes: &[u8]) -> Result<Table, Findings> {
    let (wire, unread) = parse(bytes).map_err(|error| Findings(vec![error.to_string().into()]))?;
    let mut findings = Findings::default();
    let limits = wire.limits.decode();
    let version = Version(wire.version);
    let mut table = Table::new(version, limits, wire.tenants.is_some());
    table.unread = unread;
    for service in &wire.services {
        let mut unread = Vec::new();
        let decoded = service.decode(&mut unread);
        findings.apply_or_record(decoded, |service| table.add_service(service));
        table.unread.extend(unread);
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
                table.priorities.insert(name.clone(), priority);
            }
            if let Some(regions) = &tenant.allowed_regions {
                table.allowed_regions.insert(name, decode_regions(regions));
            }
        });
    }
    if findings.0.is_empty() {
        Ok(table)
    } else {
        Err(findings)
    }
}

/// Parses a configuration; returns also what can't be read of it.
fn parse(bytes: &[u8]) -> serde_json::Result<(Wire, Vec<Box<str>>)> {
    let error = match serde_json::from_slice(bytes) {
        Ok(wire) => return Ok((wire, Vec::new())),
        Err(error) => error,
    };
    let Some((bytes, replaced)) = number::replace(bytes, substitute) else {
        return Err(error);
    };
    let wire = serde_json::from_slice(&bytes)?;
    // What can't be read of a warm-up is reported when it is decoded.
    let others = replaced
        .into_iter()
        .filter(|replaced| !["cold-s", "cold-per-s"].contains(&&*replaced.name));
    Ok((wire, others.map(|replaced| replaced.finding).collect()))
}

/// Returns the JSON that applies in place of a number that no parser accepts: the default of the field, if it has one.
fn substitute(field: &Field<'_>) -> Option<Cow<'static, str>> {
    let value = match (field.parent, field.name) {
        // Nobody can tell whether the configuration is newer than the one in force.
        ("", "version") => return None,
        ("routes", "timeout-ms") => UNREAD_TIMEOUT_MS,
        ("routes", "attempts") => "1",
        // Requests go to the other services of the route, if there are any.
        ("backends", "weight") | ("routes", "priority") => "0",
        ("engine", "slots") => return Some(UNREAD_SLOTS.to_string().into()),
        ("engine", "kv-tokens") => UNREAD_KV_TOKENS,
        ("engine", "token-kv-bytes" | "link-mbps" | "most") => "0",
        ("routes", "slo-ms" | "gap-aim-ms")
        | ("services", "max-conns")
        | ("limits", _)
        | ("tenants", "priority") => "null",
        // Other fields have no numbers, or the decoder reports the text.
        _ => return Some(field.quoted()),
    };
    Some(value.into())
}

impl Findings {
    fn apply_or_record<T>(&mut self, decoded: Result<T, Box<str>>, apply: impl FnOnce(T)) {
        match decoded {
            Ok(value) => apply(value),
            Err(finding) => self.0.push(finding),
        }
    }
}

/// Decodes the regions that a route or a workspace is restricted to. Invalid names match no region, so
/// that they restrict it further.
fn decode_regions(names: &[Box<str>]) -> Box<[id::Region]> {
    names.iter().filter_map(|name| name.parse().ok()).collect()
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
    /// Decodes the service; adds what can't be read of its warm-up to `unread`.
    fn decode(&self, unread: &mut Vec<Box<str>>) -> Result<Service, Box<str>> {
        let name = self.name.parse();
        Ok(Service {
            name: name.map_err(|error| format!("service {:?}: {error}", self.name))?,
            max_connections: self.max_conns.unwrap_or(DEFAULT_CONNECTIONS),
            engine: self.engine.as_ref().and_then(WireEngine::decode),
            health_path: self.health_path.clone(),
            warm_up: self.warm_up(unread),
        })
    }

    /// Returns the warm-up of the service's targets; a time or a rate of 0 is none. For a time or a rate that can't be
    /// read, the longest usual time and the lowest rate apply.
    fn warm_up(&self, unread: &mut Vec<Box<str>>) -> Option<WarmUp> {
        let mut read = |field: &str, value: &Option<Value>, max: f64, default: f64| {
            let Some(value) = value else {
                return 0.0;
            };
            let number = value.as_f64().filter(|number| (0.0..=max).contains(number));
            number.unwrap_or_else(|| {
                let text: String = value.to_string().chars().take(MAX_LOGGED_CHARS).collect();
                let finding = format!(
                    "service {:?}: {field}: {text} is no number from 0 to {max}",
                    self.name
                );
                unread.push(finding.into());
                default
            })
        };
        let seconds = read("cold-s", &self.cold_s, MAX_COLD_S, UNREAD_COLD_S);
        let per_s = read(
            "cold-per-s",
            &self.cold_per_s,
            MAX_COLD_PER_S,
            UNREAD_COLD_PER_S,
        );
        (seconds > 0.0 && per_s > 0.0).then(|| WarmUp {
            duration: Span((seconds * 1e6) as u64),
            rate: Rate::from_millis((per_s * 1e3).ceil() as u32),
        })
    }
}

impl WireEngine {
    fn decode(&self) -> Option<Engine> {
        (self.slots != UNREAD_SLOTS).then(|| Engine {
            slots: self.slots,
            memory_tokens: self.kv_tokens,
            transfer: self.transfer(),
            event_readers: self.most,
        })
    }

    fn transfer(&self) -> Option<Transfer> {
        let transfer = Transfer {
            token_bytes: self.token_kv_bytes as u64,
            link_mbps: self.link_mbps as u64,
        };
        (transfer.token_bytes > 0 && transfer.link_mbps > 0).then_some(transfer)
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
            max_pause: self.gap_aim_ms.filter(|ms| *ms > 0.0).map(millis),
            allowed_regions: self.allowed_regions.as_deref().map(decode_regions),
        })
    }

    fn kind(&self) -> Result<Kind, Box<str>> {
        match &*self.kind {
            "safe" => Ok(Kind::Idempotent),
            "unsafe" => Ok(Kind::Once),
            "stream" => Ok(Kind::Stream {
                resumable: self.resumable,
            }),
            // Requests of an unknown kind are never repeated, which is always safe.
            _ => Ok(Kind::Once),
        }
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
