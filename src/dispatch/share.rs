//! Fair shares of the fleet's capacity: max-min fairness of the rates that workspaces are granted.
//!
//! Limits workspaces that flood the fleet, so that their demand beyond their share doesn't displace
//! others, and so that none of several floods gets ahead of another.

use super::{
    Allocation, Demand,
    capacity::{Capacity, Observation},
    grade::Grade,
    meter::{Meter, seconds},
    pacer::{Pacer, Rates},
};
use crate::{
    id,
    placement::hash,
    unit::{Span, Time},
};
use std::collections::HashMap;

/// Time over which the demand of a workspace is averaged, and thus the time for which one that was idle
/// gets more than its share: half of the window that the platform measures.
const DEMAND_SPAN: Span = Span::from_millis(2_000);
/// Time over which the part of a workspace's demand that arrives at this router is averaged; short, because
/// callers move to other routers at once.
const PART_SPAN: Span = Span::from_millis(150);
/// Time over which the demand and the grants of all workspaces are averaged for the capacity.
const CAPACITY_SPAN: Span = Span::from_millis(1_000);
/// Interval of estimating the capacity.
const OBSERVE_INTERVAL: Span = Span::from_millis(250);
/// Most that a workspace beyond its share may be granted, as a multiple of what the least-served refused
/// workspace gets. Callers should see a ratio of at most two between workspaces.
const MAX_LEAD: f64 = 1.5;
/// Standard deviations of what a workspace is granted by which one must be behind, so that the others are
/// bounded by it: the least served of many always is a little behind, the more the larger its requests are.
const MIN_DEVIATIONS: f64 = 3.0;
/// Weight of a request in the moving averages of costs.
const COST_WEIGHT: f64 = 0.02;
/// Part of its share of the configured capacity that a workspace gets at least, however little another one
/// gets: one that can't be served must not stop all others.
const MIN_SHARE_PART: f64 = 0.5;
/// Ratio of its share to its demand up to which a workspace may make up for what it did not use: one whose
/// demand varies around its share gets the whole of it, one that was idle gets nothing for that time.
const MAX_UNUSED: f64 = 2.0;
/// Fraction of the level that the least-served refused workspace gets, up to which none of the capacity above
/// the configured one is shared out, and from which all of it is.
const SERVED_RANGE: (f64, f64) = (0.4, 0.6);
/// Spare capacity that a workspace may take beside others that are refused, as a fraction of its rate.
const SPARE: f64 = 0.25;
/// Ratio of a workspace's demand to its grants above which it counts as refused, and to its share above which
/// it is paced.
const MIN_UNMET_RATIO: f64 = 1.1;

/// Tokens of one workspace.
#[derive(Clone, Debug, Default)]
struct Workspace {
    /// Tokens that it requested at this router a moment ago.
    own: Meter,
    /// Tokens that it requested at all routers a moment ago.
    all: Meter,
    /// Tokens that it requested at all routers.
    requested: Meter,
    /// Tokens that it was granted at all routers.
    granted: Meter,
    /// Tokens that were its share meanwhile.
    due: Meter,
    /// It was refused requests at the last tick.
    is_refused: bool,
    /// Its pace at this router while its demand is beyond its share.
    pacer: Option<Pacer>,
}

/// Fair shares of the fleet's capacity.
#[derive(Clone, Debug)]
pub(super) struct Share {
    /// Hash of the router's name.
    seed: u64,
    /// Window that shares are reported for.
    window: Span,
    capacity: Capacity,
    workspaces: HashMap<u64, Workspace>,
    /// Tokens that all workspaces requested and were granted.
    requested: Meter,
    granted: Meter,
    now: Time,
    /// Time of the last tick.
    ticked: Time,
    /// Time at which the capacity is estimated next.
    observe_at: Time,
    /// Fair rate of a workspace in tokens per second; `None` while all demand is met.
    level: Option<f64>,
    /// The same for the configured capacity, or the estimate if that is lower.
    floor: Option<f64>,
    /// Lowest rate granted to a workspace that is refused requests; `None` if there is none.
    least_granted: Option<f64>,
    /// Number of workspaces that are refused requests.
    refused: usize,
    /// Moving average of the tokens of a request at this router.
    cost: f64,
    /// Moving average of their square.
    square_cost: f64,
}

