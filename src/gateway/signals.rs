//! Signals that a router acts on.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that a router acts on.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// A signal that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrived {
    /// The router has to stop.
    Stop,
    /// The settings may have changed.
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

    pub(super) async fn next(&mut self) -> Arrived {
        tokio::select! {
            _ = self.terminate.recv() => Arrived::Stop,
            _ = self.interrupt.recv() => Arrived::Stop,
            _ = self.reload.recv() => Arrived::Reload,
        }
    }
}
