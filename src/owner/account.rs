//! Fair-queueing state of one workspace at one owner for one service.

use super::{Estimator, Snapshot, queue::Key};
use crate::{
    id,
    unit::{Cost, Span, Time, Weight},
    wire,
};
use std::collections::BTreeSet;

/// Time for which a raised level overrides lower ones, which the aggregator may have sent before
/// it knew of the raise.
const RAISE_PRECEDENCE: Span = Span::from_secs(3);

/// Raise of the level when a workspace became backlogged after an idle period.
#[derive(Clone, Copy, Debug)]
struct Raise {
    at: Time,
    level: u64,
    served: Cost,
}

/// Fair-queueing state of one workspace at one owner for one service.
#[derive(Clone, Debug)]
pub struct Account {
    /// Weight of the workspace.
    pub weight: Weight,
    /// Cost charged since this incarnation of the owner started.
    pub served: Cost,
    /// Last known fleet-wide level, without charges made here since.
    pub fleet_level: u64,
    /// Part of `served` that `fleet_level` already includes.
    pub included: Cost,
    /// Number of requests that run on the owner's targets.
    pub running: u32,
    /// Corrects the cost hints of this workspace's requests.
    pub estimator: Estimator,
    /// Sequence number of the workspace's last grant.
    pub grant_sequence: u64,
    /// Finish tag of the workspace's last grant by start-time fair queueing.
    pub finish_tag: u64,
    /// Key under which the queues hold the workspace.
    pub(super) key: Key,
    /// Number of reports sent since the account last changed.
    pub(super) unchanged_reports: u8,
    /// Time at which the last request left; meaningful while nothing waits or runs.
    pub(super) idle_since: Time,
    quick: BTreeSet<(Time, id::Attempt)>,
    long: BTreeSet<(Time, id::Attempt)>,
    last_raise: Option<Raise>,
}

impl Account {
    /// Returns the account of a workspace that has not been served yet.
    pub fn new(weight: Weight) -> Self {
        Self {
            weight,
            served: Cost(0),
            fleet_level: 0,
            included: Cost(0),
            running: 0,
            estimator: Estimator::default(),
            grant_sequence: 0,
            finish_tag: 0,
            key: Key::default(),
            unchanged_reports: 0,
            idle_since: Time(0),
            quick: BTreeSet::new(),
            long: BTreeSet::new(),
            last_raise: None,
        }
    }

    /// Returns the fleet-wide level, with local charges that the aggregator has not counted yet.
    pub fn level(&self) -> u64 {
        let more = self
            .weight
            .normalize(self.served.saturating_sub(self.included));
        let less = self
            .weight
            .normalize(self.included.saturating_sub(self.served));
        self.fleet_level.saturating_add(more).saturating_sub(less)
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

    /// Returns the waiting requests of a class for modification.
    pub(super) fn queue_mut(&mut self, class: wire::Class) -> &mut BTreeSet<(Time, id::Attempt)> {
        match class {
            wire::Class::Quick => &mut self.quick,
            wire::Class::Long => &mut self.long,
        }
    }

    /// Replaces the charge `charged` with `cost`.
    pub fn replace_charge(&mut self, charged: Cost, cost: Cost) {
        self.served = self.served.saturating_sub(charged) + cost;
    }

    /// Raises the level to `floor` after an idle period, so that no credit accrues while idle.
    pub fn raise_level(&mut self, now: Time, floor: u64) {
        if self.level() >= floor {
            return;
        }
        self.fleet_level = floor;
        self.included = self.served;
        self.last_raise = Some(Raise {
            at: now,
            level: floor,
            served: self.served,
        });
    }

    /// Applies the aggregator's level, unless it predates a recent raise.
    pub fn apply_level(&mut self, now: Time, level: u64, included: Cost) {
        self.fleet_level = level;
        self.included = included;
        let Some(raise) = self.last_raise else { return };
        if now.since(raise.at) > RAISE_PRECEDENCE {
            self.last_raise = None;
            return;
        }
        let more = self
            .weight
            .normalize(self.served.saturating_sub(raise.served));
        if self.level() < raise.level.saturating_add(more) {
            self.fleet_level = raise.level;
            self.included = raise.served;
        }
    }

    /// Changes the weight and keeps the level.
    pub fn set_weight(&mut self, weight: Weight) {
        if self.weight == weight {
            return;
        }
        self.fleet_level = self.level();
        self.included = self.served;
        self.weight = weight;
    }

    /// Reports whether the account is inactive, the aggregator has counted all its charges, and
    /// `repeats` reports were sent since its last change.
    pub(super) fn is_reported(&self, repeats: u8) -> bool {
        !self.is_active() && self.served == self.included && self.unchanged_reports >= repeats
    }

    /// Returns the usage entry for a report to the aggregator.
    pub fn usage(&self, workspace: &id::Workspace, service: &id::Service) -> wire::Usage {
        wire::Usage {
            workspace: workspace.clone(),
            service: service.clone(),
            served: self.served,
            known: self.fleet_level,
            included: self.included,
            waiting: self.waiting() as u32,
            running: self.running,
        }
    }

    /// Returns the state that is shown to operators.
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
