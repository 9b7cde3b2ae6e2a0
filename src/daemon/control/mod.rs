//! The control thread: owns the state machines, passes events to them, and carries out their actions.

mod claims;
mod configuration;
mod members;
mod requests;

use super::{event::Event, platform, routes::Routes, state::State};
use crate::{
    beacon, claim, clock, config, front, id, ingress, link, member, owner, probe, random,
    unit::{Span, Time},
    usage,
    wire::{Envelope, Message},
};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::sync::mpsc;

/// Time between two usage reports to the aggregators; a longer one makes the allocation among
/// workspaces less fair.
const REPORT_PERIOD: Span = Span::from_millis(500);
/// Time between two exchanges of state between the components and with peers.
const REFRESH_PERIOD: Span = Span::from_millis(100);
/// Time between two iterations of the event loop from which on the process counts as paused, and its
/// grants as stale.
const PAUSE: Span = Span::from_millis(900);
/// Minimum wait for events, so that a component whose wake-up time has passed cannot cause a busy
/// loop.
const MIN_WAIT: Span = Span::from_millis(1);
/// Maximum time that a shutdown waits until the outcomes of all claims are recorded.
const SETTLE_TIMEOUT: Span = Span::from_secs(3);

/// Components that the control thread is created with.
pub(super) struct Parts {
    pub(super) router: id::Router,
    pub(super) incarnation: id::Incarnation,
    pub(super) domain: id::Domain,
    pub(super) membership: member::Membership,
    pub(super) links: link::Links,
    pub(super) beacon: beacon::Beacon,
    pub(super) prober: probe::Prober,
    pub(super) platform: platform::Reader,
    /// `None` without a platform; calls of the claim registry then fail as unreachable.
    pub(super) worker: Option<claim::Worker>,
    /// `None` if the configuration comes from files.
    pub(super) replica: Option<config::Replica>,
    pub(super) state: Arc<State>,
    pub(super) log: slog::Logger,
}

/// State of the control thread: the state machines and what connects them.
pub(super) struct Control {
    parts: Parts,
    /// Configuration in force.
    fleet: Arc<config::Fleet>,
    /// Configuration in force, plus the targets that the platform lists.
    listed: Arc<config::Fleet>,
    /// Targets that the platform lists as leaving.
    leaving: BTreeSet<id::Target>,
    /// Owned targets that fail their health checks.
    unfit: BTreeSet<id::Target>,
    routes: Routes,
    ingress: ingress::Controller,
    owner: owner::Scheduler,
    aggregator: usage::Aggregator,
    registry: claim::Registry,
    /// Channel to the task of each unfinished request, by request number.
    orders: BTreeMap<u64, mpsc::UnboundedSender<front::Order>>,
    /// Request number of each running attempt.
    running: BTreeMap<id::Attempt, u64>,
    /// Messages to deliver to peers and to this router itself.
    mail: VecDeque<Envelope>,
    draining: bool,
    reported: Time,
    refreshed: Time,
    /// End of the last iteration of the event loop.
    last: Time,
}

impl Control {
    pub(super) fn new(parts: Parts) -> Self {
        let now = clock::now();
        let epoch = clock::unix_millis().saturating_sub(now.0 / 1_000);
        let registry = claim::Registry::open(
            parts.router.clone(),
            parts.incarnation,
            claim::Settings::default(),
            epoch,
            random::seeded(),
        );
        let settings = ingress::Settings::default();
        Self {
            routes: Routes::new(parts.domain.clone()),
            ingress: ingress::Controller::open(parts.incarnation, settings, random::seeded()),
            owner: owner::Scheduler::new(parts.router.clone(), parts.incarnation),
            aggregator: usage::Aggregator::new(),
            registry,
            fleet: Arc::default(),
            listed: Arc::default(),
            leaving: BTreeSet::new(),
            unfit: BTreeSet::new(),
            orders: BTreeMap::new(),
            running: BTreeMap::new(),
            mail: VecDeque::new(),
            draining: false,
            reported: now,
            refreshed: now,
            last: now,
            parts,
        }
    }

    /// Runs the event loop until `Event::Stop`.
    pub(super) fn run(mut self, inbox: &Receiver<Event>) {
        if self.parts.replica.is_none() {
            self.install(clock::now(), self.parts.state.fleet());
        }
        let mut stop_by = None;
        while !self.is_over(stop_by) {
            let first = inbox.recv_timeout(self.patience(clock::now()));
            let now = clock::now();
            self.notice_pause(now);
            if matches!(first, Err(RecvTimeoutError::Disconnected)) {
                return;
            }
            for event in first.into_iter().chain(inbox.try_iter()) {
                if matches!(event, Event::Stop) {
                    stop_by.get_or_insert(now + SETTLE_TIMEOUT);
                }
                self.handle(now, event);
            }
            self.tick(now);
            self.last = clock::now();
            self.parts.state.add_busy(self.last.since(now));
        }
    }

    /// Returns the time until a component must be woken, but at most the tick period.
    fn patience(&self, now: Time) -> Duration {
        let wakes = [self.owner.wake_at(), self.registry.wake_at()];
        let waits = wakes.into_iter().flatten().map(|at| at.since(now));
        let wait = waits.fold(member::TICK, Span::min);
        Duration::from(wait.max(MIN_WAIT))
    }

    /// Reports whether the shutdown is complete: the outcomes of all claims are recorded, or the time
    /// limit has passed.
    fn is_over(&self, stop_by: Option<Time>) -> bool {
        stop_by.is_some_and(|limit| self.registry.is_settled() || clock::now() >= limit)
    }

