//! Scheduler of an owner: a state machine without I/O, driven by events and time.

mod admission;
mod grants;
mod pulls;
mod targets;

use super::{
    Event, Peer, Snapshot,
    pool::Pool,
    request::{Request, State},
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

/// Number of times that a request may move between owners.
const MAX_HOPS: u8 = 4;
/// Time within which an ingress must repeat its requests after a broken link.
const CONFIRM_TIMEOUT: Span = Span::from_secs(3);
/// Minimum number of reports of an account after its last change; several, since each may be lost.
const MIN_UNCHANGED_REPORTS: u8 = 3;

/// Schedules requests on the slots of the targets that a router owns.
#[derive(Debug)]
pub struct Scheduler {
    router: id::Router,
    incarnation: id::Incarnation,
    fleet: Arc<config::Fleet>,
    owned: BTreeSet<id::Target>,
    pools: BTreeMap<id::Service, Pool>,
    requests: BTreeMap<id::Attempt, Request>,
    deadlines: BTreeSet<(Time, id::Attempt)>,
    unconfirmed: BTreeSet<(Time, id::Attempt)>,
    peers: Vec<Peer>,
    draining: bool,
    report_sequence: u64,
    now: Time,
}

impl Scheduler {
    /// Returns a scheduler without targets.
    pub fn new(router: id::Router, incarnation: id::Incarnation) -> Self {
        Self {
            router,
            incarnation,
            fleet: Arc::default(),
            owned: BTreeSet::new(),
            pools: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            peers: Vec::new(),
            draining: false,
            report_sequence: 0,
            now: Time(0),
        }
    }

    /// Handles an event and appends the resulting messages to `out`.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<wire::Envelope>) {
        self.now = self.now.max(now);
        match event {
            Event::Config(fleet) => self.configure(fleet, out),
            Event::Owned(targets) => {
                self.owned = targets.into_iter().collect();
                self.sync_targets(out);
            }
            Event::Ask { from, ask } => self.handle_ask(from, ask, out),
            Event::Withdraw { attempt, .. } => self.withdraw(&attempt, out),
            Event::Held { from, ask, cost } => self.take_over(from, ask, cost),
            Event::Progress { costs, .. } => self.update_costs(&costs),
            Event::Done {
                attempt,
                cost,
                outcome,
                ..
            } => self.handle_done(&attempt, cost, outcome, out),
            Event::Levels(levels) => self.apply_levels(&levels),
            Event::Load {
                target,
                running,
                waiting,
            } => self.apply_load(&target, running, waiting, out),
            Event::Pause { target, until } => self.pause_target(&target, until, out),
            Event::Resume { target } => self.resume_target(&target, out),
            Event::Pull {
                from,
                service,
                target,
                free,
            } => self.handle_pull(&from, &service, &target, free, out),
            Event::Peers(peers) => self.set_peers(peers),
            Event::RouterLost {
                router,
                incarnation,
            } => self.remove_router(&router, incarnation, out),
            Event::Resync { from } => self.expect_repeats(&from),
            Event::Drain => self.start_drain(out),
            Event::Tick => self.handle_tick(out),
        }
    }

    /// Returns the load of each owned target, for the heartbeats.
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

    /// Returns the floor of each service, for the heartbeats.
    pub fn floors(&self) -> Vec<(id::Service, u64)> {
        let floors = self.pools.iter().filter_map(|(name, pool)| {
            let floor = pool.floor(self.now)?;
            Some((name.clone(), floor))
        });
        floors.collect()
    }

    /// Returns the usage reports to the aggregators that `placement` names.
    pub fn reports(
        &mut self,
        now: Time,
        placement: &dyn Fn(&id::Workspace) -> Option<id::Router>,
    ) -> Vec<wire::Envelope> {
        self.now = self.now.max(now);
        let mut usage: BTreeMap<id::Router, Vec<wire::Usage>> = BTreeMap::new();
        for (name, pool) in &mut self.pools {
            for workspace in mem::take(&mut pool.unreported) {
                let Some(account) = pool.accounts.get_mut(&workspace) else {
                    continue;
                };
                if let Some(aggregator) = placement(&workspace) {
                    let item = account.usage(&workspace, name);
                    usage.entry(aggregator).or_default().push(item);
                }
                account.unchanged_reports = account.unchanged_reports.saturating_add(1);
                if account.is_reported(MIN_UNCHANGED_REPORTS) {
                    continue;
                }
                pool.unreported.insert(workspace);
            }
        }
        let floors = self.floors();
        self.report_sequence += 1;
        let report = |(to, usage)| wire::Envelope {
            to,
            message: wire::Message::Report(wire::Report {
                incarnation: self.incarnation,
                sequence: self.report_sequence,
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
        rows.sort_by(|a, b| (&a.service, &a.workspace).cmp(&(&b.service, &b.workspace)));
        rows
    }

    /// Returns the time at which a `Tick` is needed, if it may be before the regular one.
    pub fn wake_at(&self) -> Option<Time> {
        let holds = self.pools.values().filter_map(|pool| pool.hold.until());
        holds.min()
    }

    /// Applies levels from an aggregator.
    fn apply_levels(&mut self, levels: &[wire::Level]) {
        for level in levels {
            let Some(pool) = self.pools.get_mut(&level.service) else {
                continue;
            };
            pool.apply_level(self.now, level);
        }
    }

    /// Removes the requests of a dead ingress and frees their slots.
    fn remove_router(
        &mut self,
        router: &id::Router,
        incarnation: Option<id::Incarnation>,
        out: &mut Vec<wire::Envelope>,
    ) {
        let lost = |attempt: &id::Attempt, request: &Request| {
            request.ingress == *router && incarnation.is_none_or(|last| attempt.incarnation <= last)
        };
        let requests = self
            .requests
            .iter()
            .filter(|(attempt, request)| lost(attempt, request));
        let attempts: Vec<_> = requests.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            self.remove(&attempt);
        }
        self.dispatch_all(out);
    }

    /// Marks the requests that a router must repeat.
    fn expect_repeats(&mut self, from: &id::Router) {
        let until = self.now + CONFIRM_TIMEOUT;
        for (attempt, request) in &mut self.requests {
            if request.ingress == *from && request.confirm_by.is_none() {
                request.confirm_by = Some(until);
                self.unconfirmed.insert((until, *attempt));
            }
        }
    }

    /// Moves or refuses all waiting requests, and new ones from now on.
    fn start_drain(&mut self, out: &mut Vec<wire::Envelope>) {
        self.draining = true;
        let services: Vec<_> = self.pools.keys().cloned().collect();
        for service in services {
            self.clear_queue(&service, wire::Reason::Draining, out);
        }
    }

    /// Expires deadlines, leases and unconfirmed requests, then grants free slots.
    fn handle_tick(&mut self, out: &mut Vec<wire::Envelope>) {
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
            pool.evict_idle(self.now);
        }
        self.dispatch_all(out);
    }

    /// Removes a request; a running one stays charged as it is.
    fn remove(&mut self, attempt: &id::Attempt) -> Option<Request> {
        self.remove_at_cost(attempt, None)
    }

    /// Removes a running request that another owner takes over and settles it at its cost so far.
    fn hand_over(&mut self, attempt: &id::Attempt) {
        let request = self.requests.get(attempt);
        let Some(State::Running { reported, .. }) = request.map(|request| &request.state) else {
            return;
        };
        let reported = *reported;
        self.remove_at_cost(attempt, Some(reported));
    }

    /// Removes a request; a running one is settled at its final cost, if that is given.
    fn remove_at_cost(&mut self, attempt: &id::Attempt, cost: Option<Cost>) -> Option<Request> {
        let request = self.requests.remove(attempt)?;
        self.deadlines.remove(&(request.deadline, *attempt));
        if let Some(until) = request.confirm_by {
            self.unconfirmed.remove(&(until, *attempt));
        }
        if let Some(pool) = self.pools.get_mut(&request.ask.service) {
            pool.finish(self.now, &request, cost);
        }
        Some(request)
    }
}
