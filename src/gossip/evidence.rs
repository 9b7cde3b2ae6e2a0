//! What a finding says of a part.

use crate::unit::Span;

/// What a finding says of a part. Targets are named by the hash of their name and start time, their
/// software by a hash of service and build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A target crashed as it began to answer a request whose prompt has the part.
    Crash {
        /// Target.
        target: u64,
        /// Software of the target.
        software: u64,
        /// Time for which the request had been at the target.
        lasted: Span,
    },
    /// A target answered a request whose prompt has the part, without a crash.
    Pass {
        /// Software of the target.
        software: u64,
    },
    /// A router is about to send a request whose prompt has the part, to find out whether it still
    /// crashes targets.
    Trial {
        /// Hash of the name of the router.
        router: u64,
        /// Number of the trial, from 1 on.
        number: u32,
    },
}
