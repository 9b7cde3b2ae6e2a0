//! Dispatcher: handles requests from arrival to their end.

mod cache_events;
mod evacuation;
mod fleet;
mod hazard;
mod limit;
mod notice;
mod resumption;
mod selection;
mod shutdown;
mod source;
mod summaries;
mod warm_up;

use super::{
    Action, Allocation, Cause, Demand, Event, Outcome, Reason, Refusal, Request, Settings,
    account::Account,
    announced::Announced,
    announcements::Announcements,
    attempt::Attempt,
    baseline::Baseline,
    beginning::Beginning,
    builds::Builds,
    departed::Departed,
    durations::Durations,
    grade::Grade,
    hazards::Hazards,
    ledger::{Entry, Ledger, Loss},
    limits::Limits,
    listing::Listing,
    meter::Meter,
    notices::Notices,
    origins::Origins,
    peer::Peer,
    queue::{Pending, Queue},
    share::Share,
    shared_parts::SharedParts,
    speed::Speed,
    standing::Standing,
    target::Target,
    tokens::Tokens,
    topology::Topology,
    typical::Typical,
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
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

/// Time after which a caller may retry when its service has no target: about the time until a
/// restarted target is listed again.
const NO_TARGET_RETRY_AFTER: Span = Span::from_millis(1_000);
/// Time after which a caller may retry when all targets are full: each target finishes several
/// requests in this time.
const OVERLOAD_RETRY_AFTER: Span = Span::from_millis(1_000);
/// Range of the time after which a caller may retry when its workspace is beyond its share, or all
/// targets of its service asked for a pause.
const RETRY_AFTER_RANGE: (Span, Span) = (Span::from_millis(300), Span::from_millis(3_000));
/// Minimum time until a retried request is due.
pub(super) const MIN_RETRY_DUE: Span = Span::from_millis(200);
/// A request is queued for at most the time to its deadline divided by this. The rest is left for
/// the attempt, or for a retry by the caller.
const QUEUE_TIME_DIVISOR: u64 = 3;
/// Maximum number of failed connections per request. Such sends reach no target, so they count
/// neither as attempts nor as retries.
const MAX_UNSENT_PER_REQUEST: usize = 3;

/// Weight of a generation in the moving average of their cost.
const MEAN_COST_WEIGHT: f64 = 0.02;
/// Time between two ticks from which this router counts as paused, far above the lateness of its
/// timer under load.
const LATE_TICK: Span = Span::from_millis(300);
/// Interval at which doubted estimates of speed are brought nearer to the best one, far below the time in which
/// they are forgotten. With 118 targets, doing so at each tick took 7 % of a router's processor time.
const FORGET_INTERVAL: Span = Span::from_millis(100);
/// Time that a router needs after a pause to read what targets sent meanwhile.
const READ_TIME: Span = Span::from_millis(200);

/// Load balancer of one router, for the requests that it received.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    settings: Settings,
    /// Hash of the name of this router.
    key: u64,
    /// Time of the first event.
    opened: Time,
    routing: Arc<routing::Table>,
    /// Longest pause with which the streams of each service are on time.
    max_pauses: BTreeMap<id::Service, Span>,
    targets: BTreeMap<id::Target, Target>,
    /// Names of the targets by the hash of their name and start time.
    names: HashMap<u64, id::Target>,
    /// Failure domains that are evacuated.
    evacuated: BTreeSet<id::Domain>,
    notices: Notices,
    /// Pauses of targets that other routers are to be told of, with their ends.
    pauses: Announcements<(u64, Time)>,
    limits: Limits,
    /// Requests that targets were sought for a moment ago.
    demand: Meter,
    /// The same per second as other routers are told.
    reported_demand: u32,
    /// Routers that fell silent, whose parts of limits are kept for them.
    departed: Vec<Departed>,
    /// Routers that divide the rate of cold targets.
    listing: Listing,
    /// This router has its turns at cold targets; it has none while it starts.
    is_ranked: bool,
    /// A service has a warm-up.
    has_warm_ups: bool,
    /// Keys of targets that are not listed any more, with the time of their end.
    former: HashMap<u64, Time>,
    /// Key of a target that another router reports and that is not listed here, with the times of the first and the last
    /// report.
    unlisted: Option<(u64, Time, Time)>,
    queues: BTreeMap<id::Service, Queue>,
    builds: Builds,
    origins: Origins,
    /// What routers remembered before this one started has been read, or doesn't matter any more.
    is_history_known: bool,
    /// Time as of which the list of targets is known; `None` before it was read.
    confirmed: Option<Time>,
    /// Time before which all changes of the list of targets are known for certain.
    checked: Time,
    /// Number of other routers that are listed; `None` before they are known.
    listed_routers: Option<usize>,
    /// Requests that resume streams of which other routers may still report where they began.
    awaiting: Vec<resumption::Awaiting>,
    hazards: Hazards,
    /// Answers that targets began a moment ago, the oldest first.
    beginnings: VecDeque<Beginning>,
    /// Requests that are to be tried although they are held back.
    trying: Vec<hazard::Trying>,
    attempts: HashMap<u64, Attempt>,
    budgets: BTreeMap<id::Service, Budget>,
    /// Time at which saved retries expire next.
    retries_expire: Time,
    share: Share,
    ledger: Ledger,
    typical: Typical,
    durations: Durations,
    /// Time at which requests in progress are cut because the router shuts down.
    shutdown: Option<Time>,
    accounts: HashMap<u64, Account>,
    /// Moving average of the cost of the generations that arrived.
    mean_cost: f64,
    /// Moving average of the work that they would be for engines without a limit, while others have one.
    mean_work: f64,
    topology: Topology,
    peers: BTreeMap<id::Router, Peer>,
    /// Loads last sent to the leading routers, or to the followed one.
    baseline: Baseline,
    /// Prompt parts sent to targets that other routers have not been informed of, with the router
    /// that reported them, `None` for this one.
    prefills: Vec<(Option<id::Router>, gossip::Prefill)>,
    /// Time at which a prompt part of a target was last announced to other routers, and as what.
    announced_prefills: HashMap<(u64, u64), (Time, Announced)>,
    /// Engines of some service report changes of their caches.
    has_cache_events: bool,
    shared_parts: SharedParts,
    /// Former recipients that are still to be informed that this router sends them nothing more.
    former_recipients: Vec<(Scope, Vec<id::Router>)>,
    sequence: u64,
    last_tick: Time,
    /// Time at which doubted estimates of speed are changed next.
    forget_due: Time,
    /// Time before which silence of targets may be a pause of this router.
    silence_counts_from: Time,
    /// Time at which records of unknown targets and old announcements were last dropped.
    last_cleanup: Time,
    /// Tokens that each engine processed of prompt parts that no other request shares, as far as
    /// usages tell; not applied to the estimated caches yet.
    unshared_tokens: f64,
    /// Fraction of the granted tokens that such parts make up, from this router's own requests.
    unshared_fraction: f64,
}

