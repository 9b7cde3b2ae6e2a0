//! This router's own entry in the list of routers.

use super::{Registry, State};
use crate::{roster, unit::Span};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::sync::Mutex;

/// Pause between attempts to write the entry.
const RETRY_PAUSE: Span = Span::from_millis(500);
/// Time limit for removing the entry.
pub(super) const REMOVE_TIMEOUT: Span = Span::from_millis(500);

/// Writes this router's entry while it runs, and removes it while it shuts down.
pub(super) struct Presence {
    registry: Arc<dyn Registry>,
    entry: roster::Entry,
    state: Arc<State>,
    /// Held during calls, so that no write that has started overtakes the removal.
    calls: Mutex<()>,
    written: AtomicBool,
    log: slog::Logger,
}

impl Presence {
    /// Creates the handle without a call.
    pub(super) fn open(
        registry: Arc<dyn Registry>,
        entry: roster::Entry,
        state: Arc<State>,
        log: slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            registry,
            entry,
            state,
            calls: Mutex::new(()),
            written: AtomicBool::new(false),
            log,
        })
    }

    /// Reports whether the entry was ever written.
    pub(super) fn was_written(&self) -> bool {
        self.written.load(Ordering::Relaxed)
    }

    /// Starts to write the entry, with retries until that succeeds or the router shuts down.
    pub(super) fn announce(self: &Arc<Self>) {
        tokio::spawn(self.clone().write());
    }

    async fn write(self: Arc<Self>) {
        loop {
            let turn = self.calls.lock().await;
            if self.state.is_draining() {
                return;
            }
            match self.registry.write(&self.entry).await {
                Ok(()) => {
                    self.written.store(true, Ordering::Relaxed);
                    return slog::info!(self.log, "router entry written");
                }
                Err(fault) => {
                    slog::warn!(self.log, "router entry not written"; "cause" => %fault);
                }
            }
            drop(turn);
            tokio::time::sleep(Duration::from(RETRY_PAUSE)).await;
        }
    }

    /// Removes the entry; gives up after [`REMOVE_TIMEOUT`].
    pub(super) async fn withdraw(&self) {
        let removal = async {
            let _turn = self.calls.lock().await;
            self.registry.remove(&self.entry.router).await
        };
        match tokio::time::timeout(Duration::from(REMOVE_TIMEOUT), removal).await {
            Ok(Ok(())) => {}
            Ok(Err(fault)) => {
                slog::warn!(self.log, "router entry not removed"; "cause" => %fault);
            }
            Err(_) => slog::warn!(self.log, "router entry not removed"; "cause" => "timed out"),
        }
    }
}
