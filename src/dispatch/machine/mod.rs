//! Dispatcher: handles requests from arrival to their end.

mod fleet;
mod place;
mod tell;

use super::{
    Action, Audience, End, Event, Reason, Refusal, Request, Settings, Standing,
    account::Account,
    circle::Circle,
    count::Count,
    ledger::Ledger,
    peer::Peer,
    queue::{Queue, Waiting},
    run::Run,
    share::Share,
    target::Target,
};
use crate::{
    gossip::{self, Scope},
    id,
    ingress::Budget,
    placement::hash,
    routing,
    unit::{Span, Time, Version},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Time after which a caller may retry when its service has no target: about the time until a
/// restarted target is listed again.
const NO_TARGET_RETRY: Span = Span::from_millis(1_000);
/// Time after which a caller may retry when all targets are full: each target ends several requests
/// in it.
const OVERLOAD_RETRY: Span = Span::from_millis(1_000);
/// Range of the time after which a caller may retry when its workspace is beyond its share.
const SHARE_RETRY: (Span, Span) = (Span::from_millis(300), Span::from_millis(3_000));
/// Minimum time until a retried request is due.
const AGAIN_DUE: Span = Span::from_millis(200);
/// Divisor of the time to a request's deadline that gives its maximum queueing time. The rest is
/// left for its run, or for a retry by the caller.
const HOLD_DIVISOR: u64 = 3;
/// Maximum number of failed connections per request. Such sends reach no target, so they count
/// neither as attempts nor as retries.
const MAX_UNSENT: usize = 3;

/// Load balancer of one router, for the requests that it received.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    settings: Settings,
    routing: Arc<routing::Table>,
    targets: BTreeMap<id::Target, Target>,
    keys: HashMap<u64, id::Target>,
    queues: BTreeMap<id::Service, Queue>,
    runs: HashMap<u64, Run>,
    budgets: BTreeMap<id::Service, Budget>,
    share: Share,
    accounts: HashMap<u64, Account>,
    /// Workspace and cost of the last generation that arrived.
    last: Option<(u64, u64)>,
    circle: Circle,
    peers: BTreeMap<id::Router, Peer>,
    /// Loads last sent to the leading routers, or to the followed one.
    ledger: Ledger,
    /// Prompt parts sent to targets that other routers have not been informed of, with the router
    /// that reported them, `None` for this one.
    reads: Vec<(Option<id::Router>, gossip::Read)>,
    /// Time at which a prompt part of a target was last announced to other routers.
    told_reads: HashMap<(u64, u64), Time>,
    /// Former recipients that are still to be informed that this router sends them nothing more.
    farewells: Vec<(Scope, Audience)>,
    sequence: u64,
    told_all: Time,
}

