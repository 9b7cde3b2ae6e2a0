//! Events of the links for the control thread.

use crate::{id, wire};

/// Event of the links for the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer sent a message.
    Message {
        /// Sender.
        from: id::Router,
        /// Incarnation of the sender.
        incarnation: id::Incarnation,
        /// Message.
        message: wire::Message,
    },
    /// The link to a peer broke, and messages to it may be lost; the next connection starts with
    /// `Resync`.
    Broken {
        /// Peer.
        peer: id::Router,
        /// Cause.
        cause: Box<str>,
    },
}
