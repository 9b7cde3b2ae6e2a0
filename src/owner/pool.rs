//! Targets, accounts and queues of one service at one owner.

use super::{
    Account, Queue, Rate, Slots,
    hold::Hold,
    queue::Key,
    request::{Request, State},
};
use crate::{
    config, id,
    unit::{Cost, Span, Time, Weight},
    wire,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

/// Cost granted by level for each unit granted by start-time fair queueing, while the spread of
/// levels is large.
const LEVEL_COST_RATIO: u64 = 3;
/// Spread of levels above which start-time fair queueing decides a part of the grants, in multiples
/// of the largest charge.
const SPREAD_CHARGES: u64 = 8;
/// Amount by which the level of a quick request that goes first may exceed that of a long one, in
/// multiples of the largest charge.
const QUICK_LEAD_CHARGES: u64 = 2;
/// The reserve for quick requests is at most the slot count divided by this.
const RESERVE_DIVISOR: u32 = 4;
/// Time constant of the arrival rate of quick requests; without arrivals, the reserve is gone
/// after a few of these.
const QUICK_WINDOW: Span = Span::from_secs(2);
/// Time constant of the grant rate, from which waits are estimated.
const GRANT_WINDOW: Span = Span::from_secs(10);
/// Time after the last grant for which an owner without waiting requests still announces a floor.
const FLOOR_VALIDITY: Span = Span::from_secs(2);
/// Lower bound of the time after which a refused caller should retry.
const MIN_RETRY_AFTER: Span = Span::from_secs(1);
/// Upper bound of the time after which a refused caller should retry.
const MAX_RETRY_AFTER: Span = Span::from_secs(60);
/// A request is assumed to wait at least the expected time divided by this. If its deadline is
/// sooner, it is refused at once.
const MIN_WAIT_DIVISOR: u64 = 2;
/// Amount by which local levels must exceed a peer's floor before requests are pulled from it, in
/// multiples of the largest charge.
const PULL_LEAD_CHARGES: u64 = 1;
/// Shortest time between two pulls of an owner without waiting requests.
const IDLE_PULL_INTERVAL: Span = Span::from_millis(100);
/// Shortest time between two pulls of an owner with waiting requests; heartbeats announce floors
/// at this interval.
const BUSY_PULL_INTERVAL: Span = Span::from_millis(250);
/// Time that one pull must cover, until the requests of the next one arrive.
const PULL_LOOKAHEAD: Span = Span::from_millis(500);
/// Time for which an idle account is kept; longer than an aggregator keeps its baseline.
const IDLE_RETENTION: Span = Span::from_secs(2 * 3600);

/// Targets, accounts and queues of one service at one owner.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) service: Arc<config::Service>,
    pub(super) slots: BTreeMap<id::Target, Slots>,
    pub(super) accounts: HashMap<id::Workspace, Account>,
    /// Workspaces that the next report must include.
    pub(super) unreported: BTreeSet<id::Workspace>,
    pub(super) waiting: usize,
    pub(super) waiting_cost: Cost,
    pub(super) quick_running: u32,
    /// Lowest floor among the peers.
    pub(super) peer_floor: Option<u64>,
    /// Peers with waiting requests, lowest floor first.
    pub(super) backlogged_peers: Vec<(u64, id::Router)>,
    /// Number of pulls sent; selects the next peer round robin.
    pub(super) pulls_sent: usize,
    pub(super) hold: Hold,
    last_pull: Option<Time>,
    quick: Queue,
    long: Queue,
    idle_accounts: BTreeSet<(Time, id::Workspace)>,
    grant_rate: Rate,
    quick_arrival_rate: Rate,
    quick_slot_secs: f64,
    grant_sequence: u64,
    /// Cost granted to quick requests since the last long one.
    quick_cost: u64,
    /// Charge of the last long request; quick requests may use as much before the next one.
    long_charge: u64,
    /// Cost granted by level since the last grant by start-time fair queueing.
    level_cost: u64,
    /// Cost to grant by level before the next grant by start-time fair queueing.
    level_cost_due: u64,
    /// Virtual time of start-time fair queueing: highest start tag granted.
    sfq_clock: u64,
    /// Largest charge per unit of weight; decays with each grant.
    max_charge: u64,
    /// Virtual time of the levels: highest level granted, or used for a workspace after idling.
    level_clock: u64,
    last_grant_at: Option<Time>,
}

