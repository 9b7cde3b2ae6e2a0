//! Detection of connections that have gone silent.

use super::{Pool, sending::Sending};
use crate::{
    clock,
    unit::{Span, Time},
};
use std::{net::SocketAddr, sync::Arc};

/// Time without a byte of the response after which a connection may have gone silent, and with it those that have been idle
/// for longer.
const SILENCE: Span = Span::from_millis(500);

/// Watches a connection in use: when it is given up after a silence, those that have been idle since before its request are
/// closed, so that no further request waits on them.
pub(super) struct Monitor {
    sending: Arc<Sending>,
    address: SocketAddr,
    pool: Pool,
    /// Start of the latest request.
    begun: Option<Time>,
}

impl Monitor {
    /// Watches a connection to an address from a pool.
    pub(super) fn new(sending: Arc<Sending>, address: SocketAddr, pool: Pool) -> Self {
        Self {
            sending,
            address,
            pool,
            begun: None,
        }
    }

    /// Records that a request is about to be sent.
    pub(super) fn begin(&mut self) {
        self.begun = Some(clock::now());
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        let begun = self.begun.filter(|_| self.sending.is_silent());
        if let Some(begun) = begun.filter(|begun| clock::now().since(*begun) >= SILENCE) {
            self.pool.close_idle_since(self.address, begun);
        }
    }
}
