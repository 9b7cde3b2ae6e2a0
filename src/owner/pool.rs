//! Targets and queues of one service at one owner.

use super::{
    Account, Queue, Rate, Slots,
    entry::{Entry, State},
    hold::Hold,
    queue::Key,
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

/// Service granted by level for each unit granted in turn, while the spread of the levels is large.
const LEVEL_PART: u64 = 3;
/// Spread of the levels from which on some service is granted in turn, in largest charges.
const SPREAD_CHARGES: u64 = 8;
/// Lead in level that a quick request may have over long ones, in largest charges.
const LEAD_CHARGES: u64 = 2;
/// Largest part of the slots reserved for quick requests: one in this many.
const RESERVE_PART: u32 = 4;
/// Time constant of the quick requests' rate; the reserve is gone after a few of them.
const QUICK_WINDOW: Span = Span::from_secs(2);
/// Time constant of the grant rate, for estimates of the wait.
const GRANT_WINDOW: Span = Span::from_secs(10);
/// Time for which the level of the last grant counts as active when nothing waits.
const GRANT_FRESH: Span = Span::from_secs(2);
/// Bounds of the time after which a refused caller may come back.
const RETRY_MIN: Span = Span::from_secs(1);
const RETRY_MAX: Span = Span::from_secs(60);
/// Divisor of the expected wait; a wait below the result is out of reach.
const LEAST_WAIT_PART: u64 = 2;
/// Lead in level of the own work from which on work is pulled, in largest charges.
const PULL_CHARGES: u64 = 1;
/// Shortest time between two pulls of an owner without work.
const PULL_IDLE: Span = Span::from_millis(100);
/// Shortest time between two pulls of an owner with work: peers tell their floors that often.
const PULL_FAIR: Span = Span::from_millis(250);
/// Time for which pulled work must last: until the next pull's work arrives.
const PULL_AHEAD: Span = Span::from_millis(500);
/// Time for which an idle account is kept: longer than a tally keeps the baseline of it.
const IDLE_KEEP: Span = Span::from_secs(2 * 3600);

/// Targets and queues of one service at one owner.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) service: Arc<config::Service>,
    pub(super) slots: BTreeMap<id::Target, Slots>,
    pub(super) accounts: HashMap<id::Workspace, Account>,
    /// Accounts that a report must name.
    pub(super) changed: BTreeSet<id::Workspace>,
    pub(super) waiting: usize,
    pub(super) waiting_cost: Cost,
    pub(super) quick_running: u32,
    /// Lowest floor among the peers.
    pub(super) peer_floor: Option<u64>,
    /// Peers with waiting work, the lowest floors first.
    pub(super) peers: Vec<(u64, id::Router)>,
    /// Number of pulls sent; spreads them over the peers.
    pub(super) pulls: usize,
    pub(super) hold: Hold,
    pulled: Option<Time>,
    quick: Queue,
    long: Queue,
    idle: BTreeSet<(Time, id::Workspace)>,
    grants: Rate,
    quick_arrivals: Rate,
    quick_secs: f64,
    turn: u64,
    /// Service granted to quick requests since the last long one.
    quick_run: u64,
    /// Charge of the last long request; quick ones may take as much before the next.
    long_charge: u64,
    /// Service granted by level that no grant in turn has followed yet.
    level_run: u64,
    /// Service by level that must follow the last grant in turn.
    turn_price: u64,
    /// Share at which the last grant in turn began.
    share: u64,
    largest: u64,
    horizon: u64,
    granted: Option<Time>,
}

impl Pool {
    pub(super) fn new(service: Arc<config::Service>) -> Self {
        Self {
            service,
            slots: BTreeMap::new(),
            accounts: HashMap::new(),
            changed: BTreeSet::new(),
            waiting: 0,
            waiting_cost: Cost(0),
            quick_running: 0,
            peer_floor: None,
            peers: Vec::new(),
            pulls: 0,
            hold: Hold::new(),
            pulled: None,
            quick: Queue::default(),
            long: Queue::default(),
            idle: BTreeSet::new(),
            grants: Rate::new(GRANT_WINDOW),
            quick_arrivals: Rate::new(QUICK_WINDOW),
            quick_secs: 0.0,
            turn: 0,
            quick_run: 0,
            long_charge: 0,
            level_run: 0,
            turn_price: 0,
            share: 0,
            largest: 0,
            horizon: 0,
            granted: None,
        }
    }

