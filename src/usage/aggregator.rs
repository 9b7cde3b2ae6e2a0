//! Aggregates the usage that owners report; a state machine without I/O.

use super::{Event, ledger::Ledger};
use crate::{
    config, id,
    unit::{Span, Time, Weight},
    wire,
};
use std::{collections::BTreeMap, sync::Arc};

/// Time for which the baseline of an owner is kept without reports. An owner that rejoins within
/// it is counted exactly.
const BASELINE_RETENTION: Span = Span::from_secs(3600);
/// Time between two evictions of old baselines.
const EVICTION_INTERVAL: Span = Span::from_secs(60);
/// Time for which a reported floor is valid.
const FLOOR_VALIDITY: Span = Span::from_secs(5);

/// Aggregates the usage of workspaces over all owners.
#[derive(Debug, Default)]
pub struct Aggregator {
    fleet: Arc<config::Fleet>,
    ledgers: BTreeMap<id::Service, BTreeMap<id::Workspace, Ledger>>,
    owner_floors: BTreeMap<id::Router, (Time, Vec<(id::Service, u64)>)>,
    heartbeat_floors: Vec<(id::Service, u64)>,
    last_eviction: Time,
    now: Time,
}

impl Aggregator {
    /// Returns an empty aggregator.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an event and appends the resulting messages to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<wire::Envelope>) {
        self.now = self.now.max(now);
        match event {
            Event::Config(fleet) => self.configure(fleet),
            Event::Report { from, report } => self.handle_report(from, report, out),
            Event::RouterLost(router) => self.remove_router(&router),
            Event::Floors(floors) => self.heartbeat_floors = floors,
            Event::Tick => self.evict_old(),
        }
    }

    /// Returns the fleet-wide level of a workspace for a service.
    pub fn level(&self, workspace: &id::Workspace, service: &id::Service) -> Option<u64> {
        let ledger = self.ledgers.get(service)?.get(workspace)?;
        Some(ledger.level())
    }

    /// Returns the number of levels kept.
    pub fn len(&self) -> usize {
        self.ledgers.values().map(BTreeMap::len).sum()
    }

    /// Reports whether no level is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn configure(&mut self, fleet: Arc<config::Fleet>) {
        self.fleet = fleet;
        for ledgers in self.ledgers.values_mut() {
            for (workspace, ledger) in ledgers {
                ledger.set_weight(weight_of(&self.fleet, workspace));
            }
        }
    }

    /// Adds a report and answers with the levels of the workspaces in it.
    fn handle_report(
        &mut self,
        from: id::Router,
        report: wire::Report,
        out: &mut Vec<wire::Envelope>,
    ) {
        let owner = (from.clone(), report.incarnation);
        self.owner_floors
            .insert(from.clone(), (self.now, report.floors));
        let floors = self.lowest_floors();
        let mut levels = Vec::new();
        for usage in &report.usage {
            let ledgers = self.ledgers.entry(usage.service.clone()).or_default();
            let ledger = ledgers.entry(usage.workspace.clone());
            let ledger = ledger.or_insert_with(Ledger::new);
            ledger.set_weight(weight_of(&self.fleet, &usage.workspace));
            let floor = floors.get(&usage.service).copied();
            ledger.add(self.now, owner.clone(), report.sequence, usage, floor);
            levels.push(wire::Level {
                workspace: usage.workspace.clone(),
                service: usage.service.clone(),
                level: ledger.level(),
                included: ledger.included(&owner),
            });
        }
        if !levels.is_empty() {
            out.push(wire::Envelope {
                to: from,
                message: wire::Message::Levels(levels),
            });
        }
    }

    /// Returns the lowest valid floor of each service.
    fn lowest_floors(&self) -> BTreeMap<id::Service, u64> {
        let valid = self.owner_floors.values();
        let valid = valid.filter(|(at, _)| self.now.since(*at) < FLOOR_VALIDITY);
        let floors = valid
            .flat_map(|(_, floors)| floors)
            .chain(&self.heartbeat_floors);
        let mut lowest = BTreeMap::new();
        for (service, floor) in floors {
            let entry = lowest.entry(service.clone()).or_insert(*floor);
            *entry = (*entry).min(*floor);
        }
        lowest
    }

    fn remove_router(&mut self, router: &id::Router) {
        self.owner_floors.remove(router);
        for ledgers in self.ledgers.values_mut() {
            for ledger in ledgers.values_mut() {
                ledger.clear_waiting(router);
            }
        }
    }

    /// Evicts baselines and ledgers without recent reports.
    fn evict_old(&mut self) {
        if self.now.since(self.last_eviction) < EVICTION_INTERVAL {
            return;
        }
        self.last_eviction = self.now;
        for ledgers in self.ledgers.values_mut() {
            ledgers.retain(|_, ledger| ledger.evict(self.now, BASELINE_RETENTION));
        }
    }
}

fn weight_of(fleet: &config::Fleet, workspace: &id::Workspace) -> Weight {
    let config = fleet.workspaces.get(workspace);
    config.map_or(Weight::ONE, |config| config.weight)
}
