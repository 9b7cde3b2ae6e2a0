//! Decides who gets the slots of the targets that a router owns.

use super::{
    Account, Event, Peer, Slots, Snapshot,
    entry::{Entry, State},
    pool::Pool,
};
use crate::{
    config, id,
    unit::{Cost, Span, Time},
    wire,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
};

/// Requests that may wait at one owner; above it, workspaces keep within equal shares of it.
const MAX_WAITING: usize = 8_192;
/// Requests that may wait at one owner whatever their workspaces; bounds its memory.
const MAX_WAITING_HARD: usize = 16_384;
/// Owners that a request may have had and still be moved.
const MAX_HOPS: u8 = 4;
/// Time in which an ingress repeats its requests after a broken link.
const CONFIRM: Span = Span::from_secs(3);
/// Time after a running request's deadline at which its slot counts as free.
const LEASE_GRACE: Span = Span::from_secs(5);
/// Pause of a target that could not be reached.
const UNREACHABLE_PAUSE: Span = Span::from_secs(1);
/// Reports of an account after it became inactive; several, since each may be lost.
const QUIET_REPORTS: u8 = 3;
/// Retry time of a refusal that another owner may not share.
const RETRY_SOON: Span = Span::from_secs(1);

/// Queues of the targets that a router owns.
#[derive(Debug)]
pub struct Owner {
    router: id::Router,
    incarnation: id::Incarnation,
    fleet: Arc<config::Fleet>,
    owned: BTreeSet<id::Target>,
    pools: BTreeMap<id::Service, Pool>,
    entries: BTreeMap<id::Attempt, Entry>,
    deadlines: BTreeSet<(Time, id::Attempt)>,
    unconfirmed: BTreeSet<(Time, id::Attempt)>,
    peers: Vec<Peer>,
    draining: bool,
    sequence: u64,
    now: Time,
}

impl Owner {
    /// Returns an owner without targets.
    pub fn new(router: id::Router, incarnation: id::Incarnation) -> Self {
        Self {
            router,
            incarnation,
            fleet: Arc::default(),
            owned: BTreeSet::new(),
            pools: BTreeMap::new(),
            entries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            peers: Vec::new(),
            draining: false,
            sequence: 0,
            now: Time(0),
        }
    }