impl Dispatcher {
    /// Returns a dispatcher that knows no target.
    pub fn open(settings: Settings) -> Self {
        Self {
            share: Share::new(&settings.router, settings.share_window),
            is_history_known: !settings.awaits_history,
            key: hash(settings.router.as_str()),
            opened: Time(u64::MAX),
            settings,
            ledger: Ledger::default(),
            typical: Typical::default(),
            durations: Durations::default(),
            shutdown: None,
            routing: Arc::default(),
            max_pauses: BTreeMap::new(),
            targets: BTreeMap::new(),
            names: HashMap::new(),
            evacuated: BTreeSet::new(),
            notices: Notices::default(),
            pauses: Announcements::default(),
            limits: Limits::default(),
            demand: Meter::default(),
            reported_demand: 0,
            departed: Vec::new(),
            listing: Listing::default(),
            is_ranked: false,
            has_warm_ups: false,
            former: HashMap::new(),
            unlisted: None,
            queues: BTreeMap::new(),
            builds: Builds::default(),
            origins: Origins::default(),
            confirmed: None,
            checked: Time::default(),
            listed_routers: None,
            awaiting: Vec::new(),
            hazards: Hazards::default(),
            beginnings: VecDeque::new(),
            trying: Vec::new(),
            attempts: HashMap::new(),
            budgets: BTreeMap::new(),
            retries_expire: Time::default(),
            accounts: HashMap::new(),
            mean_cost: 0.0,
            mean_work: 0.0,
            topology: Topology::open(),
            peers: BTreeMap::new(),
            baseline: Baseline::default(),
            prefills: Vec::new(),
            announced_prefills: HashMap::new(),
            has_cache_events: false,
            shared_parts: SharedParts::default(),
            former_recipients: Vec::new(),
            sequence: 0,
            last_tick: Time::default(),
            forget_due: Time::default(),
            silence_counts_from: Time::default(),
            last_cleanup: Time::default(),
            unshared_tokens: 0.0,
            unshared_fraction: 0.0,
        }
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.awaiting.len()
            + self.trying.len()
            + self.queues.values().map(Queue::len).sum::<usize>()
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the tokens per second that shares are computed from; `None` if no capacity is
    /// configured.
    pub fn capacity(&self) -> Option<u64> {
        self.share.capacity().tokens_per_s()
    }

    /// Returns the estimate of the capacity; `None` while the configured rate applies.
    pub fn estimated_capacity(&self) -> Option<u64> {
        self.share.capacity().estimated()
    }

    /// Returns what each workspace asked for, was granted and lost at this router since the last call,
    /// with its part in the fleet.
    pub fn take_ledger(&mut self) -> Vec<(id::Workspace, Entry, Allocation)> {
        let entries = self.ledger.take().into_iter();
        let entries = entries.map(|(workspace, entry)| {
            let allocation = self.share.allocation(hash(workspace.as_str()));
            (workspace, entry, allocation)
        });
        entries.collect()
    }

    /// Returns the tokens that a workspace was granted at all routers, as far as these have reported them
    /// since this router started.
    pub fn granted(&self, workspace: &id::Workspace) -> u64 {
        let account = self.accounts.get(&hash(workspace.as_str()));
        account.map_or(0, |account| account.all.granted)
    }

    /// Returns the demand at this router of the workspace that most of the demand here is of.
    pub fn dominant_demand(&self) -> Option<Demand> {
        self.share.dominant()
    }

    /// Returns the tokens per second that a workspace, given by the hash of its name, requests at all
    /// routers.
    pub fn total_demand(&self, workspace: u64) -> u64 {
        self.share.requested_per_s(workspace)
    }

    /// Returns what shares are computed from.
    pub fn standing(&self, now: Time) -> Standing {
        Standing {
            capacity: self.capacity(),
            share: self.share.fair_share(),
            least_granted: self.share.least_granted(),
            pressure: self.fleet_pressure(now),
            view_age: self.view_age(now),
            routers: self.router_count(),
        }
    }

    /// Returns the router from which this one gets the loads of all others; `None` if it adds them
    /// up itself.
    pub fn followed(&self) -> Option<&id::Router> {
        self.topology.followed()
    }

    /// Returns the newest configuration version that another router reported.
    pub fn newest_version(&self) -> Version {
        let versions = self.peers.values().map(|peer| peer.version);
        versions.max().unwrap_or_default()
    }

    /// Handles an event and appends the resulting actions.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.opened = self.opened.min(now);
        self.share.advance(now);
        self.expire_retries(now);
        match event {
            Event::Arrived(request) => self.arrive(now, request, out),
            Event::ResponseStarted { number } => self.start_response(now, number, out),
            Event::StreamBegun { number, build } => self.begin_stream(now, number, &build),
            Event::Stalled { number } => self.move_stalled(now, number, out),
            Event::Returned { number, outcome } => self.move_back(now, number, outcome, out),
            Event::Ended {
                number,
                outcome,
                can_retry,
            } => self.end_attempt(now, number, outcome, can_retry, out),
            Event::Leaving { number, run } => self.record_leaving(now, number, &run, out),
            Event::Paused { number, run, asked } => {
                self.record_pause(now, number, &run, asked, out);
            }
            Event::LimitRead {
                number,
                run,
                sent,
                limit,
            } => self.record_limit(now, number, &run, (sent, limit), out),
            Event::Closed { number } => self.close(now, number, out),
            Event::Targets(targets) => self.set_targets(now, targets, out),
            Event::TargetsConfirmed { age } => {
                let confirmed = Time(now.0.saturating_sub(age.0));
                self.confirmed = self.confirmed.max(Some(confirmed));
                self.settle_warm_ups(age);
            }
            Event::TargetsChecked { asked } => {
                self.checked = self.checked.max(asked);
                self.bind_reported(now, out);
            }
            Event::Routing(table) => self.set_routing(now, table, out),
            Event::Evacuated(domains) => self.set_evacuated(now, domains, out),
            Event::Summary(summary) => self.receive(now, &summary, out),
            Event::Probed {
                run,
                sent,
                reached,
                left,
            } => self.record_probe(now, &run, sent, reached.then_some(left)),
            Event::Listed(listed) => self.set_listed(now, &listed),
            Event::Roster {
                candidates,
                leaders,
                neighbors,
                others,
            } => {
                if self.listed_routers != Some(others) {
                    self.listed_routers = Some(others);
                    self.divide_limits();
                }
                self.set_roster(now, candidates, leaders, neighbors);
            }
            Event::Shed { count } => self.record_shed(now, count),
            Event::Busy { workspace, tokens } => {
                self.ledger.record_busy(&workspace, tokens);
                self.add_demand(now, hash(workspace.as_str()), 1.0, tokens);
            }
            Event::ShuttingDown { at } => self.begin_shutdown(now, at, out),
            Event::Recalled(remembered) => self.recall(now, &remembered, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn arrive(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        self.budget(&request.service).deposit();
        self.record_arrival(&request);
        self.ledger.record_asked(&request);
        let mut grade = self.record_demand(now, &request);
        // Its workspace was granted it when it began.
        if grade != Grade::Within && self.continues_known(&request) {
            self.take_back(grade, &request);
            grade = Grade::Within;
        }
        if grade != Grade::Beyond {
            self.record_sought(now, &request);
        }
        let expires = self.queue_deadline(now, &request);
        let pending = Pending {
            request,
            tried: Vec::new(),
            unsent: 0,
            may_have_run: false,
            is_trial: false,
            expires,
        };
        if pending.request.deadline <= now {
            return self.refuse(now, &pending, Reason::Deadline, Span(0), out);
        }
        self.bind(now, pending, grade, out);
    }

    /// Sends, queues or refuses a request whose build is known, if it needs one.
    fn place(&mut self, now: Time, pending: Pending, grade: Grade, out: &mut Vec<Action>) {
        if grade != Grade::Beyond
            && let Some(until) = self.held_until(&pending)
        {
            return self.hold(now, pending, grade, until, out);
        }
        let unservable = self.unservable(now, &pending, self.ahead_of(&pending));
        // Queued requests go first: they are tried again at each event that frees capacity, so a
        // target that has room now is one that they cannot use.
        if unservable.is_none()
            && grade != Grade::Beyond
            && let Some(estimate) = self.choose(now, &pending, grade)
        {
            return self.send(now, pending, estimate, out);
        }
        if grade != Grade::Beyond && self.is_trial_due(now, &pending) {
            return self.announce_trial(now, pending, grade);
        }
        if let Some((reason, retry_after)) = unservable {
            return self.refuse(now, &pending, reason, retry_after, out);
        }
        if grade != Grade::Within {
            self.take_back(grade, &pending.request);
            let retry_after = self.share_retry_after(&pending.request);
            return self.refuse(now, &pending, Reason::Share, retry_after, out);
        }
        let service = pending.request.service.clone();
        self.queues.entry(service).or_default().push(pending);
    }

    /// Returns the number of queued requests that go before another one.
    pub(super) fn ahead_of(&self, pending: &Pending) -> usize {
        let request = &pending.request;
        let queue = self.queues.get(&request.service);
        queue.map_or(0, |queue| queue.ahead_of(request))
    }

    /// Adds a request to the demand of its workspace; returns its standing in the workspace's share.
    fn record_demand(&mut self, now: Time, request: &Request) -> Grade {
        let (Some(workspace), Some(prompt)) = (&request.workspace, &request.prompt) else {
            return Grade::Within;
        };
        let key = hash(workspace.as_str());
        let cost = prompt.cost();
        let weight = if self.mean_cost > 0.0 {
            MEAN_COST_WEIGHT
        } else {
            1.0
        };
        self.mean_cost += weight * (cost as f64 - self.mean_cost);
        self.add_demand(now, key, 1.0, cost);
        if self.settings.policy.uses_peer_reports() {
            self.share.admit(key)
        } else {
            Grade::Within
        }
    }

    fn add_demand(&mut self, now: Time, workspace: u64, requests: f64, requested: u64) {
        let tokens = Tokens {
            requested,
            granted: 0,
        };
        let account = self.accounts.entry(workspace).or_default();
        account.add_own(now, tokens);
        self.share.add_own(workspace, requests, requested);
    }

    /// Attributes requests that were shed before they were parsed to the workspaces that send requests
    /// here, in proportion to these: the one that sends most is shed most.
    fn record_shed(&mut self, now: Time, count: u64) {
        for (workspace, requests) in self.share.own_parts(count) {
            let tokens = (requests * self.mean_cost) as u64;
            self.add_demand(now, workspace, requests, tokens);
        }
    }

    /// Takes back the admission of a request that found no target.
    fn take_back(&mut self, grade: Grade, request: &Request) {
        if let Some(workspace) = &request.workspace {
            self.share.take_back(hash(workspace.as_str()), grade);
        }
    }

    fn share_retry_after(&self, request: &Request) -> Span {
        let Some(workspace) = &request.workspace else {
            return OVERLOAD_RETRY_AFTER;
        };
        let key = hash(workspace.as_str());
        let after = self.share.time_to_credit(key, self.mean_cost);
        after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    fn queue_deadline(&self, now: Time, request: &Request) -> Time {
        let left = request.deadline.since(now);
        let part = Span(left.0 / QUEUE_TIME_DIVISOR);
        now + part.min(self.settings.max_queue_time)
    }

    pub(super) fn budget(&mut self, service: &id::Service) -> &mut Budget {
        let router_count = self.fleet_size();
        let settings = &self.settings;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            Budget::part(settings.retry_permille, settings.retry_extra, router_count)
        })
    }

    /// Drops retries that were saved up in the retry window before.
    fn expire_retries(&mut self, now: Time) {
        if now >= self.retries_expire {
            self.retries_expire = now + self.settings.retry_window;
            self.budgets.values_mut().for_each(Budget::expire);
        }
    }

    fn start_response(&mut self, now: Time, number: u64, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        if attempt.response_started {
            return;
        }
        attempt.response_started = true;
        if !attempt.may_have_run {
            self.ledger.record_begun(&attempt.request);
        }
        let service = attempt.request.service.clone();
        if let Some(target) = self.targets.get_mut(&attempt.estimate.target) {
            target.record_first_event(now, attempt);
            if attempt.request.prompt.is_some() {
                target
                    .speed
                    .observe_first_event(now, now.since(attempt.sent), attempt.ahead);
            }
            target.quiet = false;
            target.record_reached(now);
            if target.health.record_success(now) {
                out.push(health_change(target));
            }
        }
        self.announce_prefilled(now, number);
        self.record_beginning(now, number);
        self.send_queued(now, &service, out);
    }

    /// Moves a stream that had started and then fell silent, if another target can continue it now.
    fn move_stalled(&mut self, now: Time, number: u64, out: &mut Vec<Action>) {
        let started = |attempt: &Attempt| attempt.response_started;
        if self.attempts.get(&number).is_some_and(started) {
            self.try_move(now, number, out);
        }
    }

    /// Puts a request that was moved back to its former target.
    fn move_back(&mut self, now: Time, number: u64, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(mut attempt) = self.attempts.remove(&number) else {
            return;
        };
        let Some(mut previous) = attempt.previous.take() else {
            self.attempts.insert(number, attempt);
            return;
        };
        self.release(now, &attempt, outcome, out);
        if let Some(target) = self.targets.get_mut(&previous.estimate.target) {
            (previous.memory, previous.ahead) = target.start(&previous.request, 0, now);
            // Its prompt was counted at the first start.
            previous.estimate.uncached_tokens = 0;
        }
        previous.unsent = attempt.unsent + usize::from(outcome == Outcome::Unsent);
        previous.tried = attempt.tried;
        previous.silent_at = Some(now);
        let service = previous.request.service.clone();
        self.attempts.insert(number, *previous);
        self.send_queued(now, &service, out);
    }

    fn end_attempt(
        &mut self,
        now: Time,
        number: u64,
        outcome: Outcome,
        can_retry: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(mut attempt) = self.attempts.remove(&number) else {
            return;
        };
        self.release(now, &attempt, outcome, out);
        let service = attempt.request.service.clone();
        let may_have_run = !matches!(outcome, Outcome::NotRun | Outcome::Unsent);
        attempt.may_have_run |= may_have_run;
        let ended = matches!(outcome, Outcome::Answered | Outcome::Cancelled);
        if !ended {
            self.retry(now, attempt, outcome, can_retry, out);
        }
        self.send_queued(now, &service, out);
    }

    /// Releases what an attempt took, and updates the target's estimates and health with its
    /// outcome.
    pub(super) fn release(
        &mut self,
        now: Time,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get_mut(&attempt.estimate.target) else {
            return;
        };
        target.finish(attempt);
        match outcome {
            Outcome::Broken | Outcome::Silent => target.doubt_warm(now, Cause::Interrupted),
            Outcome::Unsent if !attempt.is_withheld && target.accepts(now) => {
                target.doubt_warm(now, Cause::Unreachable);
            }
            _ => {}
        }
        let changed = match outcome {
            Outcome::Answered => {
                target.record_reached(now);
                let elapsed = now.since(attempt.sent);
                let lead = attempt.estimate.lead(&attempt.request);
                self.durations
                    .record(&attempt.request, elapsed.saturating_sub(lead));
                if attempt.request.prompt.is_none() {
                    target.speed.observe_service_time(now, elapsed);
                }
                target.health.record_success(now)
            }
            Outcome::Rejected => {
                target.record_reached(now);
                target.health.record_success(now)
            }
            Outcome::Cancelled | Outcome::NotRun => {
                target.health.record_inconclusive();
                false
            }
            // The gateway sends nothing to a target that no longer takes requests.
            Outcome::Unsent if attempt.is_withheld || !target.accepts(now) => {
                target.health.record_inconclusive();
                false
            }
            Outcome::Failed
            | Outcome::Unsent
            | Outcome::Broken
            | Outcome::Malformed
            | Outcome::Silent => target.health.record_failure(now),
        };
        if changed {
            out.push(health_change(target));
        }
        self.record_end(now, attempt, outcome);
    }

    fn retry(
        &mut self,
        now: Time,
        attempt: Attempt,
        outcome: Outcome,
        can_retry: bool,
        out: &mut Vec<Action>,
    ) {
        let unsent = outcome == Outcome::Unsent;
        let mut pending = Pending {
            expires: self.queue_deadline(now, &attempt.request),
            request: attempt.request,
            tried: attempt.tried,
            unsent: attempt.unsent + usize::from(unsent),
            may_have_run: attempt.may_have_run,
            is_trial: false,
        };
        let request = &mut pending.request;
        request.due = request.due.max(now + MIN_RETRY_DUE);
        let service = request.service.clone();
        let max_attempts = request.max_attempts as usize;
        let reached = pending.tried.len() - pending.unsent;
        if !can_retry || (pending.may_have_run && !pending.request.kind.is_repeatable()) {
            return self.refuse(now, &pending, Reason::Attempts, Span(0), out);
        }
        if pending.unsent >= MAX_UNSENT_PER_REQUEST || reached >= max_attempts {
            let retry_after = self.retry_after(now, &pending.request);
            return self.refuse(now, &pending, Reason::Attempts, retry_after, out);
        }
        if let Some((reason, retry_after)) = self.unservable(now, &pending, self.ahead_of(&pending))
        {
            return self.refuse(now, &pending, reason, retry_after, out);
        }
        if outcome == Outcome::Broken && self.is_suspected(&pending.request) {
            let retry_after = OVERLOAD_RETRY_AFTER;
            return self.refuse(now, &pending, Reason::Hazard, retry_after, out);
        }
        if !unsent && !self.budget(&service).try_withdraw() {
            return self.refuse(now, &pending, Reason::Budget, OVERLOAD_RETRY_AFTER, out);
        }
        match self.choose(now, &pending, Grade::Within) {
            Some(estimate) => self.send(now, pending, estimate, out),
            None => self.queues.entry(service).or_default().push(pending),
        }
    }

    fn close(&mut self, now: Time, number: u64, out: &mut Vec<Action>) {
        self.awaiting
            .retain(|awaiting| awaiting.pending.request.number != number);
        self.trying
            .retain(|trying| trying.pending.request.number != number);
        for queue in self.queues.values_mut() {
            if let Some(pending) = queue.remove(number) {
                self.ledger.record_lost(&pending.request, Loss::Left);
                return;
            }
        }
        if let Some(attempt) = self.attempts.get(&number) {
            if !attempt.response_started && !attempt.may_have_run {
                self.ledger.record_lost(&attempt.request, Loss::Left);
            }
            self.end_attempt(now, number, Outcome::Cancelled, false, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.last_tick) >= LATE_TICK {
            // What targets sent meanwhile is not read yet.
            self.silence_counts_from = now + READ_TIME;
            // Nor is it known which targets crashed.
            self.beginnings.clear();
        }
        self.last_tick = now;
        if self.share.is_observation_due(now) {
            let pressure = self.fleet_pressure(now);
            self.share.observe(now, pressure);
        }
        self.share.tick(now);
        self.forget_speeds(now);
        self.displace_unshared();
        self.drop_silent_peers(now);
        self.tick_topology(now);
        self.tick_warm_ups(now);
        if now >= self.silence_counts_from {
            self.check_silent(now, out);
        }
        self.expire_awaiting(now, out);
        self.tick_hazards(now, out);
        self.refuse_too_long(now, out);
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.send_queued(now, &service, out);
            let expired = self.queues.get_mut(&service).map(|queue| queue.expire(now));
            for pending in expired.into_iter().flatten() {
                let reason = if pending.request.deadline <= now {
                    Reason::Deadline
                } else {
                    Reason::Overload
                };
                self.refuse(now, &pending, reason, OVERLOAD_RETRY_AFTER, out);
            }
        }
        self.queues.retain(|_, queue| queue.len() > 0);
    }

    /// Brings the estimated speeds of targets that were not asked for a while nearer to the best of their service.
    fn forget_speeds(&mut self, now: Time) {
        if now < self.forget_due {
            return;
        }
        self.forget_due = now + FORGET_INTERVAL;
        let mut best: BTreeMap<id::Service, Speed> = BTreeMap::new();
        for target in self.targets.values() {
            if !target.speed.is_doubted(now) {
                let service = target.entry.service.clone();
                let best = best.entry(service).or_insert(target.speed);
                *best = best.best(target.speed);
            }
        }
        for target in self.targets.values_mut() {
            if let Some(best) = best.get(&target.entry.service)
                && target.speed.is_doubted(now)
            {
                target.speed.forget(now, best);
            }
        }
    }

    /// Returns the fraction of the engines in use where a typical generation could not be on time, as
    /// this router estimates it. Those with a limit, or cold ones, count by what they take beside the others, and are crowded
    /// while this router may send nothing there.
    fn pressure(&self, now: Time) -> f64 {
        let engines = self.targets.values();
        let engines = engines.filter(|t| t.engine.is_some() && t.accepts(now));
        let engines = engines.filter(|target| target.health.is_usable(now));
        let (mut all, mut crowded, mut limited, mut at_limit) = (0.0, 0.0, 0.0, 0.0);
        for target in engines {
            match self.limit_of(now, target) {
                Some(limit) if target.is_within_limit(now) => limited += limit,
                Some(limit) => {
                    limited += limit;
                    at_limit += limit;
                }
                None => {
                    all += 1.0;
                    crowded += f64::from(u8::from(target.is_crowded(&self.typical)));
                }
            }
        }
        if limited > 0.0 {
            // Requests per second that an engine without a limit takes.
            let rest = (f64::from(self.fleet_demand()) - limited).max(limited);
            let usual = if all > 0.0 { rest / all } else { 1.0 };
            all += limited / usual;
            crowded += at_limit / usual;
        }
        crowded / f64::max(all, 1.0)
    }

    /// Returns the same as the leading routers estimate it on average: shares must not differ between
    /// routers.
    fn fleet_pressure(&self, now: Time) -> f64 {
        let reported = |peer: &Peer| Some(f64::from(peer.crowded_permille?) / 1e3);
        if let Some(followed) = self.topology.followed() {
            let followed = self.peers.get(followed).and_then(reported);
            return followed.unwrap_or_else(|| self.pressure(now));
        }
        let others = self.peers.values();
        let others = others.filter(|peer| peer.scope == Scope::Group);
        let others = others.filter_map(reported);
        let (count, sum) = others.fold((1.0, self.pressure(now)), |(count, sum), pressure| {
            (count + 1.0, sum + pressure)
        });
        sum / count
    }

    fn refuse(
        &mut self,
        now: Time,
        pending: &Pending,
        reason: Reason,
        retry_after: Span,
        out: &mut Vec<Action>,
    ) {
        let request = &pending.request;
        self.ledger.record_lost(request, Loss::Refused(reason));
        let workspace = pending.request.workspace.as_ref();
        out.push(Action::Refuse {
            number: pending.request.number,
            refusal: Refusal {
                reason,
                retry_after,
                may_have_run: pending.may_have_run,
                allocation: workspace.map_or_else(Allocation::default, |workspace| {
                    self.share.allocation(hash(workspace.as_str()))
                }),
                view_age: self.view_age(now),
            },
        });
    }
}

fn health_change(target: &Target) -> Action {
    let (failures, answers) = target.health.counts();
    Action::HealthChanged {
        target: target.entry.name.clone(),
        suspect: target.health.is_suspect(),
        failures,
        answers,
    }
}
