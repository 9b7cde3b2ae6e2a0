//! Evacuated failure domains and allowed regions: which targets may get new requests, and what follows for
//! queued requests.
//!
//! For the load that an evacuated domain leaves to the others: queued requests go there at once or are
//! refused at once, and shares are those of the engines that are left.

use super::{Dispatcher, Target};
use crate::{
    dispatch::{Action, Reason, Request},
    id,
    unit::Time,
};
use std::collections::BTreeSet;

impl Dispatcher {
    /// Sets the failure domains whose targets get no new requests. What runs there goes on.
    pub(super) fn set_evacuated(
        &mut self,
        now: Time,
        domains: BTreeSet<id::Domain>,
        out: &mut Vec<Action>,
    ) {
        let ended: Vec<id::Domain> = self.evacuated.difference(&domains).cloned().collect();
        self.evacuated = domains;
        for domain in &ended {
            self.doubt_domain(now, domain);
        }
        for target in self.targets.values_mut() {
            target.is_barred = self.evacuated.contains(&target.entry.domain);
        }
        self.revise_queues(now, out);
    }

    /// Sets what follows from the failure domain of a target.
    pub(super) fn apply_domain(&self, target: &mut Target) {
        let domain = &target.entry.domain;
        target.is_barred = self.evacuated.contains(domain);
        target.region = self.settings.regions.get(domain).cloned();
    }

    /// Sends the queued requests that targets accept now, and refuses those that no target can serve.
    pub(super) fn revise_queues(&mut self, now: Time, out: &mut Vec<Action>) {
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.send_queued(now, &service, out);
            self.refuse_unservable(now, &service, out);
        }
    }

    /// Returns why no listed target may get a request.
    pub(super) fn reason_without_target(&self, request: &Request) -> Reason {
        let mut targets = self.targets.values().filter(|t| t.serves(request));
        let is_evacuated = |t: &Target| t.is_barred && !t.is_leaving() && t.is_allowed(request);
        if targets.clone().any(is_evacuated) {
            return Reason::Evacuated;
        }
        if targets.any(|t| t.may_get_new() && !t.is_allowed(request)) {
            return Reason::Region;
        }
        match request.build {
            Some(_) => Reason::NoBuild,
            None => Reason::NoTarget,
        }
    }
}
