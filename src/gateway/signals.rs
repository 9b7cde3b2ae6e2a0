//! Process signals that a router handles.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Process signals that a router handles.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// Action requested by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Shut down (SIGTERM, SIGINT).
    Stop,
    /// Read the settings again (SIGHUP).
    Reload,
}

impl Signals {
    pub(super) fn open() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    pub(super) async fn next(&mut self) -> Action {
        tokio::select! {
            _ = self.terminate.recv() => Action::Stop,
            _ = self.interrupt.recv() => Action::Stop,
            _ = self.reload.recv() => Action::Reload,
        }
    }
}
