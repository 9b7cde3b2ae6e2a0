//! What links tell the control thread.

use crate::{id, wire};

/// What links tell the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer sent a message.
    Message {
        /// Sender.
        from: id::Router,
        /// Run of the sender.
        incarnation: id::Incarnation,
        /// Message.
        message: wire::Message,
    },
    /// Messages to a peer may be lost; the next connection starts with `Resync`.
    Broken {
        /// Receiver of the lost messages.
        peer: id::Router,
        /// What went wrong.
        cause: Box<str>,
    },
}
