//! The control thread: owns the state machines, passes events to them and carries out their
//! actions.

mod claims;
mod configuration;
mod evacuation;
mod members;
mod requests;

use super::{event::Event, platform, routes::Routes, state::State};
use crate::{
    beacon, claim, clock, config, front, id, ingress, link, member, owner, probe, random, table,
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
const EXCHANGE_PERIOD: Span = Span::from_millis(100);
/// Gap between two iterations of the event loop from which the process counts as paused and its
/// grants as stale.
const PAUSE_THRESHOLD: Span = Span::from_millis(900);
/// Minimum wait for events, so that a component whose wake-up time has passed cannot cause a busy
/// loop.
const MIN_WAIT: Span = Span::from_millis(1);
/// Maximum time that a shutdown waits until the outcomes of all claims are recorded.
const SETTLE_TIMEOUT: Span = Span::from_secs(3);

/// Identity and components that the control thread is created with.
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
    effective_fleet: Arc<config::Fleet>,
    /// Targets that the platform lists as leaving.
    leaving_targets: BTreeSet<id::Target>,
    /// Targets owned by this router that fail their health checks.
    unhealthy_targets: BTreeSet<id::Target>,
    /// Failure domains that are evacuated.
    evacuated: BTreeSet<id::Domain>,
    evacuations: table::evacuation::Evacuations,
    routes: Routes,
    ingress: ingress::Controller,
    owner: owner::Scheduler,
    aggregator: usage::Aggregator,
    registry: claim::Registry,
    /// Channel to the task of each unfinished request, by request number.
    command_senders: BTreeMap<u64, mpsc::UnboundedSender<front::Command>>,
    /// Request number of each running attempt.
    running_attempts: BTreeMap<id::Attempt, u64>,
    /// Messages to deliver to peers and to this router itself.
    outgoing: VecDeque<Envelope>,
    draining: bool,
    last_report: Time,
    last_exchange: Time,
    /// End of the last iteration of the event loop.
    last_iteration: Time,
}

impl Control {
    pub(super) fn new(parts: Parts) -> Self {
        let now = clock::now();
        // Unix time at `Time(0)`.
        let unix_millis = clock::unix_millis().saturating_sub(now.0 / 1_000);
        let registry = claim::Registry::open(
            parts.router.clone(),
            parts.incarnation,
            claim::Settings::default(),
            unix_millis,
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
            effective_fleet: Arc::default(),
            leaving_targets: BTreeSet::new(),
            unhealthy_targets: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            evacuations: table::evacuation::Evacuations::default(),
            command_senders: BTreeMap::new(),
            running_attempts: BTreeMap::new(),
            outgoing: VecDeque::new(),
            draining: false,
            last_report: now,
            last_exchange: now,
            last_iteration: now,
            parts,
        }
    }

    /// Runs the event loop until `Event::Stop`.
    pub(super) fn run(mut self, events: &Receiver<Event>) {
        if self.parts.replica.is_none() {
            self.install(clock::now(), self.parts.state.fleet());
        }
        let mut stop_by = None;
        while !self.is_finished(stop_by) {
            let first = events.recv_timeout(self.wait_time(clock::now()));
            let now = clock::now();
            self.check_pause(now);
            if matches!(first, Err(RecvTimeoutError::Disconnected)) {
                return;
            }
            for event in first.into_iter().chain(events.try_iter()) {
                if matches!(event, Event::Stop) {
                    stop_by.get_or_insert(now + SETTLE_TIMEOUT);
                }
                self.handle(now, event);
            }
            self.tick(now);
            self.last_iteration = clock::now();
            self.parts
                .state
                .add_busy_time(self.last_iteration.since(now));
        }
    }

    /// Returns the time until a component must be woken, but at most the tick period.
    fn wait_time(&self, now: Time) -> Duration {
        let wake_times = [self.owner.wake_at(), self.registry.wake_at()];
        let waits = wake_times.into_iter().flatten().map(|at| at.since(now));
        let wait = waits.fold(member::TICK, Span::min);
        Duration::from(wait.max(MIN_WAIT))
    }

    /// Reports whether the shutdown is complete: the outcomes of all claims are recorded, or the time
    /// limit has passed.
    fn is_finished(&self, stop_by: Option<Time>) -> bool {
        stop_by.is_some_and(|limit| self.registry.is_settled() || clock::now() >= limit)
    }

    /// Invalidates all grants if the process was paused.
    fn check_pause(&mut self, now: Time) {
        let gap = now.since(self.last_iteration);
        if gap >= PAUSE_THRESHOLD {
            slog::warn!(self.parts.log, "process was paused"; "gap_ms" => gap.as_millis());
            self.step_ingress(now, ingress::Event::Paused);
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Front(event) => self.handle_front(now, event),
            Event::Link(event) => self.handle_link(now, event),
            Event::Heartbeat(beacon::Arrival(heartbeat)) => self.handle_heartbeat(now, heartbeat),
            Event::Probe(event) => self.handle_probe(now, event),
            Event::Claim(event) => self.step_registry(now, event),
            Event::Changes(result) => {
                self.step_replica(now, config::replica::Event::Platform(result))
            }
            Event::Listed(vms) => self.handle_vms(now, vms),
            Event::Evacuations(rows) => self.handle_evacuations(now, &rows),
            Event::Drain => self.drain(now),
            Event::Stop => {}
        }
        self.deliver(now);
    }

