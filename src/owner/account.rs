//! Fair-queueing state of one workspace at one owner for one service.

use super::{Estimator, Snapshot, queue::Key};
use crate::{
    id,
    unit::{Cost, Span, Time, Weight},
    wire,
};
use std::collections::BTreeSet;

/// Time for which a raised level overrides lower ones; the tally may have sent those before it
/// knew of the raise.
const RAISE_PRECEDENCE: Span = Span::from_secs(3);

/// Raise of the level when a workspace became backlogged after an idle period.
#[derive(Clone, Copy, Debug)]
struct Lift {
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
    pub known: u64,
    /// Part of `served` that `known` already includes.
    pub included: Cost,
    /// Number of requests that run on the owner's targets.
    pub running: u32,
    /// Corrects the cost hints of this workspace's requests.
    pub estimator: Estimator,
    /// Sequence number of the workspace's last grant.
    pub turn: u64,
    /// Finish tag of the workspace's last grant by start-time fair queueing.
    pub share: u64,
    /// Key under which the queues hold the workspace.
    pub(super) key: Key,
    /// Number of reports sent since the account last changed.
    pub(super) quiet: u8,
    /// Time at which the last request left, if nothing waits or runs.
    pub(super) idle: Time,
    quick: BTreeSet<(Time, id::Attempt)>,
    long: BTreeSet<(Time, id::Attempt)>,
    lift: Option<Lift>,
}

impl Account {
    /// Returns the account of a workspace that has not been served yet.
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

    /// Returns the fleet-wide level, with local charges that the tally has not counted yet.
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

    /// Returns the waiting requests of a class for modification.
    pub(super) fn queue_mut(&mut self, class: wire::Class) -> &mut BTreeSet<(Time, id::Attempt)> {
        match class {
            wire::Class::Quick => &mut self.quick,
            wire::Class::Long => &mut self.long,
        }
    }

    /// Replaces the charge `charged` with `cost`.
    pub fn correct(&mut self, charged: Cost, cost: Cost) {
        self.served = self.served.saturating_sub(charged) + cost;
    }

    /// Raises the level to `floor` after an idle period, so that no credit accrues while idle.
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

    /// Applies the tally's level, unless it predates a recent raise.
    pub fn learn(&mut self, now: Time, level: u64, included: Cost) {
        self.known = level;
        self.included = included;
        let Some(lift) = self.lift else { return };
        if now.since(lift.at) > RAISE_PRECEDENCE {
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

    /// Changes the weight and keeps the level.
    pub fn reweigh(&mut self, weight: Weight) {
        if self.weight == weight {
            return;
        }
        self.known = self.level();
        self.included = self.served;
        self.weight = weight;
    }

    /// Reports whether the account is inactive and fully counted by the tally, and was reported
    /// `repeats` times since its last change.
    pub(super) fn is_reported(&self, repeats: u8) -> bool {
        !self.is_active() && self.served == self.included && self.quiet >= repeats
    }

    /// Returns the usage entry for a report to the tally.
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