    /// Changes an account and keeps its place in the queues right.
    pub(super) fn update(
        &mut self,
        now: Time,
        workspace: &id::Workspace,
        change: impl FnOnce(&mut Account),
    ) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let was_active = account.is_active();
        let was = [
            !account.queue(wire::Class::Quick).is_empty(),
            !account.queue(wire::Class::Long).is_empty(),
        ];
        let old = account.key;
        change(account);
        let is = [
            !account.queue(wire::Class::Quick).is_empty(),
            !account.queue(wire::Class::Long).is_empty(),
        ];
        account.key = Key {
            level: account.level(),
            turn: account.turn,
            share: account.share,
        };
        for (index, queue) in [&mut self.quick, &mut self.long].into_iter().enumerate() {
            if was[index] && (!is[index] || old != account.key) {
                queue.remove(old, workspace);
            }
            if is[index] && (!was[index] || old != account.key) {
                queue.insert(account.key, workspace);
            }
        }
        account.quiet = 0;
        self.changed.insert(workspace.clone());
        if was_active != account.is_active() {
            self.mark_idle(now, workspace, was_active);
        }
    }

    /// Records that an account became idle or active.
    fn mark_idle(&mut self, now: Time, workspace: &id::Workspace, idle: bool) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        self.idle.remove(&(account.idle, workspace.clone()));
        if idle {
            account.idle = now;
            self.idle.insert((now, workspace.clone()));
        }
    }

    /// Drops accounts that were idle for long.
    pub(super) fn forget(&mut self, now: Time) {
        while let Some((since, workspace)) = self.idle.first() {
            if now.since(*since) < IDLE_KEEP {
                return;
            }
            let workspace = workspace.clone();
            self.idle.pop_first();
            self.changed.remove(&workspace);
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

    /// Reports whether any target takes work.
    pub(super) fn is_fit(&self, now: Time) -> bool {
        self.slots.values().any(|slots| slots.is_fit(now))
    }

    /// Returns the number of free slots that long requests must leave to quick ones.
    pub(super) fn reserve(&self, now: Time) -> u32 {
        let demand = self.quick_arrivals.per_second(now) * self.quick_secs;
        let wanted = demand as u32;
        wanted
            .min(self.limit() / RESERVE_PART)
            .saturating_sub(self.quick_running)
    }

    /// Counts an arrival for the reserve.
    pub(super) fn arrive(&mut self, now: Time, class: wire::Class) {
        if class == wire::Class::Quick {
            self.quick_arrivals.add(now, 1.0);
        }
    }

    /// Learns the time that a quick request holds its slot.
    pub(super) fn learn_quick(&mut self, held: Span) {
        let secs = held.as_secs_f64();
        self.quick_secs = if self.quick_secs == 0.0 {
            secs
        } else {
            self.quick_secs * 0.9 + secs * 0.1
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
        let workspace = if self.is_turn_due(queue) {
            queue.next_in_turn()
        } else {
            queue.lowest().map(|(_, name)| name)
        };
        workspace.map(|name| (name.clone(), class))
    }

    fn pick_class(&self, long_allowed: bool) -> Option<wire::Class> {
        let quick = self.quick.lowest().map(|(level, _)| level);
        let long = self.long.lowest().map(|(level, _)| level);
        match (quick, long.filter(|_| long_allowed)) {
            (None, None) => None,
            (Some(_), None) => Some(wire::Class::Quick),
            (None, Some(_)) => Some(wire::Class::Long),
            (Some(quick), Some(long)) => {
                let lead = self.largest.saturating_mul(LEAD_CHARGES);
                let ahead = quick <= long.saturating_add(lead);
                if quick < long || (ahead && self.quick_run <= self.long_charge) {
                    Some(wire::Class::Quick)
                } else {
                    Some(wire::Class::Long)
                }
            }
        }
    }

    /// Reports whether the next grant goes in turn instead of by level.
    fn is_turn_due(&self, queue: &Queue) -> bool {
        self.level_run > 0 && self.level_run >= self.turn_price && self.is_spread(queue)
    }

    /// Reports whether the levels are so far apart that the lowest would take all slots for long.
    fn is_spread(&self, queue: &Queue) -> bool {
        let lowest = queue.lowest().map_or(0, |(level, _)| level);
        let spread = queue.highest().unwrap_or(0).saturating_sub(lowest);
        spread > self.largest.saturating_mul(SPREAD_CHARGES)
    }

    /// Returns the target for a request that asked for `wanted`.
    pub(super) fn pick_target(&self, now: Time, wanted: &id::Target) -> Option<id::Target> {
        if self.slots.get(wanted).is_some_and(|s| s.free(now) > 0) {
            return Some(wanted.clone());
        }
        let free = self.slots.iter().filter(|(_, s)| s.free(now) > 0);
        free.max_by_key(|(_, s)| s.free(now))
            .map(|(name, _)| name.clone())
    }

    /// Notes a grant for the order of the next ones.
    pub(super) fn granted(
        &mut self,
        now: Time,
        workspace: &id::Workspace,
        class: wire::Class,
        charge: Cost,
    ) {
        if self.is_turn_due(self.queue(class)) {
            self.granted_in_turn(now, workspace, charge);
        } else {
            self.level_run = self.level_run.saturating_add(charge.0);
        }
        match class {
            wire::Class::Quick => self.quick_run = self.quick_run.saturating_add(charge.0),
            wire::Class::Long => {
                self.quick_run = 0;
                self.long_charge = charge.0;
            }
        }
        if let Some(account) = self.accounts.get(workspace) {
            let charge = account.weight.normalize(charge);
            self.largest = (self.largest - self.largest / 1024).max(charge);
            self.horizon = self.horizon.max(account.level());
        }
        self.grants.add(now, 1.0);
        self.granted = Some(now);
        self.turn += 1;
    }

    /// Notes a grant in turn: the next one follows after `LEVEL_PART` times its charge by level.
    fn granted_in_turn(&mut self, now: Time, workspace: &id::Workspace, charge: Cost) {
        self.level_run = 0;
        self.turn_price = charge.0.saturating_mul(LEVEL_PART);
        let clock = self.share;
        self.update(now, workspace, |account| {
            let start = account.share.max(clock);
            account.share = start.saturating_add(account.weight.normalize(charge));
        });
        if let Some(account) = self.accounts.get(workspace) {
            let start = account.share - account.weight.normalize(charge);
            self.share = self.share.max(start);
        }
    }

    /// Returns the lowest level of the backlogged workspaces here, or the last one served.
    pub(super) fn floor(&self, now: Time) -> Option<u64> {
        let fresh = self.granted.is_some_and(|at| now.since(at) < GRANT_FRESH);
        let last = fresh.then_some(self.horizon);
        self.backlog_floor().or(last)
    }

    /// Returns the lowest level of the backlogged workspaces here.
    fn backlog_floor(&self) -> Option<u64> {
        let quick = self.quick.lowest().map(|(level, _)| level);
        let long = self.long.lowest().map(|(level, _)| level);
        [quick, long].into_iter().flatten().min()
    }

    /// Returns the level that a workspace has at least when it comes back from idle.
    pub(super) fn entry_level(&mut self, now: Time) -> u64 {
        let floors = [self.floor(now), self.peer_floor];
        match floors.into_iter().flatten().min() {
            Some(floor) => {
                self.horizon = self.horizon.max(floor);
                floor
            }
            None => self.horizon,
        }
    }

    /// Returns the time in which a workspace with so many waiting requests drains.
    pub(super) fn drain_time(&self, now: Time, waiting: usize) -> Option<Span> {
        let rate = self.grants.per_second(now);
        if rate <= 0.0 {
            return None;
        }
        let backlogged = self.quick.len().max(self.long.len()).max(1);
        let secs = waiting as f64 * backlogged as f64 / rate;
        Some(Span((secs * 1e6) as u64))
    }

    /// Returns the time after which a refused caller may come back.
    pub(super) fn retry_after(&self, now: Time, waiting: usize) -> Span {
        let drain = self.drain_time(now, waiting).unwrap_or(RETRY_MIN);
        drain.clamp(RETRY_MIN, RETRY_MAX)
    }

    /// Returns the number of backlogged workspaces, or a little less.
    pub(super) fn backlogged(&self) -> usize {
        self.quick.len().max(self.long.len())
    }

    /// Returns a time that a request waits at least, by the recent rate of grants.
    pub(super) fn least_wait(&self, now: Time, ask: &wire::Ask) -> Span {
        let account = self.accounts.get(&ask.workspace);
        let ahead = account.map_or(0, |account| account.queue(ask.class).len());
        let drain = self.drain_time(now, ahead).unwrap_or_default();
        Span(drain.0 / LEAST_WAIT_PART)
    }

    /// Opens the account of a workspace unless it is open.
    pub(super) fn open(&mut self, fleet: &config::Fleet, workspace: &id::Workspace) {
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

    /// Returns the hint of a request, or what the service assumes without one.
    fn hint(&self, ask: &wire::Ask) -> Cost {
        if ask.estimate == Cost(0) {
            self.service.estimate
        } else {
            ask.estimate
        }
    }

    /// Puts a request into its workspace's queue.
    pub(super) fn push(&mut self, now: Time, entry: &Entry) {
        let floor = self.entry_level(now);
        let workspace = &entry.ask.workspace;
        self.update(now, workspace, |account| {
            if account.waiting() == 0 {
                account.raise(now, floor);
            }
            let queue = account.queue_mut(entry.class);
            queue.insert((entry.arrived, entry.ask.attempt));
        });
        self.waiting += 1;
        self.waiting_cost += entry.estimate;
    }

    /// Returns the oldest waiting request of a workspace.
    pub(super) fn head(
        &self,
        workspace: &id::Workspace,
        class: wire::Class,
    ) -> Option<id::Attempt> {
        let account = self.accounts.get(workspace)?;
        let (_, attempt) = account.queue(class).first()?;
        Some(*attempt)
    }

    /// Takes a request out of the queue onto a target and charges its workspace.
    pub(super) fn start(&mut self, now: Time, entry: &Entry, target: &id::Target, charge: Cost) {
        let turn = self.turn;
        self.update(now, &entry.ask.workspace, |account| {
            let queue = account.queue_mut(entry.class);
            queue.remove(&(entry.arrived, entry.ask.attempt));
            account.running += 1;
            account.turn = turn;
            account.correct(Cost(0), charge);
        });
        self.waiting -= 1;
        self.waiting_cost = self.waiting_cost.saturating_sub(entry.estimate);
        if let Some(slots) = self.slots.get_mut(target) {
            slots.running += 1;
        }
        if entry.class == wire::Class::Quick {
            self.quick_running += 1;
        }
    }

    /// Takes a request out of the queue, or off its target with its final cost if it is known.
    pub(super) fn finish(&mut self, now: Time, entry: &Entry, cost: Option<Cost>) {
        match &entry.state {
            State::Waiting => self.cancel(now, entry),
            State::Running {
                target,
                charged,
                base,
                ..
            } => {
                let old = charged.saturating_sub(*base);
                let new = cost.unwrap_or(*charged).saturating_sub(*base);
                self.settle(now, entry, target, old, new);
            }
        }
    }

    fn cancel(&mut self, now: Time, entry: &Entry) {
        self.update(now, &entry.ask.workspace, |account| {
            let queue = account.queue_mut(entry.class);
            queue.remove(&(entry.arrived, entry.ask.attempt));
        });
        self.waiting -= 1;
        self.waiting_cost = self.waiting_cost.saturating_sub(entry.estimate);
    }

    fn settle(&mut self, now: Time, entry: &Entry, target: &id::Target, old: Cost, new: Cost) {
        self.update(now, &entry.ask.workspace, |account| {
            account.running -= 1;
            account.correct(old, new);
        });
        if let Some(slots) = self.slots.get_mut(target) {
            slots.running = slots.running.saturating_sub(1);
        }
        if entry.class == wire::Class::Quick {
            self.quick_running -= 1;
        }
    }

    /// Learns from a request that ran to its end.
    pub(super) fn learn(&mut self, entry: &Entry, cost: Cost, held: Span) {
        let hint = self.hint(&entry.ask);
        if let Some(account) = self.accounts.get_mut(&entry.ask.workspace) {
            account.estimator.learn(hint, cost);
        }
        if entry.class == wire::Class::Quick {
            self.learn_quick(held);
        }
    }

    /// Takes a level from a tally.
    pub(super) fn learn_level(&mut self, now: Time, level: &wire::Level) {
        let Some(account) = self.accounts.get(&level.workspace) else {
            return;
        };
        let quiet = account.quiet;
        self.update(now, &level.workspace, |account| {
            account.learn(now, level.level, level.included);
            account.quiet = quiet;
        });
    }

    /// Reports whether the last pull is long enough ago for another one.
    ///
    /// With work in the queue it is looked at only that often, since that takes a walk over it.
    pub(super) fn may_pull(&mut self, now: Time) -> bool {
        if self.waiting == 0 {
            return self.pulled.is_none_or(|at| now.since(at) >= PULL_IDLE);
        }
        let due = self.pulled.is_none_or(|at| now.since(at) >= PULL_FAIR);
        if due {
            self.pulled = Some(now);
        }
        due
    }

    /// Returns the peer to pull from: in turn among those with a floor below a level.
    pub(super) fn pull_peer(&self, ceiling: u64) -> Option<id::Router> {
        let due = self.peers.partition_point(|(floor, _)| *floor < ceiling);
        let (_, peer) = self.peers.get(self.pulls.checked_rem(due)?)?;
        Some(peer.clone())
    }

    /// Notes that a pull was sent.
    pub(super) fn note_pull(&mut self, now: Time) {
        self.pulls += 1;
        self.pulled = Some(now);
    }

    /// Returns the fit target with the most free slots.
    pub(super) fn roomiest(&self, now: Time) -> Option<id::Target> {
        let fit = self.slots.iter().filter(|(_, slots)| slots.is_fit(now));
        let most = fit.max_by_key(|(_, slots)| slots.free(now));
        most.map(|(target, _)| target.clone())
    }

    /// Returns the number of requests that can start before pulled ones arrive the next time.
    pub(super) fn pull_count(&self, now: Time) -> u32 {
        if self.waiting == 0 {
            return self.free(now).saturating_sub(self.reserve(now));
        }
        let grants = self.grants.per_second(now) * PULL_AHEAD.as_secs_f64();
        grants.ceil() as u32
    }

    /// Returns the level below which requests elsewhere are due before the last of the next
    /// `count` here.
    pub(super) fn pull_ceiling(&self, count: u32) -> u64 {
        let queue = match self.long.is_empty() {
            true => &self.quick,
            false => &self.long,
        };
        let mut waiting = 0;
        for (level, workspace) in queue.iter() {
            waiting += self.accounts.get(workspace).map_or(0, Account::waiting);
            if waiting >= count as usize {
                let margin = self.largest.saturating_mul(PULL_CHARGES);
                return level.saturating_sub(margin);
            }
        }
        u64::MAX
    }

    /// Returns the level below which work elsewhere is due before that of a workspace here.
    pub(super) fn due_before(&self, workspace: &id::Workspace) -> u64 {
        let level = self.accounts.get(workspace).map_or(0, Account::level);
        level.saturating_sub(self.largest.saturating_mul(PULL_CHARGES))
    }

    /// Returns the number of slots that the targets have together.
    pub(super) fn limit(&self) -> u32 {
        self.slots.values().map(|slots| slots.limit).sum()
    }

    /// Returns the level up to which requests are given to an owner with work of its own.
    pub(super) fn give_ceiling(&self) -> u64 {
        let floor = self.backlog_floor().unwrap_or(0);
        let margin = self.largest.saturating_mul(PULL_CHARGES);
        floor.saturating_add(margin).saturating_add(1)
    }

    /// Returns up to `count` waiting requests in fair order that fulfil a condition, of workspaces
    /// below a level.
    pub(super) fn fairest(
        &self,
        count: usize,
        ceiling: u64,
        condition: impl Fn(&id::Attempt) -> bool,
    ) -> Vec<id::Attempt> {
        let mut chosen = Vec::new();
        for class in [wire::Class::Quick, wire::Class::Long] {
            let due = self.queue(class).iter();
            let due = due.take_while(|(level, _)| *level < ceiling);
            let accounts = due.filter_map(|(_, workspace)| self.accounts.get(workspace));
            let requests = accounts.map(|account| account.queue(class).iter());
            let movable = |(_, attempt): &&(Time, id::Attempt)| condition(attempt);
            let requests = requests.map(|requests| requests.filter(movable));
            chosen.extend(in_rounds(requests.collect(), count - chosen.len()));
        }
        chosen
    }
}

/// Returns up to `count` requests, one of each workspace in every round.
fn in_rounds<'a>(
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
