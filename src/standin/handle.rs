//! A running stand-in.

use std::{net::SocketAddr, thread};
use tokio_util::sync::CancellationToken;

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Handle {
    pub(super) address: SocketAddr,
    pub(super) stop: CancellationToken,
    pub(super) thread: Option<thread::JoinHandle<()>>,
}

impl Handle {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections at once, as a crash does, and waits for the threads.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed by the panic hook.
            let _ = thread.join();
        }
    }
}
