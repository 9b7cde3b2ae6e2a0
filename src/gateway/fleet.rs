//! What the handlers of requests read: configuration, targets, readiness.

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

/// What the handlers of requests read: configuration, targets, readiness.
#[derive(Debug, Default)]
pub struct Fleet {
    table: RwLock<Arc<routing::Table>>,
    targets: RwLock<Arc<Targets>>,
    listed: AtomicBool,
    draining: AtomicBool,
    /// Requests that the router carries.
    carried: AtomicU32,
    pressure: Mutex<Pressure>,
    /// More callers come than the router can carry; the balancer is to send them elsewhere.
    crowded: AtomicBool,
    /// Connections refused unread since the dispatcher was told of them.
    unread: AtomicU64,
}

/// A request that the router carries until this is dropped.
#[derive(Debug)]
pub(super) struct Carried(Arc<Fleet>);

impl Drop for Carried {
    fn drop(&mut self) {
        self.0.carried.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Fleet {
    /// Time after which a caller may come back to a router that knows no configuration yet.
    pub const UNREADY_RETRY: Span = Span::from_millis(1_000);

    /// Returns the configuration in force.
    pub fn table(&self) -> Arc<routing::Table> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Puts a configuration in force.
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

    /// Takes a request if the router can carry one more.
    pub(super) fn carry(self: &Arc<Self>) -> Option<Carried> {
        let carried = self.carried.load(Ordering::Relaxed);
        let pressure = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
        pressure.admits(carried).then(|| {
            self.carried.fetch_add(1, Ordering::Relaxed);
            Carried(self.clone())
        })
    }

    /// Sets whether more callers come than the router can carry; returns whether that is new.
    pub(super) fn set_crowded(&self, crowded: bool) -> bool {
        self.crowded.swap(crowded, Ordering::Relaxed) != crowded
    }

    /// Returns the limit of requests carried; `u32::MAX` while there is none.
    pub(super) fn limit(&self) -> u32 {
        let pressure = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
        pressure.limit()
    }

    /// Counts a connection that was refused unread.
    pub(super) fn refuse_unread(&self) {
        self.unread.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the connections refused unread since the last call.
    pub(super) fn take_unread(&self) -> u64 {
        self.unread.swap(0, Ordering::Relaxed)
    }

    /// Returns the requests carried now.
    pub(super) fn carried(&self) -> u32 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Reports whether the router carries as many requests as it can.
    pub(super) fn is_busy(&self) -> bool {
        let carried = self.carried.load(Ordering::Relaxed);
        let pressure = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
        !pressure.admits(carried)
    }

    /// Takes the lateness of a timer, and returns the limit of requests carried before and after.
    pub(super) fn look(&self, late: Span) -> (u32, u32) {
        let carried = self.carried.load(Ordering::Relaxed);
        let mut pressure = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
        let before = pressure.limit();
        pressure.look(late, carried);
        (before, pressure.limit())
    }

    /// Notes that the router shuts down.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Reports whether the router shuts down.
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
            return Some("more callers come than the router can carry".into());
        }
        if !self.is_configured() {
            return Some("no configuration is in force".into());
        }
        if !self.listed.load(Ordering::Relaxed) {
            return Some("the list of targets was not read yet".into());
        }
        None
    }
}
