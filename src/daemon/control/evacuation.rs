//! Evacuated failure domains: their targets get no new requests and no probes.

use super::Control;
use crate::{id, metric, owner, table::Row, unit::Time};
use std::collections::BTreeSet;

impl Control {
    /// Handles the rows by which failure domains are evacuated, as they were read from the platform's table.
    pub(super) fn handle_evacuations(&mut self, now: Time, rows: &[Row]) {
        for (row, cause) in self.evacuations.apply(rows) {
            slog::warn!(self.parts.log, "evacuation unclear"; "row" => &*row, "cause" => &*cause);
        }
        let domains = self.evacuations.domains();
        if domains == self.evacuated {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, domains);
        for domain in self.evacuated.difference(&before) {
            slog::warn!(self.parts.log, "failure domain evacuated"; "domain" => %domain,
                "targets" => self.count_targets(domain));
        }
        for domain in before.difference(&self.evacuated) {
            slog::info!(self.parts.log, "failure domain in use again"; "domain" => %domain,
                "targets" => self.count_targets(domain));
        }
        metrics::gauge!(metric::EVACUATED).set(self.evacuated.len() as f64);
        self.resume_targets(now, &before);
        self.update_owners(now);
    }

    fn count_targets(&self, domain: &id::Domain) -> usize {
        let targets = self.effective_fleet.targets.values();
        targets.filter(|target| target.domain == *domain).count()
    }

    /// Allows grants to the owned targets of failure domains that were evacuated `before`.
    fn resume_targets(&mut self, now: Time, before: &BTreeSet<id::Domain>) {
        for target in self.routes.owned_by(&self.parts.router) {
            let known = self.effective_fleet.targets.get(&target);
            let was_barred = known.is_some_and(|known| before.contains(&known.domain));
            if was_barred && !self.is_unfit(&target) {
                self.step_owner(now, owner::Event::Resume { target });
            }
        }
    }

    /// Reports whether a target is in an evacuated failure domain.
    pub(super) fn is_barred(&self, target: &id::Target) -> bool {
        let known = self.effective_fleet.targets.get(target);
        known.is_some_and(|known| self.evacuated.contains(&known.domain))
    }

    /// Returns the targets in evacuated failure domains, of all routers.
    pub(super) fn barred_targets(&self) -> BTreeSet<id::Target> {
        let targets = self.effective_fleet.targets.values();
        let barred = targets.filter(|target| self.evacuated.contains(&target.domain));
        barred.map(|target| target.name.clone()).collect()
    }
}
