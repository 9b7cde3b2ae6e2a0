//! Owners and loads of all targets, in this router's view of the fleet.

use crate::{config, id, ingress, member, operator, placement, wire::Load};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Owners and loads of all targets, from which targets for requests are selected.
#[derive(Default)]
pub(super) struct Routes {
    fleet: Arc<config::Fleet>,
    domain: Option<id::Domain>,
    owners: BTreeMap<id::Target, id::Router>,
    services: BTreeMap<id::Service, Vec<id::Target>>,
    loads: BTreeMap<id::Target, Load>,
    unfit: BTreeSet<id::Target>,
}

impl Routes {
    pub(super) fn new(domain: id::Domain) -> Self {
        Self {
            domain: Some(domain),
            ..Self::default()
        }
    }

    /// Recomputes the owners of all targets after a change of the members or the configuration.
    pub(super) fn rebuild(&mut self, fleet: Arc<config::Fleet>, view: &member::View) {
        self.fleet = fleet;
        self.owners.clear();
        self.services.clear();
        for target in self.fleet.targets.values() {
            let Some(owner) = placement::owner_of(target, view) else {
                continue;
            };
            self.owners.insert(target.name.clone(), owner.clone());
            let targets = self.services.entry(target.service.clone()).or_default();
            targets.push(target.name.clone());
        }
    }

    /// Updates the loads and the unfit targets from the members' heartbeats; `own` are the loads of
    /// this router's targets, `unfit` its unfit targets.
    pub(super) fn update_loads(
        &mut self,
        view: &member::View,
        own: Vec<Load>,
        unfit: &BTreeSet<id::Target>,
    ) {
        self.unfit = unfit.clone();
        for member in view.iter() {
            self.unfit.extend(member.unfit.iter().cloned());
            for load in &member.loads {
                self.loads.insert(load.target.clone(), load.clone());
            }
        }
        for load in own {
            self.loads.insert(load.target.clone(), load);
        }
    }

    /// Returns the targets that a router owns.
    pub(super) fn owned_by(&self, router: &id::Router) -> Vec<id::Target> {
        let owned = self.owners.iter().filter(|(_, owner)| *owner == router);
        owned.map(|(target, _)| target.clone()).collect()
    }

    /// Returns a target by name, with its settings from the configuration.
    pub(super) fn target(&self, name: &id::Target) -> Option<&Arc<config::Target>> {
        self.fleet.targets.get(name)
    }

    /// Returns all targets for the operators' interface.
    pub(super) fn targets(&self) -> Vec<operator::Target> {
        let targets = self.fleet.targets.values().map(|target| {
            let load = self.loads.get(&target.name);
            operator::Target {
                target: target.name.clone(),
                service: target.service.clone(),
                domain: target.domain.clone(),
                address: target.address,
                owner: self.owners.get(&target.name).cloned(),
                slots: load.map_or(target.slots, |load| load.slots),
                free: load.map_or(0, |load| load.free),
                fit: !self.unfit.contains(&target.name),
            }
        });
        targets.collect()
    }

    /// Returns a sort key in which the better target is smaller: least waiting cost per slot, then
    /// most free slots, then this router's failure domain.
    fn rank(&self, target: &id::Target) -> (u64, std::cmp::Reverse<u32>, bool) {
        let load = self.loads.get(target);
        let slots = load.map_or(1, |load| load.slots.max(1));
        let waiting = load.map_or(0, |load| load.waiting.0 / u64::from(slots));
        let free = load.map_or(0, |load| load.free);
        let target = self.target(target);
        let is_remote = target.is_none_or(|target| Some(&target.domain) != self.domain.as_ref());
        (waiting, std::cmp::Reverse(free), is_remote)
    }
}

impl ingress::Placement for Routes {
    /// Picks the better of two random targets.
    fn pick(
        &self,
        service: &id::Service,
        exclude: &[id::Target],
        seed: u64,
    ) -> Option<(id::Target, id::Router)> {
        let targets = self.services.get(service)?;
        let fit = targets
            .iter()
            .filter(|target| !self.unfit.contains(*target));
        let eligible: Vec<_> = fit.filter(|target| !exclude.contains(target)).collect();
        let count = eligible.len() as u64;
        let first = *eligible.get((seed % count.max(1)) as usize)?;
        let step = 1 + (seed >> 32) % count.saturating_sub(1).max(1);
        let second = eligible[((seed % count + step) % count) as usize];
        let better = if self.rank(second) < self.rank(first) {
            second
        } else {
            first
        };
        let owner = self.owners.get(better)?;
        Some((better.clone(), owner.clone()))
    }

    fn owner_of(&self, target: &id::Target) -> Option<id::Router> {
        if self.unfit.contains(target) {
            return None;
        }
        self.owners.get(target).cloned()
    }
}
