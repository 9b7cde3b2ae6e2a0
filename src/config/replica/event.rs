//! Events that a replica handles.

use crate::{config::Update, id, table::Fault, unit::Version};

/// Event that a replica handles.
#[derive(Debug)]
pub enum Event {
    /// A peer's heartbeat carried its configuration version.
    PeerVersion {
        /// Peer.
        router: id::Router,
        /// Version active on the peer.
        version: Version,
    },
    /// A peer left or is no longer reachable.
    PeerGone {
        /// Peer.
        router: id::Router,
    },
    /// A peer requests the changes after a version: `wire::Message::Fetch`.
    Fetch {
        /// Peer that sent the request.
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
    /// Result of [`Action::ReadPlatform`]: the changes after the given version, `None` if there are none.
    Platform(Result<Option<Update>, Fault>),
    /// Time passed; expected about every 200 ms.
    Tick,
}