    fn tick(&mut self, now: Time) {
        self.step_membership(now, member::Event::Tick);
        self.step_ingress(now, ingress::Event::Tick);
        self.step_owner(now, owner::Event::Tick);
        self.step_registry(now, claim::Event::Tick);
        if now.since(self.last_exchange) >= EXCHANGE_PERIOD {
            self.last_exchange = now;
            self.step_replica(now, config::replica::Event::Tick);
            self.exchange_state(now);
        }
        if now.since(self.last_report) >= REPORT_PERIOD {
            self.last_report = now;
            self.report_usage(now);
        }
        self.deliver(now);
    }

    fn handle_link(&mut self, now: Time, event: link::Event) {
        match event {
            link::Event::Message { from, message, .. } => self.handle_message(now, from, message),
            link::Event::Broken { peer, cause } => {
                slog::info!(self.parts.log, "link broken"; "peer" => %peer, "cause" => %cause);
                self.step_membership(now, member::Event::Unreachable(peer.clone()));
                self.step_registry(now, claim::Event::Resync { from: peer.clone() });
                self.step_ingress(now, ingress::Event::Resync { from: peer });
            }
        }
    }

    fn handle_message(&mut self, now: Time, from: id::Router, message: Message) {
        match message {
            Message::Ask(ask) => self.step_owner(now, owner::Event::Ask { from, ask }),
            Message::Withdraw { attempt } => {
                self.step_owner(now, owner::Event::Withdraw { from, attempt });
            }
            Message::Held { ask, cost } => {
                self.step_owner(now, owner::Event::Held { from, ask, cost })
            }
            Message::Progress(costs) => {
                self.step_owner(now, owner::Event::Progress { from, costs })
            }
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
                self.step_owner(now, done);
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
                self.step_owner(now, pull);
            }
            Message::Levels(levels) => self.step_owner(now, owner::Event::Levels(levels)),
            Message::Grant { attempt, target } => {
                let granted = ingress::Event::Granted {
                    from,
                    attempt,
                    target,
                };
                self.step_ingress(now, granted);
            }
            Message::Refuse { attempt, refusal } => {
                let refused = ingress::Event::Refused {
                    from,
                    attempt,
                    refusal,
                };
                self.step_ingress(now, refused);
            }
            Message::Move { attempt, target } => {
                let moved = ingress::Event::Moved {
                    from,
                    attempt,
                    target,
                };
                self.step_ingress(now, moved);
            }
            Message::Report(report) => {
                self.step_aggregator(now, usage::Event::Report { from, report })
            }
            Message::Resync => self.resync(now, from),
            Message::Fetch { have } => {
                let fetch = config::replica::Event::Fetch { router: from, have };
                self.step_replica(now, fetch);
            }
            Message::Delta { body, .. } => {
                let delta = config::replica::Event::Delta { router: from, body };
                self.step_replica(now, delta);
            }
            Message::KeyClaim { attempt, key } => {
                let claim = claim::Event::KeyClaim { from, attempt, key };
                self.step_registry(now, claim);
            }
            Message::KeyVerdict { attempt, granted } => {
                let verdict = claim::Event::KeyVerdict {
                    from,
                    attempt,
                    granted,
                };
                self.step_registry(now, verdict);
            }
            Message::KeyRelease { attempt, key } => {
                self.step_registry(now, claim::Event::KeyRelease { attempt, key });
            }
        }
    }

    /// Tells the components that messages from a peer may have been lost.
    fn resync(&mut self, now: Time, from: id::Router) {
        self.step_owner(now, owner::Event::Resync { from: from.clone() });
        self.step_registry(now, claim::Event::Resync { from: from.clone() });
        self.step_ingress(now, ingress::Event::Resync { from });
    }

    fn drain(&mut self, now: Time) {
        if self.draining {
            return;
        }
        slog::info!(self.parts.log, "shutting down"; "requests" => self.ingress.len());
        self.draining = true;
        self.parts.state.set_draining();
        self.step_owner(now, owner::Event::Drain);
        self.exchange_state(now);
    }

    fn step_owner(&mut self, now: Time, event: owner::Event) {
        let mut out = Vec::new();
        self.owner.step(now, event, &mut out);
        self.outgoing.extend(out);
    }

    fn step_aggregator(&mut self, now: Time, event: usage::Event) {
        let mut out = Vec::new();
        self.aggregator.step(now, event, &mut out);
        self.outgoing.extend(out);
    }

    /// Delivers all outgoing messages: those to this router directly, the others over the links.
    fn deliver(&mut self, now: Time) {
        while let Some(Envelope { to, message }) = self.outgoing.pop_front() {
            if to == self.parts.router {
                self.handle_message(now, to, message);
            } else if let Some(member) = self.parts.membership.view().get(&to) {
                self.parts.links.send(to, member.address, message);
            }
        }
    }
}
