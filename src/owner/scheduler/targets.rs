//! Owned targets: configuration, availability, and hand-over of their requests.

use super::{Scheduler, pulls::send_move};
use crate::{
    config, id,
    owner::{
        Slots,
        pool::Pool,
        request::{Request, State},
    },
    unit::Time,
    wire,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

impl Scheduler {
    /// Applies a configuration.
    pub(super) fn configure(&mut self, fleet: Arc<config::Fleet>, out: &mut Vec<wire::Envelope>) {
        self.fleet = fleet;
        for (name, pool) in &mut self.pools {
            if let Some(service) = self.fleet.services.get(name) {
                pool.service = Arc::clone(service);
            }
            for (workspace, account) in &mut pool.accounts {
                if let Some(config) = self.fleet.workspaces.get(workspace) {
                    account.set_weight(config.weight);
                }
            }
        }
        self.sync_targets(out);
    }

    /// Updates the pools to the owned targets that the configuration has.
    pub(super) fn sync_targets(&mut self, out: &mut Vec<wire::Envelope>) {
        let configured = self.owned.iter().filter_map(|t| self.fleet.targets.get(t));
        let mut wanted: BTreeMap<id::Service, BTreeMap<id::Target, u32>> = BTreeMap::new();
        for target in configured {
            let slots = wanted.entry(target.service.clone()).or_default();
            slots.insert(target.name.clone(), target.slots);
        }
        for name in wanted.keys() {
            if let Some(service) = self.fleet.services.get(name) {
                let pool = || Pool::new(Arc::clone(service));
                self.pools.entry(name.clone()).or_insert_with(pool);
            }
        }
        let mut lost = BTreeSet::new();
        for (name, pool) in &mut self.pools {
            let wanted = wanted.remove(name).unwrap_or_default();
            let gone = pool.slots.keys().filter(|t| !wanted.contains_key(*t));
            lost.extend(gone.cloned());
            pool.slots.retain(|target, _| wanted.contains_key(target));
            for (target, max) in wanted {
                let slots = pool.slots.entry(target).or_insert_with(|| Slots::new(max));
                slots.resize(max);
            }
        }
        self.release_targets(&lost, out);
        self.dispatch_all(out);
    }

    /// Releases the requests of targets that this router no longer owns.
    ///
    /// Waiting requests move away if no target of their service is left here. The next owner takes
    /// over the running ones.
    pub(super) fn release_targets(
        &mut self,
        lost: &BTreeSet<id::Target>,
        out: &mut Vec<wire::Envelope>,
    ) {
        if lost.is_empty() {
            return;
        }
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (attempt, request) in &self.requests {
            match &request.state {
                State::Waiting if !self.has_targets(&request.ask.service) => waiting.push(*attempt),
                State::Running { target, .. } if lost.contains(target) => running.push(*attempt),
                _ => {}
            }
        }
        for attempt in running {
            self.hand_over(&attempt);
        }
        for attempt in waiting {
            let Some(request) = self.remove(&attempt) else {
                continue;
            };
            let target = request.ask.target.clone();
            send_move(request.ingress, attempt, target, out);
        }
    }

    pub(super) fn has_targets(&self, service: &id::Service) -> bool {
        self.pools.get(service).is_some_and(|p| !p.slots.is_empty())
    }

    /// Returns the peers' target of a service with the most free slots; with the least waiting cost
    /// among equals.
    pub(super) fn peer_target(&self, service: &id::Service) -> Option<id::Target> {
        let loads = self.peers.iter().flat_map(|peer| &peer.loads);
        let others = loads.filter(|load| {
            let target = self.fleet.targets.get(&load.target);
            let same = target.is_some_and(|t| &t.service == service);
            same && load.slots > 0 && !self.owned.contains(&load.target)
        });
        let best = others.min_by_key(|load| (u32::MAX - load.free, load.waiting));
        best.map(|load| load.target.clone())
    }

    /// Applies a target's load report.
    pub(super) fn apply_load(
        &mut self,
        target: &id::Target,
        running: u32,
        waiting: u32,
        out: &mut Vec<wire::Envelope>,
    ) {
        let now = self.now;
        self.update_slots(target, |slots| slots.adapt(now, running, waiting), out);
    }

    /// Stops grants to a target; moves or refuses waiting requests if no other target is left.
    pub(super) fn pause_target(
        &mut self,
        target: &id::Target,
        until: Option<Time>,
        out: &mut Vec<wire::Envelope>,
    ) {
        self.update_slots(target, |slots| slots.pause(until), out);
        let Some(service) = self.service_of(target) else {
            return;
        };
        if !self
            .pools
            .get(&service)
            .is_some_and(|p| p.is_available(self.now))
        {
            self.clear_queue(&service, wire::Reason::NoTarget, out);
        }
    }

    /// Allows grants to a target again.
    pub(super) fn resume_target(&mut self, target: &id::Target, out: &mut Vec<wire::Envelope>) {
        self.update_slots(target, Slots::resume, out);
    }

    /// Changes the slots of a target and grants those that became free.
    pub(super) fn update_slots(
        &mut self,
        target: &id::Target,
        change: impl FnOnce(&mut Slots),
        out: &mut Vec<wire::Envelope>,
    ) {
        let Some(service) = self.service_of(target) else {
            return;
        };
        let pool = self.pools.get_mut(&service);
        if let Some(slots) = pool.and_then(|pool| pool.slots.get_mut(target)) {
            change(slots);
        }
        self.dispatch(&service, out);
    }

    pub(super) fn service_of(&self, target: &id::Target) -> Option<id::Service> {
        let target = self.fleet.targets.get(target)?;
        Some(target.service.clone())
    }

    /// Moves or refuses all waiting requests of a service.
    pub(super) fn clear_queue(
        &mut self,
        service: &id::Service,
        reason: wire::Reason,
        out: &mut Vec<wire::Envelope>,
    ) {
        let waits =
            |request: &Request| request.state == State::Waiting && &request.ask.service == service;
        let requests = self.requests.iter().filter(|(_, request)| waits(request));
        let attempts: Vec<_> = requests.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            if let Some(request) = self.remove(&attempt) {
                self.refuse_or_move(request.ingress, &request.ask, reason, out);
            }
        }
    }
}
