//! Report on one target.

use super::{Findings, held::Held};
use crate::{
    id,
    load::{Settings, probe::Probe},
    standin::Runs,
};
use std::net::SocketAddr;

/// Report on one target.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// Service.
    pub service: id::Service,
    /// Address.
    pub address: SocketAddr,
    /// Slots.
    pub slots: u32,
    /// Part of the slots' time that requests held them.
    pub utilisation: f64,
    /// Seconds that requests waited inside the target, added up.
    pub queued_secs: f64,
    /// Runs that began, up to the last answer.
    pub started: u64,
    /// Runs that ended early.
    pub cancelled: u64,
    /// Tokens made.
    pub tokens: u64,
}

impl Target {
    pub(super) fn of(settings: &Settings, findings: &Findings, probe: &Probe, runs: &Runs) -> Self {
        let readings = findings.readings(settings, probe);
        let (mut held, mut queued) = (Held::default(), 0);
        if let (Some(first), Some(last)) = (readings.first(), readings.last()) {
            held = Held::between(probe, first, last);
            queued = last.total.queued_micros - first.total.queued_micros;
        }
        Self {
            service: probe.target.service.clone(),
            address: probe.target.address,
            slots: probe.slots,
            utilisation: held.part(),
            queued_secs: queued as f64 / 1e6,
            started: runs.total.started,
            cancelled: runs.total.cancelled,
            tokens: runs.total.tokens,
        }
    }
}
