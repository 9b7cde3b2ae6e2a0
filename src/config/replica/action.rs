//! What a replica wants done.

use super::{Origin, Reason};
use crate::{config::Fleet, unit::Version, wire};
use std::sync::Arc;

/// What a replica wants done.
#[derive(Debug)]
pub enum Action {
    /// Send a message.
    Send(wire::Envelope),
    /// Read the changes after a version from the platform and report them as [`Event::Platform`].
    ReadPlatform {
        /// Version in force here.
        have: Version,
    },
    /// Put a newer configuration in force.
    Install(Arc<Fleet>),
    /// Log that changes were refused.
    Refused {
        /// Where they came from.
        origin: Origin,
        /// Why.
        reason: Reason,
    },
}
