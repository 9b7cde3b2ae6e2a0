//! Service account of one workspace at one owner for one service.

use super::{Estimator, Snapshot, queue::Key};
use crate::{
    id,
    unit::{Cost, Span, Time, Weight},
    wire,
};
use std::collections::BTreeSet;

/// Time for which a lift outlasts replies that the tally sent before it knew of the lift.
const LIFT_HOLD: Span = Span::from_secs(3);

/// A raise of the level at the end of an idle time.
#[derive(Clone, Copy, Debug)]
struct Lift {
    at: Time,
    level: u64,
    served: Cost,
}

/// Service account of one workspace at one owner for one service.
#[derive(Clone, Debug)]
pub struct Account {
    /// Entitlement.
    pub weight: Weight,
    /// Service charged since the owner's incarnation began.
    pub served: Cost,
    /// Last known fleet-wide level.
    pub known: u64,
    /// Value of `served` that `known` includes.
    pub included: Cost,
    /// Requests on the owner's targets.
    pub running: u32,
    /// Correction of hints.
    pub estimator: Estimator,
    /// Number of the last grant.
    pub turn: u64,
    /// Service per unit of weight that was granted in turn.
    pub share: u64,
    /// Keys under which the queues have the workspace.
    pub(super) key: Key,
    /// Reports sent since the account became inactive and the tally knew its service.
    pub(super) quiet: u8,
    /// Time since which nothing waits or runs.
    pub(super) idle: Time,
    quick: BTreeSet<(Time, id::Attempt)>,
    long: BTreeSet<(Time, id::Attempt)>,
    lift: Option<Lift>,
}

impl Account {
    /// Returns the account of a workspace that was not served yet.
    pub fn new(weight: Weight) -> Self {
        Self {
            weight,
            served: Cost(0),
            known: 0,
            included: Cost(0),
            running: 0,
            estimator: Estimator::default(),
            turn: 0,
            share: 0,
            key: Key::default(),
            quiet: 0,
            idle: Time(0),
            quick: BTreeSet::new(),
            long: BTreeSet::new(),
            lift: None,
        }
    }

    /// Returns the fleet-wide level with the service that the tally has not included yet.
    pub fn level(&self) -> u64 {
        let more = self
            .weight
            .normalize(self.served.saturating_sub(self.included));
        let less = self
            .weight
            .normalize(self.included.saturating_sub(self.served));
        self.known.saturating_add(more).saturating_sub(less)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.quick.len() + self.long.len()
    }

    /// Reports whether anything waits or runs.
    pub fn is_active(&self) -> bool {
        self.running > 0 || self.waiting() > 0
    }

    /// Returns the waiting requests of a class, oldest first.
    pub fn queue(&self, class: wire::Class) -> &BTreeSet<(Time, id::Attempt)> {
        match class {
            wire::Class::Quick => &self.quick,
            wire::Class::Long => &self.long,
        }
    }

    /// Returns the waiting requests of a class for a change.
    pub(super) fn queue_mut(&mut self, class: wire::Class) -> &mut BTreeSet<(Time, id::Attempt)> {
        match class {
            wire::Class::Quick => &mut self.quick,
            wire::Class::Long => &mut self.long,
        }
    }

    /// Replaces a charge by another one.
    pub fn correct(&mut self, charged: Cost, cost: Cost) {
        self.served = self.served.saturating_sub(charged) + cost;
    }

    /// Raises the level at the end of an idle time, so that idleness earns no credit.
    pub fn raise(&mut self, now: Time, floor: u64) {
        if self.level() >= floor {
            return;
        }
        self.known = floor;
        self.included = self.served;
        self.lift = Some(Lift {
            at: now,
            level: floor,
            served: self.served,
        });
    }

    /// Takes the tally's level, but not one from before a recent lift.
    pub fn learn(&mut self, now: Time, level: u64, included: Cost) {
        self.known = level;
        self.included = included;
        let Some(lift) = self.lift else { return };
        if now.since(lift.at) > LIFT_HOLD {
            self.lift = None;
            return;
        }
        let more = self
            .weight
            .normalize(self.served.saturating_sub(lift.served));
        if self.level() < lift.level.saturating_add(more) {
            self.known = lift.level;
            self.included = lift.served;
        }
    }

    /// Takes another weight; the level stays.
    pub fn reweigh(&mut self, weight: Weight) {
        if self.weight == weight {
            return;
        }
        self.known = self.level();
        self.included = self.served;
        self.weight = weight;
    }

    /// Reports whether the tally knows all there is, after `repeats` reports without a change.
    pub(super) fn is_reported(&self, repeats: u8) -> bool {
        !self.is_active() && self.served == self.included && self.quiet >= repeats
    }

    /// Returns the entry of a report.
    pub fn usage(&self, workspace: &id::Workspace, service: &id::Service) -> wire::Usage {
        wire::Usage {
            workspace: workspace.clone(),
            service: service.clone(),
            served: self.served,
            known: self.known,
            included: self.included,
            waiting: self.waiting() as u32,
            running: self.running,
        }
    }

    /// Returns the state for operators.
    pub fn snapshot(&self, workspace: &id::Workspace, service: &id::Service) -> Snapshot {
        Snapshot {
            workspace: workspace.clone(),
            service: service.clone(),
            quick: self.quick.len() as u32,
            long: self.long.len() as u32,
            running: self.running,
            served: self.served,
            level: self.level(),
        }
    }
}