impl Share {
    pub(super) fn new(router: &id::Router, window: Span) -> Self {
        Self {
            seed: hash(router.as_str()),
            window,
            capacity: Capacity::default(),
            workspaces: HashMap::new(),
            requested: Meter::default(),
            granted: Meter::default(),
            now: Time::default(),
            ticked: Time::default(),
            observe_at: Time::default(),
            level: None,
            floor: None,
            least_granted: None,
            refused: 0,
            cost: 0.0,
            square_cost: 0.0,
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
        self.level.map(|rate| self.in_window(rate))
    }

    /// Returns the fewest tokens in a window granted to a workspace that is refused some.
    pub(super) fn least_granted(&self) -> Option<u64> {
        self.least_granted.map(|rate| self.in_window(rate))
    }

    /// Sets the time of what is added and admitted from now on.
    pub(super) fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Adds tokens that a workspace requested at this router by a number of requests, and their credit.
    pub(super) fn add_own(&mut self, workspace: u64, requests: f64, requested: u64) {
        let now = self.now;
        let own = &mut self.workspaces.entry(workspace).or_default().own;
        own.add(now, PART_SPAN, requested);
        if requests > 0.0 {
            let cost = requested as f64 / requests;
            self.cost += COST_WEIGHT * (cost - self.cost);
            self.square_cost += COST_WEIGHT * (cost * cost - self.square_cost);
        }
        self.add(workspace, requested, 0);
        if let (Some(rates), Some(known)) =
            (self.paced(workspace), self.workspaces.get_mut(&workspace))
        {
            let seed = self.seed ^ workspace;
            let pacer = known.pacer.get_or_insert_with(|| Pacer::open(seed));
            let own_per_s = known.own.rate(now, PART_SPAN) * requests / requested.max(1) as f64;
            let usual = own_per_s * seconds(Pacer::SAVED_SPAN);
            pacer.add(requests, usual, &rates);
        }
    }

    /// Adds tokens that a workspace requested and was granted, at any router.
    pub(super) fn add(&mut self, workspace: u64, requested: u64, granted: u64) {
        let now = self.now;
        let known = self.workspaces.entry(workspace).or_default();
        known.all.add(now, PART_SPAN, requested);
        known.requested.add(now, DEMAND_SPAN, requested);
        known.granted.add(now, DEMAND_SPAN, granted);
        self.requested.add(now, CAPACITY_SPAN, requested);
        self.granted.add(now, CAPACITY_SPAN, granted);
    }

    /// Divides a number of requests at this router among the workspaces, in proportion to the tokens that
    /// they request here.
    pub(super) fn own_parts(&self, requests: u64) -> Vec<(u64, f64)> {
        let now = self.now;
        let own = self.workspaces.iter();
        let own = own.map(|(key, known)| (*key, known.own.rate(now, PART_SPAN)));
        let own: Vec<(u64, f64)> = own.filter(|(_, rate)| *rate > 0.0).collect();
        let total: f64 = own.iter().map(|(_, rate)| rate).sum();
        let parts = own.into_iter();
        let parts = parts.map(|(key, rate)| (key, requests as f64 * rate / total));
        parts.collect()
    }

    /// Returns the demand at this router of the workspace that most of the demand here is of.
    pub(super) fn dominant(&self) -> Option<Demand> {
        let now = self.now;
        let own = self.workspaces.iter();
        let own = own.map(|(key, known)| (*key, known.own.rate(now, PART_SPAN)));
        let (total, most) = own.fold((0.0, (0, 0.0)), |(total, most): (f64, (u64, f64)), own| {
            (total + own.1, if own.1 > most.1 { own } else { most })
        });
        (most.1 > total / 2.0).then_some(Demand {
            workspace: most.0,
            tokens_per_s: most.1 as u64,
        })
    }

    /// Returns the tokens per second that a workspace requests at all routers.
    pub(super) fn requested_per_s(&self, workspace: u64) -> u64 {
        let known = self.workspaces.get(&workspace);
        known.map_or(0, |known| known.rates(self.now).0 as u64)
    }

    /// Reports whether the capacity is to be estimated again.
    pub(super) fn is_observation_due(&self, now: Time) -> bool {
        now >= self.observe_at
    }

    /// Estimates the capacity from the fraction of the engines that are crowded.
    pub(super) fn observe(&mut self, now: Time, pressure: f64) {
        self.advance(now);
        self.observe_at = now + OBSERVE_INTERVAL;
        let rate = |meter: &Meter| meter.rate(now, CAPACITY_SPAN);
        self.capacity.observe(Observation {
            requested_per_s: rate(&self.requested),
            granted_per_s: rate(&self.granted),
            pressure,
            shared: self.shared(),
        });
        self.workspaces
            .retain(|_, known| known.requested.rate(now, DEMAND_SPAN) >= 1.0);
    }

    /// Returns the fraction of the capacity above the configured one that is shared out. Of a single
    /// workspace beyond its share, requests go only where they cost others nothing. One that gets
    /// little of its share can't use it, and would fall back further.
    fn shared(&self) -> f64 {
        let (Some(least), Some(level), 2..) = (self.least_granted, self.level, self.refused) else {
            return 0.0;
        };
        let (none, all) = SERVED_RANGE;
        ((least / level - none) / (all - none)).clamp(0.0, 1.0)
    }

    /// Recomputes the fair rates.
    pub(super) fn tick(&mut self, now: Time) {
        self.advance(now);
        let known = self.workspaces.values();
        let mut demands: Vec<f64> = known.map(|known| known.rates(now).0).collect();
        demands.sort_unstable_by(f64::total_cmp);
        let capacity = self.capacity.tokens_per_s();
        self.level = capacity.and_then(|capacity| water_level(&demands, capacity as f64));
        let floor = self.capacity.guaranteed();
        self.floor = floor.and_then(|capacity| water_level(&demands, capacity as f64));
        let limit = self.floor.or(self.level).unwrap_or(f64::INFINITY);
        let target = self.target();
        let elapsed = now.since(std::mem::replace(&mut self.ticked, now));
        (self.refused, self.least_granted) = (0, None);
        for known in self.workspaces.values_mut() {
            let (requested, granted) = known.rates(now);
            let due = target.min(requested * MAX_UNUSED);
            known.due.add_rate(now, DEMAND_SPAN, due, elapsed);
            known.is_refused = requested > limit.max(granted * MIN_UNMET_RATIO);
            if known.is_refused {
                self.refused += 1;
                let least = self.least_granted.unwrap_or(granted);
                self.least_granted = Some(least.min(granted));
            }
        }
    }

    /// Returns the share and usage of a workspace.
    pub(super) fn allocation(&self, workspace: u64) -> Allocation {
        let known = self.workspaces.get(&workspace);
        let (requested, granted) = known.map_or((0.0, 0.0), |known| known.rates(self.now));
        Allocation {
            share: self.fair_share(),
            requested: self.in_window(requested),
            granted: self.in_window(granted),
        }
    }

    /// Returns what a workspace is to get; `None` if its demand isn't beyond its share.
    fn paced(&self, workspace: u64) -> Option<Rates> {
        let level = self.level?;
        let known = self.workspaces.get(&workspace)?;
        let (requested, granted) = known.rates(self.now);
        let (bound, target) = (self.bound(), self.target());
        (requested > level * MIN_UNMET_RATIO).then(|| Rates {
            target,
            surplus: target - target.min(self.floor.unwrap_or(level)),
            spare: (target * SPARE).min(bound - target),
            // Reports arrive in steps, so that the short average is too low between two of them.
            requested: requested.max(known.all.rate(self.now, PART_SPAN)),
            granted,
            due: known.due.rate(self.now, DEMAND_SPAN),
        })
    }

    /// Admits a request that was added to the demand, as far as the shares are concerned.
    pub(super) fn admit(&mut self, workspace: u64) -> Grade {
        let refused = self.refused;
        let (Some(level), Some(rates)) = (self.level, self.paced(workspace)) else {
            return Grade::Within;
        };
        let Some(known) = self.workspaces.get_mut(&workspace) else {
            return Grade::Within;
        };
        let Some(pacer) = &mut known.pacer else {
            return Grade::Within;
        };
        if pacer.within.admit() {
            return Grade::Within;
        }
        if rates.surplus > 0.0 && pacer.surplus.admit() {
            return Grade::Surplus;
        }
        let granted = rates.granted;
        let others = refused - usize::from(known.is_refused);
        if others == 0 || pacer.spare.admit() {
            return Grade::Spare((granted / level - 1.0).max(0.0));
        }
        Grade::Beyond
    }

    /// Takes back the admission of a request that found no target.
    pub(super) fn take_back(&mut self, workspace: u64, grade: Grade) {
        let known = self.workspaces.get_mut(&workspace);
        let Some(pacer) = known.and_then(|known| known.pacer.as_mut()) else {
            return;
        };
        match grade {
            Grade::Surplus => pacer.surplus.give_back(),
            Grade::Spare(_) => pacer.spare.give_back(),
            Grade::Within | Grade::Beyond => {}
        }
    }

    /// Returns the rate that a workspace beyond its share is to get, in tokens per second.
    fn target(&self) -> f64 {
        self.level.unwrap_or(f64::INFINITY).min(self.bound())
    }

    /// Returns the most that a workspace beyond its share is to get, in tokens per second.
    fn bound(&self) -> f64 {
        let floor = self.floor.or(self.level).unwrap_or(f64::INFINITY);
        let least = self.least_granted.unwrap_or(f64::INFINITY);
        if least + MIN_DEVIATIONS * self.deviation(floor) < floor {
            (floor * MIN_SHARE_PART).max(MAX_LEAD * least)
        } else {
            floor.max(MAX_LEAD * least)
        }
    }

    /// Returns the standard deviation of the average of what a workspace is granted at a rate, where its
    /// requests are admitted independently of one another.
    fn deviation(&self, rate: f64) -> f64 {
        let size = self.square_cost / self.cost.max(1.0);
        (rate * size / (2.0 * seconds(DEMAND_SPAN))).sqrt()
    }

    /// Returns the time until a workspace has credit for a request at this router, at which requests of a
    /// mean cost arrive.
    pub(super) fn time_to_credit(&self, workspace: u64, mean_cost: f64) -> Span {
        let known = self.workspaces.get(&workspace);
        let Some((known, pacer)) = known.and_then(|known| Some((known, known.pacer?))) else {
            return Span(0);
        };
        let own = known.own.rate(self.now, PART_SPAN);
        let part = (own / known.all.rate(self.now, PART_SPAN).max(1.0)).min(1.0);
        let target = self.target();
        let seconds = pacer.within.missing() * mean_cost / (target * part).max(1.0);
        Span((seconds * 1e6) as u64)
    }

    fn in_window(&self, rate: f64) -> u64 {
        (rate * seconds(self.window)) as u64
    }
}

impl Workspace {
    /// Returns the tokens per second that it requests and is granted.
    fn rates(&self, now: Time) -> (f64, f64) {
        let rate = |meter: &Meter| meter.rate(now, DEMAND_SPAN);
        (rate(&self.requested), rate(&self.granted))
    }
}

/// Returns the max-min fair level of sorted demands: each is met up to it. `None` if the capacity meets
/// all demands.
fn water_level(demands: &[f64], capacity: f64) -> Option<f64> {
    let mut remaining = capacity;
    let mut unserved = demands.len();
    for demand in demands {
        let equal_share = remaining / unserved as f64;
        if *demand > equal_share {
            return Some(equal_share);
        }
        remaining -= demand;
        unserved -= 1;
    }
    None
}
