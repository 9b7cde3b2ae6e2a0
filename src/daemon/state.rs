//! State of the router that the control thread shares with other threads.

use super::{event::Event, recent::Recent};
use crate::{
    clock, config, front, health, id, member, metric, operator, owner, partition, table::Vm,
    unit::Span,
};
use crossbeam::channel::Sender;
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError, RwLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use tokio::sync::Notify;

/// State of the router that the control thread shares with the traffic threads and the servers of
/// the operators' interface and of the health endpoints.
pub(super) struct State {
    router: id::Router,
    incarnation: id::Incarnation,
    domain: id::Domain,
    fleet: Arc<RwLock<Arc<config::Fleet>>>,
    snapshot: Mutex<Snapshot>,
    recent: Mutex<Recent>,
    draining: AtomicBool,
    drain_requested: Notify,
    waiting: AtomicU64,
    running: AtomicU64,
    busy_us: AtomicU64,
    /// Simulated network partitions; `None` unless fault injection is enabled.
    partitions: Option<partition::Filter>,
}

/// Last published state, for operators and for the readiness endpoint.
#[derive(Default)]
struct Snapshot {
    view: member::View,
    vms: Vec<Vm>,
    configuration: Box<str>,
    workspaces: Vec<owner::Snapshot>,
    targets: Vec<operator::Target>,
}

impl State {
    pub(super) fn new(
        router: id::Router,
        incarnation: id::Incarnation,
        domain: id::Domain,
        fleet: Arc<config::Fleet>,
        partitions: Option<partition::Filter>,
    ) -> Self {
        Self {
            router,
            incarnation,
            domain,
            fleet: Arc::new(RwLock::new(fleet)),
            snapshot: Mutex::default(),
            recent: Mutex::new(Recent::new(incarnation)),
            draining: AtomicBool::new(false),
            drain_requested: Notify::new(),
            waiting: AtomicU64::new(0),
            running: AtomicU64::new(0),
            busy_us: AtomicU64::new(0),
            partitions,
        }
    }

    /// Returns the configuration in force.
    pub(super) fn fleet(&self) -> Arc<config::Fleet> {
        let fleet = self.fleet.read();
        fleet.map(|fleet| fleet.clone()).unwrap_or_default()
    }

    /// Returns a shared reference to the configuration in force, which follows its replacements.
    pub(super) fn shared_fleet(&self) -> Arc<RwLock<Arc<config::Fleet>>> {
        self.fleet.clone()
    }

    pub(super) fn install(&self, fleet: Arc<config::Fleet>) {
        if let Ok(mut shared) = self.fleet.write() {
            *shared = fleet;
        }
    }

    /// Locks the recent requests of this router.
    pub(super) fn recent(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the targets in the platform's last list of VMs.
    pub(super) fn vms(&self) -> Vec<Vm> {
        self.snapshot().vms.clone()
    }

    pub(super) fn set_vms(&self, vms: Vec<Vm>) {
        self.snapshot().vms = vms;
    }

    pub(super) fn set_configuration_state(&self, state: &config::replica::State) {
        self.snapshot().configuration = state.to_string().into();
    }

    pub(super) fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Waits until an operator requests a shutdown.
    pub(super) async fn drain_requested(&self) {
        self.drain_requested.notified().await;
    }

    pub(super) fn add_busy_time(&self, busy: Span) {
        let total = self.busy_us.fetch_add(busy.0, Ordering::Relaxed) + busy.0;
        metrics::gauge!(metric::CONTROL_BUSY).set(Span(total).as_secs_f64());
    }

    pub(super) fn publish_members(&self, view: &member::View, requests: usize, running: usize) {
        self.snapshot().view.clone_from(view);
        let waiting = requests.saturating_sub(running);
        self.waiting.store(waiting as u64, Ordering::Relaxed);
        self.running.store(running as u64, Ordering::Relaxed);
        metrics::gauge!(metric::WAITING).set(waiting as f64);
        metrics::gauge!(metric::RUNNING).set(running as f64);
    }

    pub(super) fn publish_usage(
        &self,
        workspaces: Vec<owner::Snapshot>,
        targets: Vec<operator::Target>,
    ) {
        let mut snapshot = self.snapshot();
        snapshot.workspaces = workspaces;
        snapshot.targets = targets;
    }

    fn snapshot(&self) -> MutexGuard<'_, Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl health::Readiness for State {
    fn unready_reason(&self) -> Option<Box<str>> {
        if self.draining.load(Ordering::Relaxed) {
            return Some("the router is shutting down".into());
        }
        if self.fleet().version.0 == 0 {
            let configuration = self.snapshot().configuration.clone();
            return Some(format!("no configuration is in force: {configuration}").into());
        }
        None
    }
}

impl operator::Source for State {
    fn status(&self) -> operator::Status {
        let unready_reason = health::Readiness::unready_reason(self);
        operator::Status {
            router: self.router.clone(),
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            release: env!("CARGO_PKG_VERSION").into(),
            version: self.fleet().version,
            ready: unready_reason.is_none(),
            draining: self.draining.load(Ordering::Relaxed),
            detail: unready_reason.unwrap_or_default(),
            uptime_ms: clock::now().0 / 1_000,
            waiting: self.waiting.load(Ordering::Relaxed),
            running: self.running.load(Ordering::Relaxed),
        }
    }

    fn routers(&self) -> Vec<operator::Router> {
        let snapshot = self.snapshot();
        let routers = snapshot.view.iter().map(|member| operator::Router {
            router: member.router.clone(),
            domain: member.domain.clone(),
            address: member.address,
            incarnation: Some(member.incarnation),
            version: member.version,
            alive: true,
            leaving: member.leaving,
        });
        routers.collect()
    }

    fn workspaces(&self) -> Vec<operator::Workspace> {
        let fleet = self.fleet();
        let snapshot = self.snapshot();
        let rows = snapshot.workspaces.iter().filter_map(|row| {
            Some(operator::Workspace {
                workspace: row.workspace.clone(),
                service: row.service.clone(),
                weight: fleet.workspaces.get(&row.workspace)?.weight,
                served: row.served,
                level: row.level,
                waiting: row.quick + row.long,
                running: row.running,
            })
        });
        rows.collect()
    }

    fn targets(&self) -> Vec<operator::Target> {
        self.snapshot().targets.clone()
    }

    fn request(&self, id: &str) -> Option<operator::Request> {
        self.recent().find(id, clock::now())
    }

    fn drain(&self) {
        self.drain_requested.notify_one();
    }

    fn partition_filter(&self) -> Option<&partition::Filter> {
        self.partitions.as_ref()
    }
}

/// Forwards request events to the control thread.
pub(super) struct Forwarder(pub(super) Sender<Event>);

impl front::Sink for Forwarder {
    fn send(&self, event: front::Event) {
        // Fails only after the control thread has ended, when events no longer matter.
        let _ = self.0.send(event.into());
    }
}
