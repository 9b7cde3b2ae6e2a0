//! Fleet-wide usage of one workspace for one service.

use crate::{
    id,
    unit::{Cost, Span, Time, Weight},
    wire,
};
use std::collections::BTreeMap;

/// Time without reports after which an owner no longer counts as backlogged.
const BACKLOG_VALIDITY: Span = Span::from_secs(5);
/// Thousandths of a token in a token.
const MILLITOKENS_PER_TOKEN: i128 = 1_000;

/// Last report of an owner, to which the next one is compared.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    sequence: u64,
    served: Cost,
    waiting: u32,
    reported_at: Time,
}

/// Fleet-wide usage of one workspace for one service.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    level: u64,
    /// Remainder of the division by the weight, in thousandths of a token; carried over to the next
    /// report.
    remainder: i128,
    weight: Weight,
    baselines: BTreeMap<(id::Router, id::Incarnation), Baseline>,
}

impl Ledger {
    pub(super) fn new() -> Self {
        Self {
            level: 0,
            remainder: 0,
            weight: Weight::ONE,
            baselines: BTreeMap::new(),
        }
    }

    pub(super) fn level(&self) -> u64 {
        self.level
    }

    /// Returns the usage of an owner that the level includes.
    pub(super) fn included(&self, owner: &(id::Router, id::Incarnation)) -> Cost {
        let baseline = self.baselines.get(owner);
        baseline.map_or(Cost(0), |baseline| baseline.served)
    }

    /// Changes the weight and keeps the level.
    pub(super) fn set_weight(&mut self, weight: Weight) {
        if self.weight != weight {
            self.weight = weight;
            self.remainder = 0;
        }
    }

    /// Adds an owner's usage since its last report; a repeated or older report changes nothing.
    ///
    /// The first report of an owner restores the level that the owner knew, in case the workspace
    /// had another aggregator before. A workspace that becomes backlogged gets at least the level
    /// `floor`, so that no credit accrues while idle.
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
        let previous = match last {
            Some(last) => last.served,
            None => {
                self.level = self.level.max(usage.known);
                usage.included
            }
        };
        self.charge(previous, usage.served);
        let baseline = Baseline {
            sequence,
            served: usage.served,
            waiting: usage.waiting,
            reported_at: now,
        };
        self.baselines.insert(owner, baseline);
        if !was_backlogged && usage.waiting > 0 {
            self.level = self.level.max(floor.unwrap_or(0));
        }
    }

    /// Adds the difference of two cumulative costs, divided by the weight.
    fn charge(&mut self, previous: Cost, current: Cost) {
        let tokens = i128::from(current.0) - i128::from(previous.0);
        let millitokens = tokens * MILLITOKENS_PER_TOKEN + self.remainder;
        let weight = i128::from(self.weight.get());
        let level = i128::from(self.level) + millitokens.div_euclid(weight);
        self.remainder = millitokens.rem_euclid(weight);
        self.level = u64::try_from(level.max(0)).unwrap_or(u64::MAX);
    }

    /// Reports whether requests wait at any owner.
    fn is_backlogged(&self, now: Time) -> bool {
        let mut baselines = self.baselines.values();
        baselines.any(|baseline| {
            baseline.waiting > 0 && now.since(baseline.reported_at) < BACKLOG_VALIDITY
        })
    }

    /// Records that no requests wait at a router any more.
    pub(super) fn clear_waiting(&mut self, router: &id::Router) {
        for ((name, _), baseline) in &mut self.baselines {
            if name == router {
                baseline.waiting = 0;
            }
        }
    }

    /// Evicts baselines that are older than `keep`; reports whether any is left.
    pub(super) fn evict(&mut self, now: Time, keep: Span) -> bool {
        self.baselines
            .retain(|_, baseline| now.since(baseline.reported_at) < keep);
        !self.baselines.is_empty()
    }
}
