//! State shared by request handlers and the health endpoint.

use super::Limiter;
use crate::{catalog, health, id, routing, unit::Span};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

/// Targets by name.
pub(super) type Targets = BTreeMap<id::Target, catalog::Target>;

/// State shared by request handlers and the health endpoint: routing table, targets, readiness and
/// the limit of concurrent requests.
#[derive(Debug, Default)]
pub struct State {
    table: RwLock<Arc<routing::Table>>,
    targets: RwLock<Arc<Targets>>,
    targets_known: AtomicBool,
    draining: AtomicBool,
    /// Requests in progress.
    in_progress: AtomicU32,
    limiter: Mutex<Limiter>,
    /// Callers send more than the router can serve; the platform's load balancer is to send them
    /// elsewhere.
    overloaded: AtomicBool,
    /// Connections that arrived since readiness was last updated.
    connections: AtomicU64,
    /// Connections refused before their request was read, since the last report to the dispatcher.
    refused_connections: AtomicU64,
    /// Requests refused at the limit after they were read, since they were last logged.
    refused_requests: AtomicU64,
    /// Times that new connections were reset for a while, since they were last logged.
    closures: AtomicU64,
    /// Time that refusing connections took since it was last logged, in microseconds.
    refusing_us: AtomicU64,
}

/// Permit of a request in progress, released when dropped.
#[derive(Debug)]
pub(super) struct Permit(Arc<State>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl State {
    /// `Retry-After` of a request that arrives while no configuration is in force, or whose route
    /// has no service.
    pub const UNREADY_RETRY_AFTER: Span = Span::from_millis(1_000);

    /// Returns the routing table in force.
    pub fn table(&self) -> Arc<routing::Table> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Puts a routing table in force.
    pub fn set_table(&self, table: Arc<routing::Table>) {
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = table;
    }

    /// Returns a target.
    pub fn target(&self, name: &id::Target) -> Option<catalog::Target> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.get(name).cloned()
    }

    /// Replaces the targets.
    pub fn set_targets(&self, new: Arc<Targets>) {
        *self.targets.write().unwrap_or_else(PoisonError::into_inner) = new;
        self.targets_known.store(true, Ordering::Relaxed);
    }

    /// Reports whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.table().version.0 > 0
    }

    /// Admits a request if the number in progress is below the limit.
    pub(super) fn admit(self: &Arc<Self>) -> Option<Permit> {
        let in_progress = self.in_progress.load(Ordering::Relaxed);
        let limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.admits(in_progress).then(|| {
            self.in_progress.fetch_add(1, Ordering::Relaxed);
            Permit(self.clone())
        })
    }

    /// Sets whether callers send more than the router can serve; returns whether that changed.
    pub(super) fn set_overloaded(&self, overloaded: bool) -> bool {
        self.overloaded.swap(overloaded, Ordering::Relaxed) != overloaded
    }

    /// Returns the limit of concurrent requests; `u32::MAX` while there is none.
    pub(super) fn limit(&self) -> u32 {
        let limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.limit()
    }

    /// Counts a connection that arrived.
    pub(super) fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of connections that arrived since the last call.
    pub(super) fn take_connections(&self) -> u64 {
        self.connections.swap(0, Ordering::Relaxed)
    }

    /// Counts a connection that was refused before its request was read.
    pub(super) fn count_refused_connection(&self) {
        self.refused_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of connections refused since the last call.
    pub(super) fn take_refused_connections(&self) -> u64 {
        self.refused_connections.swap(0, Ordering::Relaxed)
    }

    /// Counts a request that was refused at the limit after it was read.
    pub(super) fn count_refused_request(&self) {
        self.refused_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests refused at the limit since the last call.
    pub(super) fn take_refused_requests(&self) -> u64 {
        self.refused_requests.swap(0, Ordering::Relaxed)
    }

    /// Records that new connections are reset for a while.
    pub(super) fn record_closed(&self) {
        self.closures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how often new connections were reset for a while since the last call.
    pub(super) fn take_closures(&self) -> u64 {
        self.closures.swap(0, Ordering::Relaxed)
    }

    /// Records the time that refusing connections took.
    pub(super) fn record_refusing(&self, spent: Span) {
        self.refusing_us.fetch_add(spent.0, Ordering::Relaxed);
    }

    /// Returns the time that refusing connections took since the last call.
    pub(super) fn take_refusing(&self) -> Span {
        Span(self.refusing_us.swap(0, Ordering::Relaxed))
    }

    /// Returns the number of requests in progress.
    pub(super) fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Reports whether the limit of concurrent requests is reached.
    pub(super) fn is_at_limit(&self) -> bool {
        let in_progress = self.in_progress.load(Ordering::Relaxed);
        let limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        !limiter.admits(in_progress)
    }

    /// Adjusts the limit of concurrent requests to the lateness of a timer; returns the limit
    /// before and after.
    pub(super) fn observe_lateness(&self, lateness: Span) -> (u32, u32) {
        let in_progress = self.in_progress.load(Ordering::Relaxed);
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let before = limiter.limit();
        limiter.observe(lateness, in_progress);
        (before, limiter.limit())
    }

    /// Marks the router as shutting down, which makes it not ready.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Reports whether the router is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

impl health::Readiness for State {
    fn unready_reason(&self) -> Option<Box<str>> {
        if self.is_draining() {
            return Some("the router is shutting down".into());
        }
        if self.overloaded.load(Ordering::Relaxed) {
            return Some("the router is overloaded".into());
        }
        if !self.is_configured() {
            return Some("no configuration is in force".into());
        }
        if !self.targets_known.load(Ordering::Relaxed) {
            return Some("the list of targets has not been read yet".into());
        }
        None
    }
}
