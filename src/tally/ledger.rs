//! Fleet-wide level of one workspace for one service.

use crate::{
    id,
    unit::{Cost, Span, Time, Weight},
    wire,
};
use std::collections::BTreeMap;

/// Time after which an owner that tells nothing of a workspace counts as idle for it.
const ACTIVE_FRESH: Span = Span::from_secs(5);
/// Thousandths of a token in a token.
const MILLI: i128 = 1_000;

/// What an owner last reported.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    sequence: u64,
    served: Cost,
    waiting: u32,
    at: Time,
}

/// Fleet-wide level of one workspace for one service.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    level: u64,
    /// Part of the level that is lost to rounding, in thousandths of a token.
    rest: i128,
    weight: Weight,
    baselines: BTreeMap<(id::Router, id::Incarnation), Baseline>,
}

impl Ledger {
    pub(super) fn new() -> Self {
        Self {
            level: 0,
            rest: 0,
            weight: Weight::ONE,
            baselines: BTreeMap::new(),
        }
    }

    /// Returns the level.
    pub(super) fn level(&self) -> u64 {
        self.level
    }

    /// Returns the service of an owner that the level includes.
    pub(super) fn included(&self, owner: &(id::Router, id::Incarnation)) -> Cost {
        let baseline = self.baselines.get(owner);
        baseline.map_or(Cost(0), |baseline| baseline.served)
    }

    /// Takes another weight; the level stays.
    pub(super) fn reweigh(&mut self, weight: Weight) {
        if self.weight != weight {
            self.weight = weight;
            self.rest = 0;
        }
    }

    /// Adds what an owner served since its last report; a repeated or older one changes nothing.
    pub(super) fn add(
        &mut self,
        now: Time,
        owner: (id::Router, id::Incarnation),
        sequence: u64,
        usage: &wire::Usage,
        floor: Option<u64>,
    ) {
        let was_backlogged = self.is_backlogged(now);
        let last = self.baselines.get(&owner);
        if last.is_some_and(|last| last.sequence >= sequence) {
            return;
        }
        let from = match last {
            Some(last) => last.served,
            None => {
                self.level = self.level.max(usage.known);
                usage.included
            }
        };
        self.charge(from, usage.served);
        let baseline = Baseline {
            sequence,
            served: usage.served,
            waiting: usage.waiting,
            at: now,
        };
        self.baselines.insert(owner, baseline);
        if !was_backlogged && usage.waiting > 0 {
            self.level = self.level.max(floor.unwrap_or(0));
        }
    }

    /// Adds the normalized difference of two cumulative counts.
    fn charge(&mut self, from: Cost, to: Cost) {
        let tokens = i128::from(to.0) - i128::from(from.0);
        let scaled = tokens * MILLI + self.rest;
        let weight = i128::from(self.weight.get());
        let level = i128::from(self.level) + scaled.div_euclid(weight);
        self.rest = scaled.rem_euclid(weight);
        self.level = u64::try_from(level.max(0)).unwrap_or(u64::MAX);
    }

    /// Reports whether requests wait anywhere.
    fn is_backlogged(&self, now: Time) -> bool {
        let mut baselines = self.baselines.values();
        baselines.any(|b| b.waiting > 0 && now.since(b.at) < ACTIVE_FRESH)
    }

    /// Notes that nothing waits at a router any more.
    pub(super) fn lose(&mut self, router: &id::Router) {
        for ((name, _), baseline) in &mut self.baselines {
            if name == router {
                baseline.waiting = 0;
            }
        }
    }

    /// Drops baselines that are older than `keep`; reports whether any is left.
    pub(super) fn forget(&mut self, now: Time, keep: Span) -> bool {
        self.baselines.retain(|_, b| now.since(b.at) < keep);
        !self.baselines.is_empty()
    }
}
