//! State of the router that other threads read.

use crate::{config, front, health, member, metric, unit::Span};
use std::sync::{
    Arc, RwLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// State of the router that other threads read.
#[derive(Default)]
pub(super) struct State {
    fleet: Arc<RwLock<Arc<config::Fleet>>>,
    view: RwLock<member::View>,
    draining: AtomicBool,
    waiting: AtomicU64,
    running: AtomicU64,
    busy_us: AtomicU64,
}

impl State {
    pub(super) fn new(fleet: Arc<config::Fleet>) -> Self {
        Self {
            fleet: Arc::new(RwLock::new(fleet)),
            ..Self::default()
        }
    }

    /// Returns the configuration in force.
    pub(super) fn fleet(&self) -> Arc<config::Fleet> {
        let fleet = self.fleet.read();
        fleet.map(|fleet| fleet.clone()).unwrap_or_default()
    }

    /// Returns the cell in which the configuration in force is replaced.
    pub(super) fn shared_fleet(&self) -> Arc<RwLock<Arc<config::Fleet>>> {
        self.fleet.clone()
    }

    pub(super) fn install(&self, fleet: Arc<config::Fleet>) {
        if let Ok(mut shared) = self.fleet.write() {
            *shared = fleet;
        }
    }

    pub(super) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub(super) fn add_busy(&self, busy: Span) {
        let total = self.busy_us.fetch_add(busy.0, Ordering::Relaxed) + busy.0;
        metrics::counter!(metric::CONTROL_BUSY).absolute(total / 1_000_000);
    }

    pub(super) fn publish(&self, view: &member::View, requests: usize, running: usize) {
        if let Ok(mut shared) = self.view.write() {
            shared.clone_from(view);
        }
        let waiting = requests.saturating_sub(running);
        self.waiting.store(waiting as u64, Ordering::Relaxed);
        self.running.store(running as u64, Ordering::Relaxed);
        metrics::gauge!(metric::WAITING).set(waiting as f64);
        metrics::gauge!(metric::RUNNING).set(running as f64);
    }
}

impl health::Source for State {
    fn unready(&self) -> Option<Box<str>> {
        if self.draining.load(Ordering::Relaxed) {
            return Some("the router is shutting down".into());
        }
        if self.fleet().version.0 == 0 {
            return Some(
                "no configuration is in force: neither the platform nor a peer gave one".into(),
            );
        }
        None
    }
}

/// Passes what happens to requests to the control thread.
pub(super) struct Inbox(pub(super) crossbeam::channel::Sender<super::event::Event>);

impl front::Sink for Inbox {
    fn send(&self, event: front::Event) {
        // The control thread ends last; an event after that is of no use to anybody.
        let _ = self.0.send(event.into());
    }
}