    /// Takes an event and adds the messages that follow from it.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<wire::Envelope>) {
        self.now = self.now.max(now);
        match event {
            Event::Config(fleet) => self.configure(fleet, out),
            Event::Owned(targets) => {
                self.owned = targets.into_iter().collect();
                self.sync_targets(out);
            }
            Event::Ask { from, ask } => self.ask(from, ask, out),
            Event::Withdraw { attempt, .. } => self.withdraw(&attempt, out),
            Event::Held { from, ask, cost } => self.held(from, ask, cost),
            Event::Progress { costs, .. } => self.progress(&costs),
            Event::Done {
                attempt,
                cost,
                outcome,
                ..
            } => self.done(&attempt, cost, outcome, out),
            Event::Levels(levels) => self.learn_levels(&levels),
            Event::Load {
                target,
                running,
                waiting,
            } => self.load(&target, running, waiting, out),
            Event::Unfit { target, until } => self.unfit(&target, until, out),
            Event::Fit { target } => self.fit(&target, out),
            Event::Pull {
                from,
                service,
                target,
                free,
            } => self.pull(&from, &service, &target, free, out),
            Event::Peers(peers) => self.learn_peers(peers),
            Event::RouterLost {
                router,
                incarnation,
            } => self.router_lost(&router, incarnation, out),
            Event::Resync { from } => self.resync(&from),
            Event::Drain => self.drain(out),
            Event::Tick => self.tick(out),
        }
    }

    /// Returns the load of each owned target, as everybody is told.
    pub fn loads(&self) -> Vec<wire::Load> {
        let mut loads = Vec::new();
        for pool in self.pools.values() {
            let targets = pool.slots.len().max(1) as u64;
            loads.extend(pool.slots.iter().map(|(name, slots)| wire::Load {
                target: name.clone(),
                free: slots.free(self.now),
                slots: slots.limit,
                waiting: Cost(pool.waiting_cost.0.div_ceil(targets)),
            }));
        }
        loads
    }

    /// Returns the lowest level of the backlogged workspaces of each service.
    pub fn floors(&self) -> Vec<(id::Service, u64)> {
        let floors = self.pools.iter().filter_map(|(name, pool)| {
            let floor = pool.floor(self.now)?;
            Some((name.clone(), floor))
        });
        floors.collect()
    }

    /// Returns the reports of the service given, each to the tally that `placement` names.
    pub fn reports(
        &mut self,
        now: Time,
        placement: &dyn Fn(&id::Workspace) -> Option<id::Router>,
    ) -> Vec<wire::Envelope> {
        self.now = self.now.max(now);
        let mut usage: BTreeMap<id::Router, Vec<wire::Usage>> = BTreeMap::new();
        for (name, pool) in &mut self.pools {
            for workspace in mem::take(&mut pool.changed) {
                let Some(account) = pool.accounts.get_mut(&workspace) else {
                    continue;
                };
                if let Some(tally) = placement(&workspace) {
                    let entry = account.usage(&workspace, name);
                    usage.entry(tally).or_default().push(entry);
                }
                account.quiet = account.quiet.saturating_add(1);
                if account.is_reported(QUIET_REPORTS) {
                    continue;
                }
                pool.changed.insert(workspace);
            }
        }
        let floors = self.floors();
        self.sequence += 1;
        let report = |(to, usage)| wire::Envelope {
            to,
            message: wire::Message::Report(wire::Report {
                incarnation: self.incarnation,
                sequence: self.sequence,
                usage,
                floors: floors.clone(),
            }),
        };
        usage.into_iter().map(report).collect()
    }

    /// Returns the state of each workspace's queue.
    pub fn snapshot(&self) -> Vec<Snapshot> {
        let mut rows = Vec::new();
        for (name, pool) in &self.pools {
            let accounts = pool.accounts.iter();
            rows.extend(accounts.map(|(workspace, account)| account.snapshot(workspace, name)));
        }
        rows
    }

    /// Takes a configuration.
    fn configure(&mut self, fleet: Arc<config::Fleet>, out: &mut Vec<wire::Envelope>) {
        self.fleet = fleet;
        for (name, pool) in &mut self.pools {
            if let Some(service) = self.fleet.services.get(name) {
                pool.service = Arc::clone(service);
            }
            for (workspace, account) in &mut pool.accounts {
                if let Some(config) = self.fleet.workspaces.get(workspace) {
                    account.reweigh(config.weight);
                }
            }
        }
        self.sync_targets(out);
    }

    /// Makes the pools hold the owned targets that are configured.
    fn sync_targets(&mut self, out: &mut Vec<wire::Envelope>) {
        let configured = self.owned.iter().filter_map(|t| self.fleet.targets.get(t));
        let mut wanted: BTreeMap<id::Service, BTreeMap<id::Target, u32>> = BTreeMap::new();
        for target in configured {
            let slots = wanted.entry(target.service.clone()).or_default();
            slots.insert(target.name.clone(), target.slots);
        }
        for name in wanted.keys() {
            if let Some(service) = self.fleet.services.get(name) {
                let pool = || Pool::new(Arc::clone(service));
                self.pools.entry(name.clone()).or_insert_with(pool);
            }
        }
        let mut lost = BTreeSet::new();
        for (name, pool) in &mut self.pools {
            let wanted = wanted.remove(name).unwrap_or_default();
            let gone = pool.slots.keys().filter(|t| !wanted.contains_key(*t));
            lost.extend(gone.cloned());
            pool.slots.retain(|target, _| wanted.contains_key(target));
            for (target, max) in wanted {
                let slots = pool.slots.entry(target).or_insert_with(|| Slots::new(max));
                slots.resize(max);
            }
        }
        self.release_targets(&lost, out);
        self.dispatch_all(out);
    }

    /// Hands on the requests of targets that this router no longer owns.
    fn release_targets(&mut self, lost: &BTreeSet<id::Target>, out: &mut Vec<wire::Envelope>) {
        if lost.is_empty() {
            return;
        }
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (attempt, entry) in &self.entries {
            match &entry.state {
                State::Waiting if !self.has_targets(&entry.ask.service) => waiting.push(*attempt),
                State::Running { target, .. } if lost.contains(target) => running.push(*attempt),
                _ => {}
            }
        }
        for attempt in running {
            self.release(&attempt);
        }
        for attempt in waiting {
            let Some(entry) = self.remove(&attempt) else {
                continue;
            };
            let target = entry.ask.target.clone();
            move_to(entry.from, attempt, target, out);
        }
    }

    fn has_targets(&self, service: &id::Service) -> bool {
        self.pools.get(service).is_some_and(|p| !p.slots.is_empty())
    }

    /// Takes a request for a slot.
    fn ask(&mut self, from: id::Router, ask: wire::Ask, out: &mut Vec<wire::Envelope>) {
        if self.refresh(&from, &ask, out) {
            return;
        }
        if let Some(reason) = self.turn_away(&ask) {
            self.decline(from, &ask, reason, out);
            return;
        }
        let service = ask.service.clone();
        self.enqueue(from, ask);
        self.dispatch(&service, out);
    }

    /// Takes the repetition of a known request; reports whether it is known.
    fn refresh(
        &mut self,
        from: &id::Router,
        ask: &wire::Ask,
        out: &mut Vec<wire::Envelope>,
    ) -> bool {
        self.confirm(&ask.attempt);
        let Some(entry) = self.entries.get_mut(&ask.attempt) else {
            return false;
        };
        entry.from = from.clone();
        if let State::Running { target, .. } = &entry.state {
            out.push(wire::Envelope {
                to: from.clone(),
                message: wire::Message::Grant {
                    attempt: ask.attempt,
                    target: target.clone(),
                },
            });
        }
        true
    }

    /// Returns the reason for which a request cannot wait here.
    fn turn_away(&self, ask: &wire::Ask) -> Option<wire::Reason> {
        let Some(pool) = self.pools.get(&ask.service) else {
            return Some(wire::Reason::NotOwner);
        };
        if self.draining {
            return Some(wire::Reason::Draining);
        }
        if !pool.slots.contains_key(&ask.target) {
            return Some(wire::Reason::NotOwner);
        }
        if !pool.is_fit(self.now) {
            return Some(wire::Reason::NoTarget);
        }
        let waiting = pool
            .accounts
            .get(&ask.workspace)
            .map_or(0, Account::waiting);
        if waiting >= pool.service.max_waiting as usize {
            return Some(wire::Reason::WorkspaceFull);
        }
        let all: usize = self.pools.values().map(|pool| pool.waiting).sum();
        let share = MAX_WAITING / pool.backlogged().max(1);
        if all >= MAX_WAITING_HARD || (all >= MAX_WAITING && waiting >= share) {
            return Some(wire::Reason::QueueFull);
        }
        let late = pool.least_wait(self.now, ask) > ask.remaining;
        late.then_some(wire::Reason::Deadline)
    }

    /// Refuses a request, or sends it to another owner where that helps.
    fn decline(
        &mut self,
        from: id::Router,
        ask: &wire::Ask,
        reason: wire::Reason,
        out: &mut Vec<wire::Envelope>,
    ) {
        let elsewhere = matches!(reason, wire::Reason::Draining | wire::Reason::NoTarget);
        if elsewhere
            && ask.hops < MAX_HOPS
            && let Some(target) = self.other_target(&ask.service)
        {
            move_to(from, ask.attempt, target, out);
            return;
        }
        let pool = self.pools.get(&ask.service);
        let waiting = pool.and_then(|p| p.accounts.get(&ask.workspace));
        let waiting = waiting.map_or(0, Account::waiting);
        let retry_after = match reason {
            wire::Reason::NotOwner => Span(0),
            wire::Reason::Draining | wire::Reason::NoTarget => RETRY_SOON,
            _ => pool.map_or(RETRY_SOON, |p| p.retry_after(self.now, waiting)),
        };
        refuse(from, ask.attempt, reason, retry_after, out);
    }

    /// Returns the peers' target of a service with the most free slots, then the least waiting.
    fn other_target(&self, service: &id::Service) -> Option<id::Target> {
        let loads = self.peers.iter().flat_map(|peer| &peer.loads);
        let others = loads.filter(|load| {
            let target = self.fleet.targets.get(&load.target);
            let same = target.is_some_and(|t| &t.service == service);
            same && load.slots > 0 && !self.owned.contains(&load.target)
        });
        let best = others.min_by_key(|load| (u32::MAX - load.free, load.waiting));
        best.map(|load| load.target.clone())
    }

    /// Puts a request into the queue.
    fn enqueue(&mut self, from: id::Router, ask: wire::Ask) {
        let now = self.now;
        let fleet = Arc::clone(&self.fleet);
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return;
        };
        pool.open(&fleet, &ask.workspace);
        let (estimate, class) = pool.classify(&ask);
        pool.arrive(now, class);
        let arrived = Time(now.0.saturating_sub(ask.waited.0));
        let entry = Entry {
            from,
            class,
            estimate,
            arrived,
            deadline: now + ask.remaining,
            confirm: None,
            state: State::Waiting,
            ask,
        };
        pool.push(now, &entry);
        let attempt = entry.ask.attempt;
        self.deadlines.insert((entry.deadline, attempt));
        self.entries.insert(attempt, entry);
    }

    /// Grants free slots while requests wait.
    fn dispatch(&mut self, service: &id::Service, out: &mut Vec<wire::Envelope>) {
        while self.grant(service, out) {}
        self.ask_for_work(service, out);
    }

    fn dispatch_all(&mut self, out: &mut Vec<wire::Envelope>) {
        let services: Vec<_> = self.pools.keys().cloned().collect();
        for service in services {
            self.dispatch(&service, out);
        }
    }

    /// Grants one slot; reports whether there was one to grant.
    fn grant(&mut self, service: &id::Service, out: &mut Vec<wire::Envelope>) -> bool {
        let now = self.now;
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let Some((workspace, class)) = pool.pick(now) else {
            return false;
        };
        if class == wire::Class::Long && self.hold(service, &workspace, out) {
            return false;
        }
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        let Some(attempt) = pool.head(&workspace, class) else {
            return false;
        };
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return false;
        };
        let Some(target) = pool.pick_target(now, &entry.ask.target) else {
            return false;
        };
        pool.granted(now, &workspace, class, entry.estimate);
        pool.start(now, entry, &target, entry.estimate);
        let lease = entry.deadline + LEASE_GRACE;
        self.deadlines.remove(&(entry.deadline, attempt));
        self.deadlines.insert((lease, attempt));
        entry.deadline = lease;
        entry.state = State::Running {
            target: target.clone(),
            charged: entry.estimate,
            progress: Cost(0),
            base: Cost(0),
            since: now,
        };
        out.push(wire::Envelope {
            to: entry.from.clone(),
            message: wire::Message::Grant { attempt, target },
        });
        true
    }

    /// Reports whether the free slots wait for work that is due before that of a workspace.
    ///
    /// The first time asks for that work.
    fn hold(
        &mut self,
        service: &id::Service,
        workspace: &id::Workspace,
        out: &mut Vec<wire::Envelope>,
    ) -> bool {
        let now = self.now;
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        let free = pool.free(now);
        let due_before = pool.due_before(workspace);
        let loaded = peers_with_work(&self.peers, &self.fleet, service);
        let due = loaded.into_iter().filter(|(floor, _)| *floor < due_before);
        let Some((_, to)) = due.min().filter(|_| !self.draining) else {
            pool.hold.end(now, free);
            return false;
        };
        if let Some(until) = pool.hold.until() {
            if until <= now {
                pool.hold.end(now, free);
            }
            return now < until;
        }
        let Some(target) = pool.roomiest(now) else {
            return false;
        };
        if !pool.hold.start(now, pool.limit()) {
            return false;
        }
        pool.note_pull(now);
        out.push(pull_message(to, service, target, free));
        true
    }

    /// Returns the time at which the owner wants a `Tick`, if that is before the regular one.
    pub fn wake(&self) -> Option<Time> {
        let holds = self.pools.values().filter_map(|pool| pool.hold.until());
        holds.min()
    }

    /// Asks another owner for work when there is none here, or when the work there is due earlier.
    fn ask_for_work(&mut self, service: &id::Service, out: &mut Vec<wire::Envelope>) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if self.draining || !pool.may_pull(self.now) {
            return;
        }
        let Some(target) = pool.roomiest(self.now) else {
            return;
        };
        let count = pool.pull_count(self.now);
        if count == 0 {
            return;
        }
        let ceiling = pool.pull_ceiling(count);
        let loaded = peers_with_work(&self.peers, &self.fleet, service);
        let due = loaded.into_iter().filter(|(floor, _)| *floor < ceiling);
        let mut due: Vec<_> = due.collect();
        if due.is_empty() {
            return;
        }
        due.sort();
        let (_, to) = due.swap_remove(pool.pulls % due.len());
        pool.note_pull(self.now);
        out.push(pull_message(to, service, target, count));
    }

    /// Hands waiting requests to another owner, the lowest levels first.
    ///
    /// An owner with work of its own knows no more than the floor here, so it gets only what is
    /// close to that.
    fn pull(
        &mut self,
        from: &id::Router,
        service: &id::Service,
        target: &id::Target,
        free: u32,
        out: &mut Vec<wire::Envelope>,
    ) {
        if *from == self.router || self.owned.contains(target) {
            return;
        }
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        let idle = !self.has_work(from, service);
        let ceiling = if idle { u64::MAX } else { pool.give_ceiling() };
        let entries = &self.entries;
        let movable = |attempt: &id::Attempt| {
            let entry = entries.get(attempt);
            entry.is_some_and(|entry| entry.ask.hops < MAX_HOPS)
        };
        for attempt in pool.fairest(free as usize, ceiling, movable) {
            if let Some(entry) = self.remove(&attempt) {
                move_to(entry.from, attempt, target.clone(), out);
            }
        }
    }

    /// Reports whether a peer told of waiting work.
    fn has_work(&self, router: &id::Router, service: &id::Service) -> bool {
        let loaded = peers_with_work(&self.peers, &self.fleet, service);
        loaded.iter().any(|(_, peer)| peer == router)
    }

    /// Takes a request out of the queue.
    fn withdraw(&mut self, attempt: &id::Attempt, out: &mut Vec<wire::Envelope>) {
        let Some(entry) = self.remove(attempt) else {
            return;
        };
        self.dispatch(&entry.ask.service, out);
    }

    /// Takes a running request over from an earlier owner.
    fn held(&mut self, from: id::Router, ask: wire::Ask, cost: Cost) {
        let attempt = ask.attempt;
        self.confirm(&attempt);
        let known = self.entries.get(&attempt).map(|entry| &entry.state);
        if let Some(State::Running { .. }) = known {
            self.progress(&[(attempt, cost)]);
            return;
        }
        let owns = |pool: &Pool| pool.slots.contains_key(&ask.target);
        if !self.pools.get(&ask.service).is_some_and(owns) {
            return;
        }
        self.remove(&attempt);
        let target = ask.target.clone();
        self.enqueue(from, ask);
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&entry.ask.service) else {
            return;
        };
        let charged = entry.estimate.max(cost);
        pool.start(self.now, entry, &target, charged.saturating_sub(cost));
        let lease = entry.deadline + LEASE_GRACE;
        self.deadlines.remove(&(entry.deadline, attempt));
        self.deadlines.insert((lease, attempt));
        entry.deadline = lease;
        entry.state = State::Running {
            target,
            charged,
            progress: cost,
            base: cost,
            since: self.now,
        };
    }

    /// Takes costs of running requests.
    fn progress(&mut self, costs: &[(id::Attempt, Cost)]) {
        for (attempt, cost) in costs {
            self.confirm(attempt);
            let Some(entry) = self.entries.get_mut(attempt) else {
                continue;
            };
            let State::Running {
                charged, progress, ..
            } = &mut entry.state
            else {
                continue;
            };
            *progress = (*progress).max(*cost);
            let old = mem::replace(charged, entry.estimate.max(*progress));
            let new = *charged;
            if let Some(pool) = self.pools.get_mut(&entry.ask.service)
                && old != new
            {
                pool.update(self.now, &entry.ask.workspace, |a| a.correct(old, new));
            }
        }
    }

    /// Settles a request that ended.
    fn done(
        &mut self,
        attempt: &id::Attempt,
        cost: Cost,
        outcome: wire::Outcome,
        out: &mut Vec<wire::Envelope>,
    ) {
        let Some(entry) = self.remove_as(attempt, Some(cost)) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&entry.ask.service) else {
            return;
        };
        if let State::Running { target, since, .. } = &entry.state {
            if outcome == wire::Outcome::Unreachable
                && let Some(slots) = pool.slots.get_mut(target)
            {
                slots.pause_for(self.now, UNREACHABLE_PAUSE);
            }
            if outcome == wire::Outcome::Answered {
                pool.learn(&entry, cost, self.now.since(*since));
            }
        }
        self.dispatch(&entry.ask.service, out);
    }

    /// Takes levels from a tally.
    fn learn_levels(&mut self, levels: &[wire::Level]) {
        for level in levels {
            let Some(pool) = self.pools.get_mut(&level.service) else {
                continue;
            };
            pool.learn_level(self.now, level);
        }
    }

    /// Takes a target's load report.
    fn load(
        &mut self,
        target: &id::Target,
        running: u32,
        waiting: u32,
        out: &mut Vec<wire::Envelope>,
    ) {
        let now = self.now;
        self.with_slots(target, |slots| slots.learn(now, running, waiting), out);
    }

    /// Stops new work for a target.
    fn unfit(&mut self, target: &id::Target, until: Option<Time>, out: &mut Vec<wire::Envelope>) {
        self.with_slots(target, |slots| slots.pause(until), out);
        let Some(service) = self.service_of(target) else {
            return;
        };
        if !self.pools.get(&service).is_some_and(|p| p.is_fit(self.now)) {
            self.empty(&service, wire::Reason::NoTarget, out);
        }
    }

    /// Lets new work to a target.
    fn fit(&mut self, target: &id::Target, out: &mut Vec<wire::Envelope>) {
        self.with_slots(target, Slots::admit, out);
    }

    /// Changes the slots of a target and grants what becomes free.
    fn with_slots(
        &mut self,
        target: &id::Target,
        change: impl FnOnce(&mut Slots),
        out: &mut Vec<wire::Envelope>,
    ) {
        let Some(service) = self.service_of(target) else {
            return;
        };
        let pool = self.pools.get_mut(&service);
        if let Some(slots) = pool.and_then(|pool| pool.slots.get_mut(target)) {
            change(slots);
        }
        self.dispatch(&service, out);
    }

    fn service_of(&self, target: &id::Target) -> Option<id::Service> {
        let target = self.fleet.targets.get(target)?;
        Some(target.service.clone())
    }

    /// Sends all waiting requests of a service elsewhere.
    fn empty(
        &mut self,
        service: &id::Service,
        reason: wire::Reason,
        out: &mut Vec<wire::Envelope>,
    ) {
        let waits = |entry: &Entry| entry.state == State::Waiting && &entry.ask.service == service;
        let entries = self.entries.iter().filter(|(_, entry)| waits(entry));
        let attempts: Vec<_> = entries.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            if let Some(entry) = self.remove(&attempt) {
                self.decline(entry.from, &entry.ask, reason, out);
            }
        }
    }

    /// Takes the state of the peers.
    fn learn_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
        self.peers.retain(|peer| peer.router != self.router);
        for (name, pool) in &mut self.pools {
            let floors = self.peers.iter().flat_map(|peer| &peer.floors);
            let floors = floors.filter(|(service, _)| service == name);
            pool.peer_floor = floors.map(|(_, floor)| *floor).min();
        }
    }

    /// Frees what a dead ingress held.
    fn router_lost(
        &mut self,
        router: &id::Router,
        incarnation: Option<id::Incarnation>,
        out: &mut Vec<wire::Envelope>,
    ) {
        let lost = |attempt: &id::Attempt, entry: &Entry| {
            entry.from == *router && incarnation.is_none_or(|last| attempt.incarnation <= last)
        };
        let entries = self.entries.iter().filter(|(a, e)| lost(a, e));
        let attempts: Vec<_> = entries.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            self.remove(&attempt);
        }
        self.dispatch_all(out);
    }

    /// Marks what a router must repeat.
    fn resync(&mut self, from: &id::Router) {
        let until = self.now + CONFIRM;
        for (attempt, entry) in &mut self.entries {
            if entry.from == *from && entry.confirm.is_none() {
                entry.confirm = Some(until);
                self.unconfirmed.insert((until, *attempt));
            }
        }
    }

    /// Notes that an ingress repeated a request.
    fn confirm(&mut self, attempt: &id::Attempt) {
        if let Some(entry) = self.entries.get_mut(attempt)
            && let Some(until) = entry.confirm.take()
        {
            self.unconfirmed.remove(&(until, *attempt));
        }
    }

    /// Hands all waiting requests on.
    fn drain(&mut self, out: &mut Vec<wire::Envelope>) {
        self.draining = true;
        let services: Vec<_> = self.pools.keys().cloned().collect();
        for service in services {
            self.empty(&service, wire::Reason::Draining, out);
        }
    }

    /// Ends waits and leases that ran out.
    fn tick(&mut self, out: &mut Vec<wire::Envelope>) {
        while let Some((at, attempt)) = self.deadlines.first().copied()
            && at <= self.now
        {
            self.expire(&attempt, out);
            self.deadlines.remove(&(at, attempt));
        }
        while let Some((at, attempt)) = self.unconfirmed.first().copied()
            && at <= self.now
        {
            self.remove(&attempt);
            self.unconfirmed.remove(&(at, attempt));
        }
        for pool in self.pools.values_mut() {
            pool.forget(self.now);
        }
        self.dispatch_all(out);
    }

    /// Refuses a request whose deadline passed in the queue, or frees the slot of a lost one.
    fn expire(&mut self, attempt: &id::Attempt, out: &mut Vec<wire::Envelope>) {
        let Some(entry) = self.remove(attempt) else {
            return;
        };
        if entry.state == State::Waiting {
            let reason = wire::Reason::Deadline;
            self.decline(entry.from, &entry.ask, reason, out);
        }
    }

    /// Forgets a request; a running one stays charged as it is.
    fn remove(&mut self, attempt: &id::Attempt) -> Option<Entry> {
        self.remove_as(attempt, None)
    }

    /// Forgets a running request that another owner takes over, charged with its cost so far.
    fn release(&mut self, attempt: &id::Attempt) {
        let entry = self.entries.get(attempt);
        let Some(State::Running { progress, .. }) = entry.map(|entry| &entry.state) else {
            return;
        };
        let progress = *progress;
        self.remove_as(attempt, Some(progress));
    }

    /// Forgets a request; a running one is settled at its final cost, if that is given.
    fn remove_as(&mut self, attempt: &id::Attempt, cost: Option<Cost>) -> Option<Entry> {
        let entry = self.entries.remove(attempt)?;
        self.deadlines.remove(&(entry.deadline, *attempt));
        if let Some(until) = entry.confirm {
            self.unconfirmed.remove(&(until, *attempt));
        }
        if let Some(pool) = self.pools.get_mut(&entry.ask.service) {
            pool.finish(self.now, &entry, cost);
        }
        Some(entry)
    }
}

