//! Fair shares of the fleet's capacity: max-min fairness over a sliding window.
//!
//! Limits a workspace that floods the fleet, so that its demand beyond its share does not displace
//! others.

use super::{
    Allocation,
    capacity::{Capacity, Observation},
};
use crate::unit::{Span, Time};
use std::collections::HashMap;

/// Buckets of the sliding window; tokens leave it in steps of a sixteenth.
const BUCKETS: usize = 16;

/// Most recent buckets that the capacity is measured over: a second of a window of four.
const OBSERVED_BUCKETS: u64 = 4;
/// Most that a workspace may be granted, in percent of its share or of what the least-served
/// refused workspace got, whichever is larger. Callers should see a ratio of at most two between
/// workspaces; the difference of this value from 200 is a margin for uneven demand.
const MAX_LEAD_PERCENT: u64 = 150;
/// Percentage by which a workspace's demand must exceed its grants for it to count as refused.
const MIN_UNMET_PERCENT: u64 = 10;

/// Tokens of one workspace at all routers, by bucket of the window.
#[derive(Clone, Debug, Default)]
struct Window {
    requested: [u64; BUCKETS],
    granted: [u64; BUCKETS],
}

/// Fair shares of the fleet's capacity.
#[derive(Clone, Debug)]
pub(super) struct Share {
    window: Span,
    capacity: Capacity,
    workspaces: HashMap<u64, Window>,
    /// Number of the current bucket, counted from the start of the clock.
    bucket: u64,
    /// Fair share of a workspace in a window; `None` while all demand is met.
    fair_share: Option<u64>,
    /// Fewest tokens granted to a workspace that was refused some; `None` if there is none.
    least_granted: Option<u64>,
}

impl Share {
    pub(super) fn new(window: Span) -> Self {
        Self {
            window,
            capacity: Capacity::default(),
            workspaces: HashMap::new(),
            bucket: 0,
            fair_share: None,
            least_granted: None,
        }
    }

    /// Sets the configured capacity of the fleet.
    pub(super) fn set_capacity(&mut self, tokens_per_s: Option<u64>) {
        self.capacity.configure(tokens_per_s);
    }

    /// Returns the capacity that shares are computed from.
    pub(super) fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// Returns the fair share of a workspace in a window; `None` while all demand is met.
    pub(super) fn fair_share(&self) -> Option<u64> {
        self.fair_share
    }

    /// Returns the fewest tokens granted to a workspace that was refused some.
    pub(super) fn least_granted(&self) -> Option<u64> {
        self.least_granted
    }

    /// Adds tokens that a workspace requested and was granted, at any router.
    pub(super) fn add(&mut self, workspace: u64, requested: u64, granted: u64) {
        let at = (self.bucket % BUCKETS as u64) as usize;
        let window = self.workspaces.entry(workspace).or_default();
        window.requested[at] += requested;
        window.granted[at] += granted;
    }

    /// Advances the window and recomputes the fair share. `pressure` returns the fraction of the
    /// engines that are crowded.
    pub(super) fn tick(&mut self, now: Time, pressure: impl FnOnce() -> f64) {
        let bucket = now.0 * BUCKETS as u64 / self.window.0.max(1);
        let elapsed = bucket.saturating_sub(self.bucket);
        if elapsed > 0 {
            self.observe_capacity(pressure());
        }
        for step in 1..=elapsed.min(BUCKETS as u64) {
            let at = ((self.bucket + step) % BUCKETS as u64) as usize;
            for window in self.workspaces.values_mut() {
                window.requested[at] = 0;
                window.granted[at] = 0;
            }
        }
        self.bucket = self.bucket.max(bucket);
        if elapsed > 0 {
            self.workspaces
                .retain(|_, window| window.requested.iter().any(|tokens| *tokens > 0));
        }
        let capacity = self.capacity.tokens_per_s();
        let capacity = capacity.map(|rate| rate * self.window.0 / 1_000_000);
        self.fair_share = capacity.and_then(|capacity| {
            let requested = self.workspaces.values().map(Window::requested);
            water_level(requested.collect(), capacity)
        });
        let refused = self.workspaces.values().filter(|w| w.is_refused());
        self.least_granted = refused.map(Window::granted).min();
    }

    /// Updates the capacity with the tokens of the most recent buckets, of which the current one is
    /// complete.
    fn observe_capacity(&mut self, pressure: f64) {
        // At the start, the older buckets have no tokens.
        if self.bucket < OBSERVED_BUCKETS {
            return;
        }
        let (mut requested, mut granted) = (0, 0);
        for bucket in self.bucket + 1 - OBSERVED_BUCKETS..=self.bucket {
            let at = (bucket % BUCKETS as u64) as usize;
            for window in self.workspaces.values() {
                requested += window.requested[at];
                granted += window.granted[at];
            }
        }
        let span = self.window.0 * OBSERVED_BUCKETS / BUCKETS as u64;
        let per_s = |tokens: u64| tokens * 1_000_000 / span.max(1);
        self.capacity.observe(Observation {
            requested_per_s: per_s(requested),
            granted_per_s: per_s(granted),
            pressure,
        });
    }

    /// Returns the share and usage of a workspace.
    pub(super) fn allocation(&self, workspace: u64) -> Allocation {
        let window = self.workspaces.get(&workspace);
        Allocation {
            share: self.fair_share,
            requested: window.map_or(0, Window::requested),
            granted: window.map_or(0, Window::granted),
        }
    }

    /// Returns by how much a workspace would exceed its share with `cost` more tokens, as a
    /// fraction of the share; `None` if it would not.
    pub(super) fn excess(&self, workspace: u64, cost: u64) -> Option<f64> {
        let allocation = self.allocation(workspace);
        let share = allocation.share?;
        let excess = (allocation.granted + cost).checked_sub(share)?;
        Some(excess as f64 / share.max(1) as f64)
    }

    /// Reports whether `cost` more tokens would put a workspace too far ahead of one that is
    /// refused requests. Spare capacity is then left to that one.
    pub(super) fn exceeds_lead(&self, workspace: u64, cost: u64) -> bool {
        let allocation = self.allocation(workspace);
        let (Some(share), Some(least_granted)) = (allocation.share, self.least_granted) else {
            return false;
        };
        (allocation.granted + cost) * 100 > least_granted.max(share) * MAX_LEAD_PERCENT
    }

    /// Returns the time until enough of the workspace's grants have left the window.
    pub(super) fn time_to_fit(&self, workspace: u64, cost: u64) -> Span {
        let allocation = self.allocation(workspace);
        let Some(share) = allocation.share else {
            return Span(0);
        };
        let excess = (allocation.granted + cost).saturating_sub(share);
        Span((excess.saturating_mul(self.window.0) / share.max(1)).min(self.window.0))
    }
}

impl Window {
    fn requested(&self) -> u64 {
        self.requested.iter().sum()
    }

    fn is_refused(&self) -> bool {
        self.requested() * 100 > self.granted() * (100 + MIN_UNMET_PERCENT)
    }

    fn granted(&self) -> u64 {
        self.granted.iter().sum()
    }
}

/// Returns the max-min fair level: each demand is met up to it. `None` if the capacity meets all
/// demands.
fn water_level(mut demands: Vec<u64>, capacity: u64) -> Option<u64> {
    demands.sort_unstable();
    let mut remaining = capacity;
    let mut unserved = demands.len() as u64;
    for demand in demands {
        let equal_share = remaining / unserved;
        if demand > equal_share {
            return Some(equal_share);
        }
        remaining -= demand;
        unserved -= 1;
    }
    None
}
