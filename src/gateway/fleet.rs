//! State shared by request handlers and the health endpoint.

use super::Pressure;
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
pub struct Fleet {
    table: RwLock<Arc<routing::Table>>,
    targets: RwLock<Arc<Targets>>,
    listed: AtomicBool,
    draining: AtomicBool,
    /// Requests in progress.
    carried: AtomicU32,
    pressure: Mutex<Pressure>,
    /// Clients send more than the router can serve; the load balancer is to send them elsewhere.
    crowded: AtomicBool,
    /// Connections refused before their request was read, since the last report to the dispatcher.
    unread: AtomicU64,
}

/// Permit of a request in progress, released when dropped.
#[derive(Debug)]
pub(super) struct Carried(Arc<Fleet>);

impl Drop for Carried {
    fn drop(&mut self) {
        self.0.carried.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Fleet {
    /// `Retry-After` while no configuration is in force, or its route has no service.
    pub const UNREADY_RETRY: Span = Span::from_millis(1_000);

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
        self.listed.store(true, Ordering::Relaxed);
    }

    /// Reports whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.table().version.0 > 0
    }

    /// Admits a request if the number in progress is below the limit.
    pub(super) fn carry(self: &Arc<Self>) -> Option<Carried> {
        let carried = self.carried.load(Ordering::Relaxed);
        let pressure = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
        pressure.admits(carried).then(|| {
            self.carried.fetch_add(1, Ordering::Relaxed);
            Carried(self.clone())
        })
    }

    /// Sets whether clients send more than the router can serve; returns whether that changed.
    pub(super) fn set_crowded(&self, crowded: bool) -> bool {
        self.crowded.swap(crowded, Ordering::Relaxed) != crowded
    }

    /// Returns the limit of concurrent requests; `u32::MAX` while there is none.
    pub(super) fn limit(&self) -> u32 {
        let pressure = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
        pressure.limit()
    }

    /// Counts a connection that was refused before its request was read.
    pub(super) fn refuse_unread(&self) {
        self.unread.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of connections refused since the last call.
    pub(super) fn take_unread(&self) -> u64 {
        self.unread.swap(0, Ordering::Relaxed)
    }

    /// Returns the number of requests in progress.
    pub(super) fn carried(&self) -> u32 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Reports whether the limit of concurrent requests is reached.
    pub(super) fn is_busy(&self) -> bool {
        let carried = self.carried.load(Ordering::Relaxed);
        let pressure = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
        !pressure.admits(carried)
    }

    /// Adjusts the limit of concurrent requests to the lateness of a timer; returns the limit
    /// before and after.
    pub(super) fn look(&self, late: Span) -> (u32, u32) {
        let carried = self.carried.load(Ordering::Relaxed);
        let mut pressure = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
        let before = pressure.limit();
        pressure.look(late, carried);
        (before, pressure.limit())
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

impl health::Source for Fleet {
    fn unready(&self) -> Option<Box<str>> {
        if self.is_draining() {
            return Some("the router is shutting down".into());
        }
        if self.crowded.load(Ordering::Relaxed) {
            return Some("the router is overloaded".into());
        }
        if !self.is_configured() {
            return Some("no configuration is in force".into());
        }
        if !self.listed.load(Ordering::Relaxed) {
            return Some("the list of targets has not been read yet".into());
        }
        None
    }
}
