//! How far the request on a connection has got.

use std::sync::atomic::{AtomicBool, Ordering};

/// How far the latest request on a connection has been sent when the target ends the connection.
#[derive(Debug, Default)]
pub(super) struct Sending {
    /// The client has taken all of the body; some of it may still be buffered.
    is_taken: AtomicBool,
    /// All bytes were written to the socket.
    is_sent: AtomicBool,
    ended_unsent: AtomicBool,
    /// The response has not been read completely.
    is_unanswered: AtomicBool,
    /// The target has sent bytes since the request began.
    has_received: AtomicBool,
}

impl Sending {
    /// Records that a request is about to be sent.
    pub(super) fn begin(&self) {
        let flags = [
            &self.is_taken,
            &self.is_sent,
            &self.ended_unsent,
            &self.has_received,
        ];
        for flag in flags {
            flag.store(false, Ordering::Relaxed);
        }
        self.is_unanswered.store(true, Ordering::Relaxed);
    }

    /// Records that the response was read completely.
    pub(super) fn record_answered(&self) {
        self.is_unanswered.store(false, Ordering::Relaxed);
    }

    pub(super) fn is_unanswered(&self) -> bool {
        self.is_unanswered.load(Ordering::Relaxed)
    }

    /// Records that the target sent bytes.
    pub(super) fn record_received(&self) {
        self.has_received.store(true, Ordering::Relaxed);
    }

    /// Reports whether the target has sent nothing since the request began.
    pub(super) fn is_silent(&self) -> bool {
        self.is_unanswered() && !self.has_received.load(Ordering::Relaxed)
    }

    pub(super) fn record_taken(&self) {
        self.is_taken.store(true, Ordering::Relaxed);
    }

    /// Records that no bytes are buffered.
    pub(super) fn record_flushed(&self) {
        if self.is_taken.load(Ordering::Relaxed) {
            self.is_sent.store(true, Ordering::Relaxed);
        }
    }

    /// Records that the target ended the connection.
    pub(super) fn record_end(&self) {
        if !self.is_sent.load(Ordering::Relaxed) {
            self.ended_unsent.store(true, Ordering::Relaxed);
        }
    }

    pub(super) fn ended_unsent(&self) -> bool {
        self.ended_unsent.load(Ordering::Relaxed)
    }
}
