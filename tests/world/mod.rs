//! Stand-ins of the users' platform, written after its published protocol: the store with its
//! faults, targets with theirs, and routers as processes before them.
// Each test file uses a part of it, and tests wait by the system's clock.
#![allow(dead_code, unused_imports, clippy::disallowed_methods)]

mod begun;
mod caller;
mod connection;
mod fleet;
mod flood;
mod listener;
mod mesh;
#[allow(unreachable_pub)]
#[path = "../common/process.rs"]
mod process;
mod proxy;
mod raw;
mod repeater;
mod replica;
mod router;
mod spoiling;
mod store;
mod unframed;

pub(crate) use self::{
    begun::Begun,
    caller::{Answer, Caller},
    connection::{Connection, Reply},
    fleet::Fleet,
    flood::{Endless, Flood},
    mesh::Mesh,
    process::free_address,
    proxy::{Harm, Proxy},
    raw::Raw,
    repeater::{Copy, Repeater},
    replica::{
        FIRST_BUILD, FIRST_START_MS, HEALTH_PATH, Mode, REJECTION, Replica, Run, Stage, WarmUp,
        event, event_of,
    },
    router::Router,
    spoiling::{EVENTS, Spoil, Spoils, bind as bind_spoiling},
    store::{Era, Fault, Store},
    unframed::{Ending, Unframed},
};

use serde_json::{Value, json};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Key of the workspace `east-desk` in [`configuration`].
pub(crate) const KEY: &str = "key-east";
/// Key of the workspace `west-desk` in [`configuration`].
pub(crate) const OTHER_KEY: &str = "key-west";
/// Host of all routes.
pub(crate) const HOST: &str = "app.example";

/// Returns a configuration with a route of each kind.
pub(crate) fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout-ms": 4_000, "slo-ms": 300, "priority": 1, "service": service,
            "attempts": attempts, "no-auth": false, "sticky": true, "resumable": resumable,
            "gap-aim-ms": 250,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("plan", "stream", "llm", 3, true),
            route("sum", "stream", "llm", 1, false),
            route("book", "unsafe", "app", 2, false),
            route("look", "safe", "app", 2, false),
        ],
        "services": [
            { "name": "llm", "max-conns": 360, "engine": { "slots": 8, "kv-tokens": 100_000 } },
            { "name": "app", "max-conns": 100 },
        ],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 65_536, "header-timeout-ms": 1_000,
            "idle-timeout-ms": 5_000, "tokens-per-s": 100_000,
        },
        "tenants": [
            { "name": "east-desk", "api-keys": [KEY] },
            { "name": "west-desk", "api-keys": [OTHER_KEY] },
        ],
    })
}

/// A store with a configuration, and targets of each service.
pub(crate) struct World {
    pub(crate) store: Arc<Store>,
    pub(crate) engines: Vec<Replica>,
    pub(crate) apps: Vec<Replica>,
}

impl World {
    /// Starts a world; nothing of it is left when it is dropped.
    pub(crate) fn open(engines: usize, apps: usize) -> Self {
        let store = Store::bind();
        store.put("op", "config", &configuration(1));
        let replicas = |service: &str, count| {
            let names = (0..count).map(|index| format!("i-{service}{index}"));
            let bound = names.map(|name| Replica::bind(&store, service, &name));
            bound.collect::<Vec<_>>()
        };
        let engines = replicas("llm", engines);
        let apps = replicas("app", apps);
        Self {
            store,
            engines,
            apps,
        }
    }

    /// Returns all runs of a request at all targets.
    pub(crate) fn runs_of(&self, request: &str) -> Vec<Run> {
        let replicas = self.engines.iter().chain(&self.apps);
        let runs = replicas.flat_map(|replica| replica.runs());
        runs.filter(|run| run.request == request).collect()
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics after ten seconds, with what was awaited.
pub(crate) fn wait_for(what: &str, holds: impl FnMut() -> bool) {
    wait_within(Duration::from_secs(10), what, holds);
}

/// Waits until a condition holds, at most for a time.
pub(crate) fn wait_within(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