impl Dispatcher {
    /// Returns a dispatcher that knows no target.
    pub fn open(settings: Settings) -> Self {
        Self {
            share: Share::new(settings.share_window),
            settings,
            routing: Arc::default(),
            targets: BTreeMap::new(),
            keys: HashMap::new(),
            queues: BTreeMap::new(),
            runs: HashMap::new(),
            budgets: BTreeMap::new(),
            accounts: HashMap::new(),
            last: None,
            circle: Circle::open(),
            peers: BTreeMap::new(),
            ledger: Ledger::default(),
            reads: Vec::new(),
            told_reads: HashMap::new(),
            farewells: Vec::new(),
            sequence: 0,
            told_all: Time::default(),
        }
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the newest configuration version that another router reported.
    pub fn newest_version(&self) -> Version {
        let versions = self.peers.values().map(|peer| peer.version);
        versions.max().unwrap_or_default()
    }

    /// Handles an event and appends the resulting actions.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => self.arrive(now, request, out),
            Event::Begun { number } => self.begin(now, number, out),
            Event::Ended { number, end, again } => self.end(now, number, end, again, out),
            Event::Gone { number } => self.forget(now, number, out),
            Event::Targets(targets) => self.set_targets(now, targets, out),
            Event::Routing(table) => self.set_routing(now, table, out),
            Event::Summary(summary) => self.hear(now, &summary, out),
            Event::Roster {
                candidates,
                leaders,
            } => self.set_roster(now, candidates, leaders),
            Event::Unread { count } => self.refuse_unread(count),
            Event::Tick => self.tick(now, out),
        }
    }

    fn arrive(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        self.budget(&request.service).earn();
        let excess = self.ask(&request);
        let until = self.hold_until(now, &request);
        let waiting = Waiting {
            request,
            tried: Vec::new(),
            unsent: 0,
            ran: false,
            until,
        };
        if waiting.request.deadline <= now {
            return self.refuse(now, &waiting, Reason::Deadline, Span(0), out);
        }
        if !self.has_target(&waiting.request.service) {
            return self.refuse(now, &waiting, Reason::NoTarget, NO_TARGET_RETRY, out);
        }
        let ahead = excess.is_some() && self.is_ahead(&waiting.request);
        // Queued requests are retried at each event that frees capacity, so a target that has room
        // now is one that they cannot use.
        if !ahead && let Some(offer) = self.find(now, &waiting, excess) {
            return self.send(now, waiting, offer, out);
        }
        if excess.is_some() {
            let retry = self.share_retry(&waiting.request);
            return self.refuse(now, &waiting, Reason::Share, retry, out);
        }
        let service = waiting.request.service.clone();
        self.queues.entry(service).or_default().push(waiting);
    }

    /// Adds a request to the demand of its workspace; returns by how much the workspace exceeds its
    /// share.
    fn ask(&mut self, request: &Request) -> Option<f64> {
        let (Some(workspace), Some(prompt)) = (&request.workspace, &request.prompt) else {
            return None;
        };
        let key = hash(workspace.as_str());
        let cost = prompt.cost();
        self.last = Some((key, cost));
        self.count_asked(key, cost);
        if self.settings.placement.sees_others() {
            self.share.excess(key, cost)
        } else {
            None
        }
    }

    fn count_asked(&mut self, workspace: u64, asked: u64) {
        let count = Count { asked, granted: 0 };
        self.accounts.entry(workspace).or_default().add_own(count);
        self.share.add(workspace, asked, 0);
    }

    /// Attributes requests that were shed before they were parsed to the workspace and cost of the
    /// last generation that was. Their workspace is unknown, but the one that sends most is shed
    /// most.
    fn refuse_unread(&mut self, count: u64) {
        if let Some((workspace, cost)) = self.last {
            self.count_asked(workspace, cost * count);
        }
    }

    /// Reports whether a request would put its workspace too far ahead of others.
    fn is_ahead(&self, request: &Request) -> bool {
        let (Some(workspace), Some(prompt)) = (&request.workspace, &request.prompt) else {
            return false;
        };
        self.share.is_ahead(hash(workspace.as_str()), prompt.cost())
    }

    fn share_retry(&self, request: &Request) -> Span {
        let (Some(workspace), Some(prompt)) = (&request.workspace, &request.prompt) else {
            return OVERLOAD_RETRY;
        };
        let after = self
            .share
            .room_after(hash(workspace.as_str()), prompt.cost());
        after.clamp(SHARE_RETRY.0, SHARE_RETRY.1)
    }

    fn hold_until(&self, now: Time, request: &Request) -> Time {
        let left = request.deadline.since(now);
        let part = Span(left.0 / HOLD_DIVISOR);
        now + part.min(self.settings.hold)
    }

    fn budget(&mut self, service: &id::Service) -> &mut Budget {
        let routers = self.routers();
        let settings = &self.settings;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            Budget::new(settings.repeat_permille, settings.repeat_extra / routers)
        })
    }

    fn begin(&mut self, now: Time, number: u64, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        if run.begun {
            return;
        }
        run.begun = true;
        let service = run.request.service.clone();
        if let Some(target) = self.targets.get_mut(&run.offer.target) {
            target.read(run);
            if run.request.prompt.is_some() {
                target.pace.learn_first(now.since(run.sent), run.ahead);
            }
            if target.health.answer(now) {
                out.push(belief(target));
            }
        }
        self.serve(now, &service, out);
    }

    fn end(&mut self, now: Time, number: u64, end: End, again: bool, out: &mut Vec<Action>) {
        let Some(mut run) = self.runs.remove(&number) else {
            return;
        };
        self.release(now, &run, end, out);
        let service = run.request.service.clone();
        let may_have_run = !matches!(end, End::NotRun | End::Unsent);
        run.ran |= may_have_run;
        let ended = matches!(end, End::Answered | End::Cancelled);
        if !ended {
            self.send_again(now, run, end, again, out);
        }
        self.serve(now, &service, out);
    }

    /// Releases what a run took, and updates the target's estimates and health with its outcome.
    fn release(&mut self, now: Time, run: &Run, end: End, out: &mut Vec<Action>) {
        let Some(target) = self.targets.get_mut(&run.offer.target) else {
            return;
        };
        target.end(run);
        let changed = match end {
            End::Answered => {
                if run.request.prompt.is_none() {
                    target.pace.learn_work(now.since(run.sent));
                }
                target.health.answer(now)
            }
            End::Cancelled | End::NotRun => {
                target.health.forget();
                false
            }
            End::Failed | End::Unsent | End::Broken | End::Silent => target.health.fail(now),
        };
        if changed {
            out.push(belief(target));
        }
    }

    fn send_again(&mut self, now: Time, run: Run, end: End, again: bool, out: &mut Vec<Action>) {
        let unsent = end == End::Unsent;
        let paid = run.abandoned && end == End::Silent;
        let mut waiting = Waiting {
            until: self.hold_until(now, &run.request),
            request: run.request,
            tried: run.tried,
            unsent: run.unsent + usize::from(unsent),
            ran: run.ran,
        };
        let request = &mut waiting.request;
        request.due = request.due.max(now + AGAIN_DUE);
        let service = request.service.clone();
        let attempts = request.attempts as usize;
        let reached = waiting.tried.len() - waiting.unsent;
        if !again || (waiting.ran && !waiting.request.kind.is_repeatable()) {
            return self.refuse(now, &waiting, Reason::Attempts, Span(0), out);
        }
        if waiting.unsent >= MAX_UNSENT || reached >= attempts {
            return self.refuse(now, &waiting, Reason::Attempts, OVERLOAD_RETRY, out);
        }
        if !unsent && !paid && !self.budget(&service).spend() {
            return self.refuse(now, &waiting, Reason::Budget, OVERLOAD_RETRY, out);
        }
        if !self.has_target(&service) {
            return self.refuse(now, &waiting, Reason::NoTarget, NO_TARGET_RETRY, out);
        }
        match self.find(now, &waiting, None) {
            Some(offer) => self.send(now, waiting, offer, out),
            None => self.queues.entry(service).or_default().push(waiting),
        }
    }

    fn forget(&mut self, now: Time, number: u64, out: &mut Vec<Action>) {
        for queue in self.queues.values_mut() {
            if queue.remove(number).is_some() {
                return;
            }
        }
        if self.runs.contains_key(&number) {
            self.end(now, number, End::Cancelled, false, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.share.tick(now);
        self.drop_silent_peers(now);
        self.keep_circle(now);
        self.abandon(now, out);
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.serve(now, &service, out);
            let expired = self.queues.get_mut(&service).map(|queue| queue.expire(now));
            for waiting in expired.into_iter().flatten() {
                let reason = if waiting.request.deadline <= now {
                    Reason::Deadline
                } else {
                    Reason::Overload
                };
                self.refuse(now, &waiting, reason, OVERLOAD_RETRY, out);
            }
        }
        self.queues.retain(|_, queue| queue.len() > 0);
    }

    fn refuse(
        &self,
        now: Time,
        waiting: &Waiting,
        reason: Reason,
        retry_after: Span,
        out: &mut Vec<Action>,
    ) {
        let workspace = waiting.request.workspace.as_ref();
        out.push(Action::Refuse {
            number: waiting.request.number,
            refusal: Refusal {
                reason,
                retry_after,
                ran: waiting.ran,
                standing: workspace.map_or_else(Standing::default, |workspace| {
                    self.share.standing(hash(workspace.as_str()))
                }),
                view_age: self.view_age(now),
            },
        });
    }
}

fn belief(target: &Target) -> Action {
    let (failures, answers) = target.health.counts();
    Action::Belief {
        target: target.entry.name.clone(),
        suspect: target.health.is_suspect(),
        failures,
        answers,
    }
}
