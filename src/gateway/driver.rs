//! Driver of the dispatcher: feeds it events and delivers its actions.

use super::{
    Demands,
    decisions::{Decision, Decisions},
    record::Record,
    submission::Submission,
};
use crate::{
    catalog, clock,
    dispatch::{
        Action, Allocation, Batch, CrossingReason, Demand, Dispatcher, Entry, Event, FlowState,
        History, Limited, Probe, Reason, Request, Standing, View, Warming,
    },
    id, metric,
    unit::{Time, Version},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::{Notify, mpsc};

/// Refusals that are logged one by one between two takes of the ledger, which has the sums: a router that
/// refuses a flood of a thousand requests a second needs its processor for others.
const MAX_REFUSAL_LINES: u64 = 100;
/// Limits that can't be read which are logged between two takes of the ledger: a target names one in each
/// response.
const MAX_UNREADABLE_LINES: u64 = 5;

/// Feeds events to the dispatcher and delivers its actions to the requests that wait for them.
///
/// All tasks run on one thread, so the lock is never contended; it only makes the type `Sync`.
pub struct Driver {
    inner: Mutex<Inner>,
    /// Notified when the platform is to be asked whether the list of targets is current.
    checks: Arc<Notify>,
    log: slog::Logger,
}

struct Inner {
    dispatcher: Dispatcher,
    requests: HashMap<u64, Pending>,
    /// Refusals since the ledger was last taken.
    refusals: u64,
    /// Limits that can't be read since those of targets were last taken.
    unreadable: u64,
    /// Requests sent to other failure domains since these were last taken, and their estimated bytes, by reason.
    crossings: BTreeMap<CrossingReason, (u64, u64)>,
}

struct Pending {
    /// Request ID chosen by the caller, for the log.
    request_id: Box<str>,
    decisions: mpsc::UnboundedSender<Decision>,
}

impl Inner {
    /// Returns the identifier that the caller gave a request; `-` if the request has ended.
    fn request_id(&self, number: u64) -> &str {
        let pending = self.requests.get(&number);
        pending.map_or("-", |pending| &pending.request_id)
    }
}

impl Driver {
    /// Wraps a dispatcher; `checks` is notified when the platform is to be asked whether the list of targets is
    /// current.
    pub fn open(dispatcher: Dispatcher, checks: Arc<Notify>, log: slog::Logger) -> Self {
        Self {
            inner: Mutex::new(Inner {
                dispatcher,
                requests: HashMap::new(),
                refusals: 0,
                unreadable: 0,
                crossings: BTreeMap::new(),
            }),
            checks,
            log,
        }
    }

    /// Registers a request with the dispatcher.
    pub(super) fn submit(
        self: &Arc<Self>,
        request_id: &str,
        request: Request,
    ) -> (Submission, Decisions) {
        let (decisions, receiver) = mpsc::unbounded_channel();
        let number = request.number;
        let pending = Pending {
            request_id: request_id.into(),
            decisions,
        };
        self.lock().requests.insert(number, pending);
        self.step(Event::Arrived(request));
        let submission = Submission::new(number, self.clone());
        (submission, Decisions::new(receiver))
    }

    /// Removes a request from the dispatcher.
    pub(super) fn remove(&self, number: u64) {
        self.step(Event::Closed { number });
        self.lock().requests.remove(&number);
    }

    /// Passes an event to the dispatcher and executes the resulting actions.
    pub fn step(&self, event: Event) {
        let now = clock::now();
        let mut inner = self.lock();
        let mut actions = Vec::new();
        inner.dispatcher.step(now, event, &mut actions);
        for action in actions {
            count_crossing(&mut inner.crossings, &action);
            self.execute(&inner, action);
        }
    }

    fn execute(&self, inner: &Inner, action: Action) {
        let (number, decision) = match action {
            Action::Send {
                number,
                estimate,
                earlier,
                waited,
            } => {
                if estimate.source.is_some() {
                    metrics::counter!(metric::COPY_SOURCES).increment(1);
                }
                metrics::counter!(metric::COPIED_TOKENS).increment(estimate.copied_tokens);
                metrics::counter!(metric::UNCACHED_TOKENS).increment(estimate.uncached_tokens);
                if let Some(pending) = inner.requests.get(&number) {
                    let record = Record::Sent {
                        request: &pending.request_id,
                        estimate: &estimate,
                        earlier,
                        waited,
                    };
                    record.write(&self.log);
                }
                (number, Decision::Send(estimate))
            }
            Action::Refuse { number, refusal } => {
                if let Some(reason) = barred_label(refusal.reason) {
                    metrics::counter!(metric::REFUSED_BARRED, "reason" => reason).increment(1);
                }
                (number, Decision::Refuse(refusal))
            }
            Action::CheckTargets => return self.checks.notify_one(),
            Action::HealthChanged {
                target,
                suspect,
                failures,
                answers,
            } => {
                let record = Record::TargetHealth {
                    target: &target,
                    suspect,
                    failures,
                    answers,
                };
                return record.write(&self.log);
            }
            Action::TargetLeaving { number, target } => {
                metrics::counter!(metric::LEAVING).increment(1);
                let record = Record::TargetLeaving {
                    request: inner.request_id(number),
                    target: &target,
                };
                return record.write(&self.log);
            }
            Action::TargetCrashed { target, parts } => {
                metrics::counter!(metric::CRASHES).increment(1);
                let record = Record::TargetCrashed {
                    target: &target,
                    parts: &parts,
                };
                return record.write(&self.log);
            }
            Action::PartHeld { part, crashes } => {
                metrics::gauge!(metric::HELD_PARTS).increment(1);
                return Record::PartHeld { part, crashes }.write(&self.log);
            }
            Action::PartReleased { part } => {
                metrics::gauge!(metric::HELD_PARTS).decrement(1);
                return Record::PartReleased { part }.write(&self.log);
            }
            Action::Tried { number } => {
                let request = inner.request_id(number);
                return Record::PartTried { request }.write(&self.log);
            }
            Action::TargetPaused {
                target,
                asked,
                applied,
                request,
                router,
            } => {
                metrics::counter!(metric::PAUSES).increment(1);
                let record = Record::TargetPaused {
                    target: &target,
                    asked,
                    applied,
                    request: request.map(|number| inner.request_id(number)),
                    router: router.as_ref(),
                };
                return record.write(&self.log);
            }
            Action::TargetLimited {
                target,
                limit,
                request,
                router,
            } => {
                metrics::counter!(metric::LIMITS).increment(1);
                let record = Record::TargetLimited {
                    target: &target,
                    limit,
                    request: request.map(|number| inner.request_id(number)),
                    router: router.as_ref(),
                };
                return record.write(&self.log);
            }
        };
        if let Some(pending) = inner.requests.get(&number) {
            // The receiver is closed if the request has just ended; its `Closed` event follows.
            drop(pending.decisions.send(decision));
        }
    }

    /// Reports whether a run of a target still takes a request that is about to be written.
    pub(super) fn admits(&self, number: u64, run: &catalog::Run) -> bool {
        let mut inner = self.lock();
        inner.dispatcher.admits(clock::now(), number, run)
    }

    /// Returns the health probes that are to be sent now, and the targets that turned cold or warm since the last call.
    pub(super) fn take_warm_ups(&self) -> (Vec<Probe>, Vec<Warming>) {
        let now = clock::now();
        let mut inner = self.lock();
        let dispatcher = &mut inner.dispatcher;
        let changes = dispatcher.take_warm_ups(now);
        if !changes.is_empty() {
            metrics::gauge!(metric::COLD_TARGETS).set(dispatcher.cold_targets(now) as f64);
        }
        (dispatcher.take_probes(now), changes)
    }

    /// Returns the hash of the name of the service at which a stream began, if that is known.
    pub(super) fn origin_service(&self, stream: id::Stream) -> Option<u64> {
        self.lock().dispatcher.origin_service(stream)
    }

    /// Returns the load summaries to be sent to other routers now, and updates the gauges of
    /// requests.
    pub fn summaries(&self, draining: bool) -> Vec<Batch> {
        let mut inner = self.lock();
        let (waiting, running) = (inner.dispatcher.waiting(), inner.dispatcher.running());
        metrics::gauge!(metric::WAITING).set(waiting as f64);
        metrics::gauge!(metric::RUNNING).set(running as f64);
        if let Some(capacity) = inner.dispatcher.capacity() {
            metrics::gauge!(metric::CAPACITY).set(capacity as f64);
        }
        inner.dispatcher.summarize(clock::now(), draining)
    }

    /// Returns the estimate of the capacity; `None` while the configured rate applies.
    pub fn estimated_capacity(&self) -> Option<u64> {
        self.lock().dispatcher.estimated_capacity()
    }

    /// Returns what each workspace asked for, was granted and lost at this router since the last call,
    /// with its part in the fleet, and what shares are computed from.
    pub fn take_ledger(&self) -> (Vec<(id::Workspace, Entry, Allocation)>, Standing) {
        let mut inner = self.lock();
        let standing = inner.dispatcher.standing(clock::now());
        let refusals = std::mem::take(&mut inner.refusals);
        let entries = inner.dispatcher.take_ledger();
        drop(inner);
        let omitted = refusals.saturating_sub(MAX_REFUSAL_LINES);
        if omitted > 0 {
            Record::RefusalsOmitted { omitted }.write(&self.log);
        }
        (entries, standing)
    }

    /// Returns what was sent to each target with a limit since the last call.
    pub fn take_limited(&self) -> Vec<Limited> {
        let mut inner = self.lock();
        inner.unreadable = 0;
        inner.dispatcher.take_limited()
    }

    /// Returns the requests sent to other failure domains since the last call, and their estimated bytes, by reason.
    pub fn take_crossings(&self) -> BTreeMap<CrossingReason, (u64, u64)> {
        std::mem::take(&mut self.lock().crossings)
    }

    /// Returns the services with the state of this router's failure domain.
    pub fn flow_states(&self) -> Vec<(id::Service, FlowState)> {
        self.lock().dispatcher.flow_states()
    }

    /// Counts a limit that can't be read; returns whether it is to be logged.
    pub(super) fn count_unreadable(&self) -> bool {
        let mut inner = self.lock();
        inner.unreadable += 1;
        inner.unreadable <= MAX_UNREADABLE_LINES
    }

    /// Counts a refusal; returns whether it is to be logged by itself.
    pub(super) fn count_refusal(&self) -> bool {
        let mut inner = self.lock();
        inner.refusals += 1;
        inner.refusals <= MAX_REFUSAL_LINES
    }

    /// Returns the router from which this one gets the loads of all others.
    pub fn followed(&self) -> Option<id::Router> {
        self.lock().dispatcher.followed().cloned()
    }

    /// Returns what routers that start after all were killed have to know, if this one tells them.
    pub(super) fn history(&self, now: Time) -> Option<History> {
        self.lock().dispatcher.history(now)
    }

    /// Returns the newest configuration version reported by another router.
    pub fn newest_version(&self) -> Version {
        self.lock().dispatcher.newest_version()
    }

    /// Returns the loads of all targets: the part of this router, and that of the others.
    pub fn views(&self) -> HashMap<id::Target, (View, View)> {
        self.lock().dispatcher.views()
    }

    /// Returns the logger.
    pub(super) fn log(&self) -> &slog::Logger {
        &self.log
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request that is sent to another failure domain.
fn count_crossing(crossings: &mut BTreeMap<CrossingReason, (u64, u64)>, action: &Action) {
    let Action::Send { estimate, .. } = action else {
        return;
    };
    if let Some(crossing) = estimate.crossing {
        let reason = crossing.reason.as_str();
        metrics::counter!(metric::LEFT_DOMAIN, "reason" => reason).increment(1);
        metrics::counter!(metric::LEFT_DOMAIN_BYTES, "reason" => reason).increment(crossing.bytes);
        let (requests, bytes) = crossings.entry(crossing.reason).or_default();
        *requests += 1;
        *bytes += crossing.bytes;
    }
}

/// Returns the label of a refusal because of evacuated failure domains or allowed regions.
fn barred_label(reason: Reason) -> Option<&'static str> {
    match reason {
        Reason::Evacuated => Some("evacuated"),
        Reason::Region => Some("region"),
        _ => None,
    }
}

impl Demands for Driver {
    fn dominant(&self) -> Option<Demand> {
        self.lock().dispatcher.dominant_demand()
    }

    fn total(&self, workspace: u64) -> u64 {
        self.lock().dispatcher.total_demand(workspace)
    }
}
