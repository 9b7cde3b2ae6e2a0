//! Tasks that probe targets periodically.

use super::Event;
use crate::{config, id, unit::Span, upstream};
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{runtime::Handle, task::JoinHandle};

/// Pause between two probes of a target; three probes fit into the time within which a draining
/// target must get no more requests.
const PROBE_PAUSE: Span = Span::from_millis(500);
/// Time limit of each request of a probe.
const REQUEST_TIMEOUT: Span = Span::from_millis(500);
/// Consecutive probes without a response after which a target is unhealthy; a single one may be due
/// to packet loss.
const MAX_FAILURES: u32 = 2;
/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 4_096;

/// Receiver of results; it must not block.
type Sink = Arc<dyn Fn(Event) + Send + Sync>;

/// Probes a set of targets, with a task for each, until it is dropped.
pub struct Prober {
    runtime: Handle,
    sink: Sink,
    tasks: Mutex<BTreeMap<id::Target, JoinHandle<()>>>,
}

/// Response of a target's load endpoint.
#[derive(serde::Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
}

/// Result of one health check.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Health {
    Healthy,
    Unhealthy,
    Unreachable,
}

impl Prober {
    /// Creates a prober without targets; its tasks run on `runtime`.
    pub fn spawn(runtime: Handle, sink: Sink) -> Self {
        Self {
            runtime,
            sink,
            tasks: Mutex::default(),
        }
    }

    /// Replaces the set of probed targets.
    pub fn set_targets(&self, targets: &[Arc<config::Target>], fleet: &config::Fleet) {
        let Ok(mut tasks) = self.tasks.lock() else {
            return;
        };
        tasks.retain(|name, task| {
            let keep = targets.iter().any(|target| target.name == *name);
            if !keep {
                task.abort();
            }
            keep
        });
        for target in targets {
            let service = fleet.services.get(&target.service);
            let reports_load = service.is_some_and(|service| service.kind == config::Kind::Model);
            tasks.entry(target.name.clone()).or_insert_with(|| {
                let task = run(target.clone(), reports_load, self.sink.clone());
                self.runtime.spawn(task)
            });
        }
    }
}

impl Drop for Prober {
    fn drop(&mut self) {
        for task in self
            .tasks
            .get_mut()
            .into_iter()
            .flat_map(|tasks| tasks.values())
        {
            task.abort();
        }
    }
}

async fn run(target: Arc<config::Target>, reports_load: bool, sink: Sink) {
    let pool = upstream::Pool::default();
    let mut failures = 0;
    let mut reported = None;
    loop {
        let health = check_health(&pool, &target).await;
        failures = if health == Health::Unreachable {
            failures + 1
        } else {
            0
        };
        let healthy = match health {
            Health::Healthy => Some(true),
            Health::Unhealthy => Some(false),
            Health::Unreachable => (failures >= MAX_FAILURES).then_some(false),
        };
        if healthy.is_some() && healthy != reported {
            reported = healthy;
            let target = target.name.clone();
            sink(Event::Health {
                target,
                healthy: healthy == Some(true),
            });
        }
        if reports_load
            && health == Health::Healthy
            && let Some(load) = fetch_load(&pool, &target).await
        {
            sink(Event::Load {
                target: target.name.clone(),
                running: load.running,
                waiting: load.waiting,
            });
        }
        tokio::time::sleep(Duration::from(PROBE_PAUSE)).await;
    }
}

/// Checks the health of a target. Any response but 503 counts as healthy, so that targets without a
/// health endpoint pass.
async fn check_health(pool: &upstream::Pool, target: &config::Target) -> Health {
    match get(pool, target, "/health").await {
        Some((StatusCode::SERVICE_UNAVAILABLE, _)) => Health::Unhealthy,
        Some(_) => Health::Healthy,
        None => Health::Unreachable,
    }
}

async fn fetch_load(pool: &upstream::Pool, target: &config::Target) -> Option<Load> {
    let (status, body) = get(pool, target, "/load").await?;
    if !status.is_success() {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

async fn get(
    pool: &upstream::Pool,
    target: &config::Target,
    path: &str,
) -> Option<(StatusCode, Bytes)> {
    let exchange = async {
        let mut lease = pool.lease(target.address, true).await.ok()?;
        let request = Request::get(path)
            .header(header::HOST, target.address.to_string())
            .body(Full::default())
            .ok()?;
        let response = lease.send(request.map(upstream::Body::Left)).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        lease.release();
        Some((status, body))
    };
    let result = tokio::time::timeout(Duration::from(REQUEST_TIMEOUT), exchange).await;
    result.ok().flatten()
}