/// Returns the peers that have waiting work for a service, with their floors.
fn peers_with_work(
    peers: &[Peer],
    fleet: &config::Fleet,
    service: &id::Service,
) -> Vec<(u64, id::Router)> {
    let of_service = |load: &&wire::Load| {
        let target = fleet.targets.get(&load.target);
        target.is_some_and(|t| &t.service == service)
    };
    let loaded = peers.iter().filter(|peer| {
        let mut loads = peer.loads.iter().filter(of_service);
        loads.any(|load| load.waiting > Cost(0))
    });
    let with_floor = loaded.map(|peer| {
        let floor = peer.floors.iter().find(|(name, _)| name == service);
        (
            floor.map_or(u64::MAX, |(_, floor)| *floor),
            peer.router.clone(),
        )
    });
    with_floor.collect()
}

/// Returns the message that asks an owner for work.
fn pull_message(
    to: id::Router,
    service: &id::Service,
    target: id::Target,
    free: u32,
) -> wire::Envelope {
    wire::Envelope {
        to,
        message: wire::Message::Pull {
            service: service.clone(),
            target,
            free,
        },
    }
}

/// Sends a request to the owner of another target.
fn move_to(
    to: id::Router,
    attempt: id::Attempt,
    target: id::Target,
    out: &mut Vec<wire::Envelope>,
) {
    out.push(wire::Envelope {
        to,
        message: wire::Message::Move { attempt, target },
    });
}

/// Refuses a request.
fn refuse(
    to: id::Router,
    attempt: id::Attempt,
    reason: wire::Reason,
    retry_after: Span,
    out: &mut Vec<wire::Envelope>,
) {
    out.push(wire::Envelope {
        to,
        message: wire::Message::Refuse {
            attempt,
            refusal: wire::Refusal {
                reason,
                retry_after,
            },
        },
    });
}