    /// Invalidates all grants if the process was paused.
    fn notice_pause(&mut self, now: Time) {
        let gap = now.since(self.last);
        if gap >= PAUSE {
            slog::warn!(self.parts.log, "process was paused"; "gap_ms" => gap.as_millis());
            self.ingress(now, ingress::Event::Paused);
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Front(event) => self.front(now, event),
            Event::Link(event) => self.link(now, event),
            Event::Heartbeat(beacon::Arrival(heartbeat)) => self.heartbeat(now, heartbeat),
            Event::Probe(event) => self.probe(now, event),
            Event::Claim(event) => self.registry(now, event),
            Event::Changes(result) => self.replica(now, config::replica::Event::Platform(result)),
            Event::Listed(vms) => self.list(now, vms),
            Event::Drain => self.drain(now),
            Event::Stop => {}
        }
        self.deliver(now);
    }

    fn tick(&mut self, now: Time) {
        self.member(now, member::Event::Tick);
        self.ingress(now, ingress::Event::Tick);
        self.owner(now, owner::Event::Tick);
        self.registry(now, claim::Event::Tick);
        if now.since(self.refreshed) >= REFRESH_PERIOD {
            self.refreshed = now;
            self.replica(now, config::replica::Event::Tick);
            self.refresh(now);
        }
        if now.since(self.reported) >= REPORT_PERIOD {
            self.reported = now;
            self.report(now);
        }
        self.deliver(now);
    }

    fn link(&mut self, now: Time, event: link::Event) {
        match event {
            link::Event::Message { from, message, .. } => self.message(now, from, message),
            link::Event::Broken { peer, cause } => {
                slog::info!(self.parts.log, "link broken"; "peer" => %peer, "cause" => %cause);
                self.member(now, member::Event::Unreachable(peer.clone()));
                self.registry(now, claim::Event::Resync { from: peer.clone() });
                self.ingress(now, ingress::Event::Resync { from: peer });
            }
        }
    }

    fn message(&mut self, now: Time, from: id::Router, message: Message) {
        match message {
            Message::Ask(ask) => self.owner(now, owner::Event::Ask { from, ask }),
            Message::Withdraw { attempt } => {
                self.owner(now, owner::Event::Withdraw { from, attempt });
            }
            Message::Held { ask, cost } => self.owner(now, owner::Event::Held { from, ask, cost }),
            Message::Progress(costs) => self.owner(now, owner::Event::Progress { from, costs }),
            Message::Done {
                attempt,
                target,
                cost,
                outcome,
            } => {
                let done = owner::Event::Done {
                    from,
                    attempt,
                    target,
                    cost,
                    outcome,
                };
                self.owner(now, done);
            }
            Message::Pull {
                service,
                target,
                free,
            } => {
                let pull = owner::Event::Pull {
                    from,
                    service,
                    target,
                    free,
                };
                self.owner(now, pull);
            }
            Message::Levels(levels) => self.owner(now, owner::Event::Levels(levels)),
            Message::Grant { attempt, target } => {
                let granted = ingress::Event::Granted {
                    from,
                    attempt,
                    target,
                };
                self.ingress(now, granted);
            }
            Message::Refuse { attempt, refusal } => {
                let refused = ingress::Event::Refused {
                    from,
                    attempt,
                    refusal,
                };
                self.ingress(now, refused);
            }
            Message::Move { attempt, target } => {
                let moved = ingress::Event::Moved {
                    from,
                    attempt,
                    target,
                };
                self.ingress(now, moved);
            }
            Message::Report(report) => self.aggregator(now, usage::Event::Report { from, report }),
            Message::Resync => self.resync(now, from),
            Message::Fetch { have } => {
                let fetch = config::replica::Event::Fetch { router: from, have };
                self.replica(now, fetch);
            }
            Message::Delta { body, .. } => {
                let delta = config::replica::Event::Delta { router: from, body };
                self.replica(now, delta);
            }
            Message::KeyClaim { attempt, key } => {
                let claim = claim::Event::KeyClaim { from, attempt, key };
                self.registry(now, claim);
            }
            Message::KeyVerdict { attempt, granted } => {
                let verdict = claim::Event::KeyVerdict {
                    from,
                    attempt,
                    granted,
                };
                self.registry(now, verdict);
            }
            Message::KeyRelease { attempt, key } => {
                self.registry(now, claim::Event::KeyRelease { attempt, key });
            }
        }
    }

    /// Tells the components that messages from a peer may have been lost.
    fn resync(&mut self, now: Time, from: id::Router) {
        self.owner(now, owner::Event::Resync { from: from.clone() });
        self.registry(now, claim::Event::Resync { from: from.clone() });
        self.ingress(now, ingress::Event::Resync { from });
    }

    fn drain(&mut self, now: Time) {
        if self.draining {
            return;
        }
        slog::info!(self.parts.log, "shutting down"; "requests" => self.ingress.len());
        self.draining = true;
        self.parts.state.drain();
        self.owner(now, owner::Event::Drain);
        self.refresh(now);
    }

    fn owner(&mut self, now: Time, event: owner::Event) {
        let mut out = Vec::new();
        self.owner.step(now, event, &mut out);
        self.mail.extend(out);
    }

    fn aggregator(&mut self, now: Time, event: usage::Event) {
        let mut out = Vec::new();
        self.aggregator.step(now, event, &mut out);
        self.mail.extend(out);
    }

    /// Delivers all outgoing messages: those to this router directly, the others over the links.
    fn deliver(&mut self, now: Time) {
        while let Some(Envelope { to, message }) = self.mail.pop_front() {
            if to == self.parts.router {
                self.message(now, to, message);
            } else if let Some(member) = self.parts.membership.view().get(&to) {
                self.parts.links.send(to, member.address, message);
            }
        }
    }
}