impl Pool {
    pub(super) fn new(service: Arc<config::Service>) -> Self {
        Self {
            service,
            slots: BTreeMap::new(),
            accounts: HashMap::new(),
            unreported: BTreeSet::new(),
            waiting: 0,
            waiting_cost: Cost(0),
            quick_running: 0,
            peer_floor: None,
            backlogged_peers: Vec::new(),
            pulls_sent: 0,
            hold: Hold::new(),
            last_pull: None,
            quick: Queue::default(),
            long: Queue::default(),
            idle_accounts: BTreeSet::new(),
            grant_rate: Rate::new(GRANT_WINDOW),
            quick_arrival_rate: Rate::new(QUICK_WINDOW),
            quick_slot_secs: 0.0,
            grant_sequence: 0,
            quick_cost: 0,
            long_charge: 0,
            level_cost: 0,
            level_cost_due: 0,
            sfq_clock: 0,
            max_charge: 0,
            level_clock: 0,
            last_grant_at: None,
        }
    }

    /// Changes an account and updates its place in the queues.
    pub(super) fn update_account(
        &mut self,
        now: Time,
        workspace: &id::Workspace,
        change: impl FnOnce(&mut Account),
    ) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let was_active = account.is_active();
        let was_backlogged = [
            !account.queue(wire::Class::Quick).is_empty(),
            !account.queue(wire::Class::Long).is_empty(),
        ];
        let old_key = account.key;
        change(account);
        let is_backlogged = [
            !account.queue(wire::Class::Quick).is_empty(),
            !account.queue(wire::Class::Long).is_empty(),
        ];
        account.key = Key {
            level: account.level(),
            grant_sequence: account.grant_sequence,
            finish_tag: account.finish_tag,
        };
        for (index, queue) in [&mut self.quick, &mut self.long].into_iter().enumerate() {
            if was_backlogged[index] && (!is_backlogged[index] || old_key != account.key) {
                queue.remove(old_key, workspace);
            }
            if is_backlogged[index] && (!was_backlogged[index] || old_key != account.key) {
                queue.insert(account.key, workspace);
            }
        }
        account.unchanged_reports = 0;
        self.unreported.insert(workspace.clone());
        if was_active != account.is_active() {
            self.set_idle(now, workspace, was_active);
        }
    }

    /// Records that an account became idle, or active.
    fn set_idle(&mut self, now: Time, workspace: &id::Workspace, idle: bool) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        self.idle_accounts
            .remove(&(account.idle_since, workspace.clone()));
        if idle {
            account.idle_since = now;
            self.idle_accounts.insert((now, workspace.clone()));
        }
    }

    /// Evicts accounts that were idle for longer than the retention time.
    pub(super) fn evict_idle(&mut self, now: Time) {
        while let Some((since, workspace)) = self.idle_accounts.first() {
            if now.since(*since) < IDLE_RETENTION {
                return;
            }
            let workspace = workspace.clone();
            self.idle_accounts.pop_first();
            self.unreported.remove(&workspace);
            self.accounts.remove(&workspace);
        }
    }

    /// Returns the queue of a class.
    pub(super) fn queue(&self, class: wire::Class) -> &Queue {
        match class {
            wire::Class::Quick => &self.quick,
            wire::Class::Long => &self.long,
        }
    }

    /// Returns the number of slots that can be granted now.
    pub(super) fn free(&self, now: Time) -> u32 {
        self.slots.values().map(|slots| slots.free(now)).sum()
    }

    /// Reports whether any target accepts requests.
    pub(super) fn is_available(&self, now: Time) -> bool {
        self.slots.values().any(|slots| slots.is_available(now))
    }

    /// Returns the number of free slots that are reserved for quick requests.
    ///
    /// The expected number of running quick requests follows from Little's law.
    pub(super) fn reserve(&self, now: Time) -> u32 {
        let demand = self.quick_arrival_rate.per_second(now) * self.quick_slot_secs;
        let wanted = demand as u32;
        wanted
            .min(self.total_limit() / RESERVE_DIVISOR)
            .saturating_sub(self.quick_running)
    }

    /// Counts the arrival of a quick request for the reserve.
    pub(super) fn record_arrival(&mut self, now: Time, class: wire::Class) {
        if class == wire::Class::Quick {
            self.quick_arrival_rate.add(now, 1.0);
        }
    }

    /// Updates the mean time that quick requests occupy a slot.
    pub(super) fn observe_slot_time(&mut self, slot_time: Span) {
        let secs = slot_time.as_secs_f64();
        self.quick_slot_secs = if self.quick_slot_secs == 0.0 {
            secs
        } else {
            self.quick_slot_secs * 0.9 + secs * 0.1
        };
    }

    /// Returns the workspace and class that get the next free slot.
    pub(super) fn pick(&self, now: Time) -> Option<(id::Workspace, wire::Class)> {
        let free = self.free(now);
        if free == 0 {
            return None;
        }
        let class = self.pick_class(free > self.reserve(now))?;
        let queue = self.queue(class);
        let workspace = if self.is_sfq_due(queue) {
            queue.lowest_tag()
        } else {
            queue.lowest_level().map(|(_, name)| name)
        };
        workspace.map(|name| (name.clone(), class))
    }

    /// Returns the class that gets the next free slot.
    ///
    /// Quick requests go first if their level is lower. If it is higher by no more than the lead,
    /// they go first until the cost granted to them exceeds that of the last long request.
    fn pick_class(&self, long_allowed: bool) -> Option<wire::Class> {
        let quick = self.quick.lowest_level().map(|(level, _)| level);
        let long = self.long.lowest_level().map(|(level, _)| level);
        match (quick, long.filter(|_| long_allowed)) {
            (None, None) => None,
            (Some(_), None) => Some(wire::Class::Quick),
            (None, Some(_)) => Some(wire::Class::Long),
            (Some(quick), Some(long)) => {
                let lead = self.max_charge.saturating_mul(QUICK_LEAD_CHARGES);
                let ahead = quick <= long.saturating_add(lead);
                if quick < long || (ahead && self.quick_cost <= self.long_charge) {
                    Some(wire::Class::Quick)
                } else {
                    Some(wire::Class::Long)
                }
            }
        }
    }

    /// Reports whether the next grant follows start-time fair queueing instead of levels.
    fn is_sfq_due(&self, queue: &Queue) -> bool {
        self.level_cost > 0 && self.level_cost >= self.level_cost_due && self.is_spread_wide(queue)
    }

    /// Reports whether levels differ so much that the lowest would get all slots for a long time.
    fn is_spread_wide(&self, queue: &Queue) -> bool {
        let lowest = queue.lowest_level().map_or(0, |(level, _)| level);
        let spread = queue.highest_level().unwrap_or(0).saturating_sub(lowest);
        spread > self.max_charge.saturating_mul(SPREAD_CHARGES)
    }

    /// Returns `wanted` if it has a free slot, or else the target with the most free slots.
    pub(super) fn pick_target(&self, now: Time, wanted: &id::Target) -> Option<id::Target> {
        if self.slots.get(wanted).is_some_and(|s| s.free(now) > 0) {
            return Some(wanted.clone());
        }
        let free = self.slots.iter().filter(|(_, s)| s.free(now) > 0);
        free.max_by_key(|(_, s)| s.free(now))
            .map(|(name, _)| name.clone())
    }

    /// Updates the scheduling state after a grant.
    pub(super) fn record_grant(
        &mut self,
        now: Time,
        workspace: &id::Workspace,
        class: wire::Class,
        charge: Cost,
    ) {
        if self.is_sfq_due(self.queue(class)) {
            self.record_sfq_grant(now, workspace, charge);
        } else {
            self.level_cost = self.level_cost.saturating_add(charge.0);
        }
        match class {
            wire::Class::Quick => self.quick_cost = self.quick_cost.saturating_add(charge.0),
            wire::Class::Long => {
                self.quick_cost = 0;
                self.long_charge = charge.0;
            }
        }
        if let Some(account) = self.accounts.get(workspace) {
            let charge = account.weight.normalize(charge);
            self.max_charge = (self.max_charge - self.max_charge / 1024).max(charge);
            self.level_clock = self.level_clock.max(account.level());
        }
        self.grant_rate.add(now, 1.0);
        self.last_grant_at = Some(now);
        self.grant_sequence += 1;
    }

    /// Updates the tags after a grant by start-time fair queueing.
    ///
    /// The next one follows after `LEVEL_COST_RATIO` times its charge was granted by level.
    fn record_sfq_grant(&mut self, now: Time, workspace: &id::Workspace, charge: Cost) {
        self.level_cost = 0;
        self.level_cost_due = charge.0.saturating_mul(LEVEL_COST_RATIO);
        let clock = self.sfq_clock;
        self.update_account(now, workspace, |account| {
            let start = account.finish_tag.max(clock);
            account.finish_tag = start.saturating_add(account.weight.normalize(charge));
        });
        if let Some(account) = self.accounts.get(workspace) {
            let start = account.finish_tag - account.weight.normalize(charge);
            self.sfq_clock = self.sfq_clock.max(start);
        }
    }

    /// Returns the lowest level of the workspaces backlogged here. If there are none, returns the
    /// virtual time of the levels for `FLOOR_VALIDITY` after the last grant, and `None` after that.
    pub(super) fn floor(&self, now: Time) -> Option<u64> {
        let fresh = self
            .last_grant_at
            .is_some_and(|at| now.since(at) < FLOOR_VALIDITY);
        let last = fresh.then_some(self.level_clock);
        self.backlog_floor().or(last)
    }

    /// Returns the lowest level of the workspaces backlogged here.
    fn backlog_floor(&self) -> Option<u64> {
        let quick = self.quick.lowest_level().map(|(level, _)| level);
        let long = self.long.lowest_level().map(|(level, _)| level);
        [quick, long].into_iter().flatten().min()
    }

    /// Returns the lowest level allowed to a workspace that becomes backlogged; the virtual time of
    /// the levels is advanced to it if it is behind.
    pub(super) fn entry_level(&mut self, now: Time) -> u64 {
        let floors = [self.floor(now), self.peer_floor];
        match floors.into_iter().flatten().min() {
            Some(floor) => {
                self.level_clock = self.level_clock.max(floor);
                floor
            }
            None => self.level_clock,
        }
    }

    /// Returns the time in which a workspace with `waiting` requests drains, at the recent rate of
    /// grants; `None` if that is zero.
    pub(super) fn drain_time(&self, now: Time, waiting: usize) -> Option<Span> {
        let rate = self.grant_rate.per_second(now);
        if rate <= 0.0 {
            return None;
        }
        let backlogged = self.quick.len().max(self.long.len()).max(1);
        let secs = waiting as f64 * backlogged as f64 / rate;
        Some(Span((secs * 1e6) as u64))
    }

    /// Returns the time after which a refused caller should retry.
    pub(super) fn retry_after(&self, now: Time, waiting: usize) -> Span {
        let drain = self.drain_time(now, waiting).unwrap_or(MIN_RETRY_AFTER);
        drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns a lower bound of the number of backlogged workspaces.
    pub(super) fn backlogged_workspaces(&self) -> usize {
        self.quick.len().max(self.long.len())
    }

    /// Returns a lower bound of a new request's wait, at the recent rate of grants.
    pub(super) fn min_wait(&self, now: Time, ask: &wire::Ask) -> Span {
        let account = self.accounts.get(&ask.workspace);
        let ahead = account.map_or(0, |account| account.queue(ask.class).len());
        let drain = self.drain_time(now, ahead).unwrap_or_default();
        Span(drain.0 / MIN_WAIT_DIVISOR)
    }

    /// Creates the account of a workspace if there is none.
    pub(super) fn ensure_account(&mut self, fleet: &config::Fleet, workspace: &id::Workspace) {
        if self.accounts.contains_key(workspace) {
            return;
        }
        let config = fleet.workspaces.get(workspace);
        let weight = config.map_or(Weight::ONE, |config| config.weight);
        self.accounts
            .insert(workspace.clone(), Account::new(weight));
    }

    /// Returns the corrected estimate of a request and its class.
    pub(super) fn classify(&self, ask: &wire::Ask) -> (Cost, wire::Class) {
        let hint = self.hint(ask);
        let account = self.accounts.get(&ask.workspace);
        let estimate = account.map_or(hint, |account| account.estimator.correct(hint));
        let class = if estimate > self.service.quick {
            wire::Class::Long
        } else {
            ask.class
        };
        (estimate, class)
    }

    /// Returns the cost hint of a request, or the default of the service.
    fn hint(&self, ask: &wire::Ask) -> Cost {
        if ask.estimate == Cost(0) {
            self.service.estimate
        } else {
            ask.estimate
        }
    }

    /// Adds a request to its workspace's queue.
    pub(super) fn push(&mut self, now: Time, request: &Request) {
        let floor = self.entry_level(now);
        let workspace = &request.ask.workspace;
        self.update_account(now, workspace, |account| {
            if account.waiting() == 0 {
                account.raise_level(now, floor);
            }
            let queue = account.queue_mut(request.class);
            queue.insert((request.arrived, request.ask.attempt));
        });
        self.waiting += 1;
        self.waiting_cost += request.estimate;
    }

    /// Returns the oldest waiting request of a workspace and class.
    pub(super) fn head(
        &self,
        workspace: &id::Workspace,
        class: wire::Class,
    ) -> Option<id::Attempt> {
        let account = self.accounts.get(workspace)?;
        let (_, attempt) = account.queue(class).first()?;
        Some(*attempt)
    }

    /// Moves a request from the queue to a target and charges its workspace.
    pub(super) fn start(
        &mut self,
        now: Time,
        request: &Request,
        target: &id::Target,
        charge: Cost,
    ) {
        let grant_sequence = self.grant_sequence;
        self.update_account(now, &request.ask.workspace, |account| {
            let queue = account.queue_mut(request.class);
            queue.remove(&(request.arrived, request.ask.attempt));
            account.running += 1;
            account.grant_sequence = grant_sequence;
            account.replace_charge(Cost(0), charge);
        });
        self.waiting -= 1;
        self.waiting_cost = self.waiting_cost.saturating_sub(request.estimate);
        if let Some(slots) = self.slots.get_mut(target) {
            slots.running += 1;
        }
        if request.class == wire::Class::Quick {
            self.quick_running += 1;
        }
    }

    /// Removes a request from the queue or its target.
    ///
    /// A running request is settled at its final cost, if that is known, and else stays charged.
    pub(super) fn finish(&mut self, now: Time, request: &Request, cost: Option<Cost>) {
        match &request.state {
            State::Waiting => self.cancel(now, request),
            State::Running {
                target,
                charged,
                prior,
                ..
            } => {
                let old = charged.saturating_sub(*prior);
                let new = cost.unwrap_or(*charged).saturating_sub(*prior);
                self.settle(now, request, target, old, new);
            }
        }
    }

    fn cancel(&mut self, now: Time, request: &Request) {
        self.update_account(now, &request.ask.workspace, |account| {
            let queue = account.queue_mut(request.class);
            queue.remove(&(request.arrived, request.ask.attempt));
        });
        self.waiting -= 1;
        self.waiting_cost = self.waiting_cost.saturating_sub(request.estimate);
    }

    fn settle(&mut self, now: Time, request: &Request, target: &id::Target, old: Cost, new: Cost) {
        self.update_account(now, &request.ask.workspace, |account| {
            account.running -= 1;
            account.replace_charge(old, new);
        });
        if let Some(slots) = self.slots.get_mut(target) {
            slots.running = slots.running.saturating_sub(1);
        }
        if request.class == wire::Class::Quick {
            self.quick_running -= 1;
        }
    }

    /// Updates the estimates from a completed request that occupied its slot for `slot_time`.
    pub(super) fn observe(&mut self, request: &Request, cost: Cost, slot_time: Span) {
        let hint = self.hint(&request.ask);
        if let Some(account) = self.accounts.get_mut(&request.ask.workspace) {
            account.estimator.observe(hint, cost);
        }
        if request.class == wire::Class::Quick {
            self.observe_slot_time(slot_time);
        }
    }

    /// Applies a level from an aggregator. As after any change, `update_account` sets the number of
    /// reports since the last change to 0.
    pub(super) fn apply_level(&mut self, now: Time, level: &wire::Level) {
        let Some(account) = self.accounts.get(&level.workspace) else {
            return;
        };
        let unchanged_reports = account.unchanged_reports;
        self.update_account(now, &level.workspace, |account| {
            account.apply_level(now, level.level, level.included);
            account.unchanged_reports = unchanged_reports;
        });
    }

    /// Reports whether enough time has passed since the last pull.
    ///
    /// With waiting requests the check itself restarts the interval, even if no pull follows: the
    /// computation of the ceiling after it walks the queue and must not run at every grant.
    pub(super) fn is_pull_due(&mut self, now: Time) -> bool {
        if self.waiting == 0 {
            return self
                .last_pull
                .is_none_or(|at| now.since(at) >= IDLE_PULL_INTERVAL);
        }
        let due = self
            .last_pull
            .is_none_or(|at| now.since(at) >= BUSY_PULL_INTERVAL);
        if due {
            self.last_pull = Some(now);
        }
        due
    }

    /// Returns the peer to pull from, round robin among those with a floor below `ceiling`.
    pub(super) fn pull_peer(&self, ceiling: u64) -> Option<id::Router> {
        let eligible = self
            .backlogged_peers
            .partition_point(|(floor, _)| *floor < ceiling);
        let (_, peer) = self
            .backlogged_peers
            .get(self.pulls_sent.checked_rem(eligible)?)?;
        Some(peer.clone())
    }

    /// Records that a pull was sent.
    pub(super) fn record_pull(&mut self, now: Time) {
        self.pulls_sent += 1;
        self.last_pull = Some(now);
    }

    /// Returns the target with the most free slots among those that accept requests.
    pub(super) fn most_free_target(&self, now: Time) -> Option<id::Target> {
        let available = self
            .slots
            .iter()
            .filter(|(_, slots)| slots.is_available(now));
        let most = available.max_by_key(|(_, slots)| slots.free(now));
        most.map(|(target, _)| target.clone())
    }

    /// Returns the number of requests to pull: the free slots, or what will be granted before the
    /// next pull's requests arrive if requests wait here.
    pub(super) fn pull_size(&self, now: Time) -> u32 {
        if self.waiting == 0 {
            return self.free(now).saturating_sub(self.reserve(now));
        }
        let grants = self.grant_rate.per_second(now) * PULL_LOOKAHEAD.as_secs_f64();
        grants.ceil() as u32
    }

    /// Returns the level below which requests elsewhere take precedence over the last of the next
    /// `count` requests here; the highest one if fewer wait here.
    pub(super) fn pull_ceiling(&self, count: u32) -> u64 {
        let queue = match self.long.is_empty() {
            true => &self.quick,
            false => &self.long,
        };
        let mut waiting = 0;
        for (level, workspace) in queue.iter() {
            waiting += self.accounts.get(workspace).map_or(0, Account::waiting);
            if waiting >= count as usize {
                let margin = self.max_charge.saturating_mul(PULL_LEAD_CHARGES);
                return level.saturating_sub(margin);
            }
        }
        u64::MAX
    }

    /// Returns the level below which requests elsewhere take precedence over those of a workspace
    /// here.
    pub(super) fn precedence_level(&self, workspace: &id::Workspace) -> u64 {
        let level = self.accounts.get(workspace).map_or(0, Account::level);
        level.saturating_sub(self.max_charge.saturating_mul(PULL_LEAD_CHARGES))
    }

    /// Returns the total concurrency limit of the targets.
    pub(super) fn total_limit(&self) -> u32 {
        self.slots.values().map(|slots| slots.limit).sum()
    }

    /// Returns the level below which requests are handed to an owner that has requests of its own.
    pub(super) fn transfer_ceiling(&self) -> u64 {
        let floor = self.backlog_floor().unwrap_or(0);
        let margin = self.max_charge.saturating_mul(PULL_LEAD_CHARGES);
        floor.saturating_add(margin).saturating_add(1)
    }

    /// Returns up to `count` waiting requests that meet a condition, of workspaces with a level
    /// below `ceiling`: quick requests first, each class round robin over its workspaces.
    pub(super) fn select_transfers(
        &self,
        count: usize,
        ceiling: u64,
        condition: impl Fn(&id::Attempt) -> bool,
    ) -> Vec<id::Attempt> {
        let mut chosen = Vec::new();
        for class in [wire::Class::Quick, wire::Class::Long] {
            let eligible = self.queue(class).iter();
            let eligible = eligible.take_while(|(level, _)| *level < ceiling);
            let accounts = eligible.filter_map(|(_, workspace)| self.accounts.get(workspace));
            let requests = accounts.map(|account| account.queue(class).iter());
            let movable = |(_, attempt): &&(Time, id::Attempt)| condition(attempt);
            let requests = requests.map(|requests| requests.filter(movable));
            chosen.extend(round_robin(requests.collect(), count - chosen.len()));
        }
        chosen
    }
}

/// Returns up to `count` requests, taken round robin from the queues.
fn round_robin<'a>(
    mut queues: Vec<impl Iterator<Item = &'a (Time, id::Attempt)>>,
    count: usize,
) -> Vec<id::Attempt> {
    let mut chosen = Vec::new();
    while chosen.len() < count && !queues.is_empty() {
        queues.retain_mut(|queue| {
            let Some((_, attempt)) = queue.next() else {
                return false;
            };
            if chosen.len() < count {
                chosen.push(*attempt);
            }
            true
        });
    }
    chosen
}
