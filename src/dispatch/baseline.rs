//! Loads last sent to one set of recipients.

use crate::{gossip, unit::Time};
use std::collections::HashMap;

/// Loads last sent to one set of recipients, so that only changes are sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Baseline {
    loads: HashMap<u64, gossip::Load>,
    /// Time of the last summary.
    pub(super) last_sent: Time,
}

impl Baseline {
    /// Returns the loads that differ from those last sent, or all of them. A target whose load was
    /// never sent counts as idle.
    pub(super) fn changes(
        &mut self,
        loads: impl Iterator<Item = gossip::Load>,
        all: bool,
    ) -> Vec<gossip::Load> {
        let mut changes = Vec::new();
        for load in loads {
            let idle = load.running == 0 && !load.suspect;
            let sent = self.loads.insert(load.target, load);
            let known = sent.map_or(idle, |sent| sent == load);
            if all || !known {
                changes.push(load);
            }
        }
        changes
    }

    /// Removes the loads of unknown targets.
    pub(super) fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.loads.retain(|target, _| is_known(*target));
    }
}
