//! What a replica is told.

use crate::{config::Update, id, table::Fault, unit::Version};

/// What a replica is told.
#[derive(Debug)]
pub enum Event {
    /// A peer's heartbeat named its version.
    PeerVersion {
        /// Peer.
        router: id::Router,
        /// Version in force there.
        version: Version,
    },
    /// A peer left or is no longer heard.
    PeerGone {
        /// Peer.
        router: id::Router,
    },
    /// A peer asks for the changes after a version: `wire::Message::Fetch`.
    Fetch {
        /// Peer that asks.
        router: id::Router,
        /// Version that it has.
        have: Version,
    },
    /// A peer sent changes: `wire::Message::Delta`.
    Delta {
        /// Peer that sent them.
        router: id::Router,
        /// Encoded update.
        body: Vec<u8>,
    },
    /// A read of the platform ended: the changes after the version that was asked for, `None` if there are none.
    Platform(Result<Option<Update>, Fault>),
    /// Time passed; expected about every 200 ms.
    Tick,
}
