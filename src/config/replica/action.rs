//! Actions that a replica requests.

use super::{Origin, Reason};
use crate::{config::Fleet, unit::Version, wire};
use std::sync::Arc;

/// Action that a replica requests.
#[derive(Debug)]
pub enum Action {
    /// Send a message.
    Send(wire::Envelope),
    /// Read the changes after a version from the platform and return them as [`Event::Platform`].
    ReadPlatform {
        /// Latest version here, or 0 to read the whole document.
        have: Version,
    },
    /// Activate a newer configuration.
    Install(Arc<Fleet>),
    /// Log that an update was rejected.
    Refused {
        /// Sender of the update.
        origin: Origin,
        /// Reason of the rejection.
        reason: Reason,
    },
}
