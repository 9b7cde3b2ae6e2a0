//! The control thread: owns the decision machines, feeds them, and carries out what they decide.

use super::{event::Event, routes::Routes, state::State};
use crate::{
    beacon, claim, clock, config, front, id, ingress, link, member, metric, owner, placement,
    probe, random, tally,
    unit::{Span, Time},
    wire::{Envelope, Message},
};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::sync::mpsc;

/// Time between two reports to the tallies; the fairness gap grows with it.
const REPORT_PERIOD: Span = Span::from_millis(500);
/// Time between two updates of what peers and machines are told of each other.
const REFRESH_PERIOD: Span = Span::from_millis(100);
/// Gap between two turns after which the process was paused and its grants are stale.
const PAUSE: Span = Span::from_millis(900);

/// What the control thread is made of.
pub(super) struct Parts {
    pub(super) router: id::Router,
    pub(super) incarnation: id::Incarnation,
    pub(super) domain: id::Domain,
    pub(super) membership: member::Membership,
    pub(super) links: link::Links,
    pub(super) beacon: beacon::Beacon,
    pub(super) prober: probe::Prober,
    pub(super) state: Arc<State>,
    pub(super) log: slog::Logger,
}

/// The machines and their surroundings.
pub(super) struct Control {
    parts: Parts,
    fleet: Arc<config::Fleet>,
    routes: Routes,
    desk: ingress::Desk,
    owner: owner::Owner,
    tally: tally::Tally,
    orders: BTreeMap<u64, mpsc::UnboundedSender<front::Order>>,
    running: BTreeMap<id::Attempt, u64>,
    unfit: BTreeSet<id::Target>,
    mail: VecDeque<Envelope>,
    draining: bool,
    reported: Time,
    refreshed: Time,
    last: Time,
}

impl Control {
    pub(super) fn new(parts: Parts) -> Self {
        let settings = ingress::Settings::default();
        Self {
            routes: Routes::new(parts.domain.clone()),
            desk: ingress::Desk::open(parts.incarnation, settings, random::seeded()),
            owner: owner::Owner::new(parts.router.clone(), parts.incarnation),
            tally: tally::Tally::new(),
            fleet: Arc::default(),
            orders: BTreeMap::new(),
            running: BTreeMap::new(),
            unfit: BTreeSet::new(),
            mail: VecDeque::new(),
            draining: false,
            reported: clock::now(),
            refreshed: clock::now(),
            last: clock::now(),
            parts,
        }
    }

    /// Runs until it is told to stop.
    pub(super) fn run(mut self, inbox: &Receiver<Event>) {
        self.install(self.parts.state.fleet());
        let tick = Duration::from(member::TICK);
        loop {
            let event = inbox.recv_timeout(tick);
            let started = clock::now();
            self.notice_pause(started);
            match event {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(started, event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            while let Ok(event) = inbox.try_recv() {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.handle(started, event);
            }
            self.tick(started);
            let busy = clock::now().since(started);
            self.parts.state.add_busy(busy);
            self.last = clock::now();
        }
    }

    /// Treats all grants as stale if the process stood still.
    fn notice_pause(&mut self, now: Time) {
        let gap = now.since(self.last);
        if gap >= PAUSE {
            slog::warn!(self.parts.log, "process was paused"; "gap_ms" => gap.as_millis());
            self.desk(now, ingress::Event::Paused);
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Front(event) => self.front(now, event),
            Event::Link(event) => self.link(now, event),
            Event::Heartbeat(beacon::Arrival(heartbeat)) => {
                self.member(now, member::Event::Heartbeat(Box::new(heartbeat)));
            }
            Event::Probe(event) => self.probe(now, event),
            Event::Drain => self.drain(now),
            Event::Stop => {}
        }
        self.deliver(now);
    }

    fn tick(&mut self, now: Time) {
        self.member(now, member::Event::Tick);
        self.desk(now, ingress::Event::Tick);
        self.owner(now, owner::Event::Tick);
        if now.since(self.refreshed) >= REFRESH_PERIOD {
            self.refreshed = now;
            self.refresh(now);
        }
        if now.since(self.reported) >= REPORT_PERIOD {
            self.reported = now;
            self.report(now);
        }
        self.deliver(now);
    }

    fn front(&mut self, now: Time, event: front::Event) {
        match event {
            front::Event::Arrived {
                request,
                call,
                orders,
            } => {
                self.orders.insert(request, orders);
                let request = request_of(request, call, now);
                self.desk(now, ingress::Event::Request(request));
            }
            front::Event::Gone { request } => {
                self.orders.remove(&request);
                self.desk(now, ingress::Event::Cancelled { request });
            }
            front::Event::Sent { attempt } => self.desk(now, ingress::Event::Sent { attempt }),
            front::Event::Progress { attempt, cost } => {
                self.desk(now, ingress::Event::Progress { attempt, cost });
            }
            front::Event::Ended {
                attempt,
                cost,
                outcome,
                resume,
                answer,
            } => {
                let request = self.running.remove(&attempt);
                let answer = answer.map(|answer| answer.encode());
                let ended = ingress::Event::Ended {
                    attempt,
                    cost,
                    outcome,
                    resume,
                    answer,
                };
                self.desk(now, ended);
                if outcome == crate::wire::Outcome::Answered {
                    request.and_then(|request| self.orders.remove(&request));
                }
            }
        }
    }

    fn link(&mut self, now: Time, event: link::Event) {
        match event {
            link::Event::Message { from, message, .. } => self.message(now, from, message),
            link::Event::Broken { peer, cause } => {
                slog::info!(self.parts.log, "link broken"; "peer" => %peer, "cause" => %cause);
                self.desk(now, ingress::Event::Resync { from: peer });
            }
        }
    }

    fn probe(&mut self, now: Time, event: probe::Event) {
        match event {
            probe::Event::Load {
                target,
                running,
                waiting,
            } => {
                self.owner(
                    now,
                    owner::Event::Load {
                        target,
                        running,
                        waiting,
                    },
                );
            }
            probe::Event::Health { target, fit } => {
                slog::info!(self.parts.log, "target health"; "target" => %target, "fit" => fit);
                if fit {
                    self.unfit.remove(&target);
                    self.owner(now, owner::Event::Fit { target });
                } else {
                    self.unfit.insert(target.clone());
                    self.owner(
                        now,
                        owner::Event::Unfit {
                            target,
                            until: None,
                        },
                    );
                }
                self.refresh(now);
            }
        }
    }

    fn message(&mut self, now: Time, from: id::Router, message: Message) {
        match message {
            Message::Ask(ask) => self.owner(now, owner::Event::Ask { from, ask }),
            Message::Withdraw { attempt } => {
                self.owner(now, owner::Event::Withdraw { from, attempt })
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
                self.owner(
                    now,
                    owner::Event::Pull {
                        from,
                        service,
                        target,
                        free,
                    },
                );
            }
            Message::Levels(levels) => self.owner(now, owner::Event::Levels(levels)),
            Message::Grant { attempt, target } => {
                self.desk(
                    now,
                    ingress::Event::Granted {
                        from,
                        attempt,
                        target,
                    },
                );
            }
            Message::Refuse { attempt, refusal } => {
                self.desk(
                    now,
                    ingress::Event::Refused {
                        from,
                        attempt,
                        refusal,
                    },
                );
            }
            Message::Move { attempt, target } => {
                self.desk(
                    now,
                    ingress::Event::Moved {
                        from,
                        attempt,
                        target,
                    },
                );
            }
            Message::Report(report) => self.tally(now, tally::Event::Report { from, report }),
            Message::Resync => {
                self.owner(now, owner::Event::Resync { from: from.clone() });
                self.desk(now, ingress::Event::Resync { from });
            }
            Message::Fetch { .. } | Message::Delta { .. } => {}
            Message::KeyClaim { .. } | Message::KeyVerdict { .. } | Message::KeyRelease { .. } => {}
        }
    }

    fn member(&mut self, now: Time, event: member::Event) {
        let mut actions = Vec::new();
        self.parts.membership.step(now, event, &mut actions);
        for action in actions {
            match action {
                member::Action::Datagram { to, heartbeat } => {
                    self.parts.beacon.send(to, &heartbeat)
                }
                member::Action::Up {
                    router,
                    incarnation,
                } => {
                    slog::info!(self.parts.log, "router up"; "peer" => %router, "incarnation" => %incarnation);
                }
                member::Action::Down {
                    router,
                    incarnation,
                } => self.lose(now, router, incarnation),
                member::Action::Changed => self.replace(now),
            }
        }
    }

    /// Gives up on a router that died or is cut off.
    fn lose(&mut self, now: Time, router: id::Router, incarnation: id::Incarnation) {
        slog::warn!(self.parts.log, "router down"; "peer" => %router, "incarnation" => %incarnation);
        self.parts.links.forget(router.clone());
        let lost = owner::Event::RouterLost {
            router: router.clone(),
            incarnation: Some(incarnation),
        };
        self.owner(now, lost);
        self.tally(now, tally::Event::RouterLost(router.clone()));
        self.replace(now);
        self.desk(now, ingress::Event::RouterLost { router });
    }

    /// Finds owners anew after a change of members or configuration.
    fn replace(&mut self, now: Time) {
        let view = self.parts.membership.view();
        self.routes.rebuild(self.fleet.clone(), view);
        metrics::gauge!(metric::MEMBERS).set(view.len() as f64);
        let owned = self.routes.owned(&self.parts.router);
        let targets: Vec<_> = owned
            .iter()
            .filter_map(|name| self.routes.target(name).cloned())
            .collect();
        self.parts.prober.watch(&targets, &self.fleet);
        self.owner(now, owner::Event::Owned(owned));
        self.refresh(now);
        self.desk(now, ingress::Event::Placement);
    }

    /// Tells machines and peers of each other's state.
    fn refresh(&mut self, now: Time) {
        let owned: BTreeSet<_> = self.routes.owned(&self.parts.router).into_iter().collect();
        self.unfit.retain(|target| owned.contains(target));
        let local = member::Local {
            leaving: self.draining,
            version: self.fleet.version,
            loads: self.owner.loads(),
            floors: self.owner.floors(),
            unfit: self.unfit.iter().cloned().collect(),
        };
        self.member(now, member::Event::Local(local));
        let view = self.parts.membership.view();
        self.routes.refresh(view, self.owner.loads(), &self.unfit);
        let others = view
            .iter()
            .filter(|member| member.router != self.parts.router);
        let peers: Vec<_> = others
            .map(|member| owner::Peer {
                router: member.router.clone(),
                loads: member.loads.clone(),
                floors: member.floors.clone(),
            })
            .collect();
        let floors = lowest(
            peers
                .iter()
                .flat_map(|peer| &peer.floors)
                .chain(&self.owner.floors()),
        );
        self.owner(now, owner::Event::Peers(peers));
        self.tally(now, tally::Event::Floors(floors));
        self.parts.state.publish(
            self.parts.membership.view(),
            self.desk.len(),
            self.running.len(),
        );
    }

    fn report(&mut self, now: Time) {
        let view = self.parts.membership.view();
        let tally_of = |workspace: &id::Workspace| placement::tally_of(workspace, view).cloned();
        let reports = self.owner.reports(now, &tally_of);
        self.mail.extend(reports);
        self.tally(now, tally::Event::Tick);
    }

    /// Puts a configuration in force.
    fn install(&mut self, fleet: Arc<config::Fleet>) {
        let now = clock::now();
        slog::info!(self.parts.log, "configuration in force"; "version" => %fleet.version);
        metrics::gauge!(metric::VERSION).set(fleet.version.0 as f64);
        self.fleet = fleet.clone();
        self.parts.state.install(fleet.clone());
        self.owner(now, owner::Event::Config(fleet.clone()));
        self.tally(now, tally::Event::Config(fleet));
        self.replace(now);
        self.deliver(now);
    }

    fn drain(&mut self, now: Time) {
        slog::info!(self.parts.log, "shutting down"; "requests" => self.desk.len());
        self.draining = true;
        self.parts.state.drain();
        self.desk(now, ingress::Event::Drain);
        self.owner(now, owner::Event::Drain);
        self.refresh(now);
    }

    fn owner(&mut self, now: Time, event: owner::Event) {
        let mut out = Vec::new();
        self.owner.step(now, event, &mut out);
        self.mail.extend(out);
    }

    fn tally(&mut self, now: Time, event: tally::Event) {
        let mut out = Vec::new();
        self.tally.step(now, event, &mut out);
        self.mail.extend(out);
    }

    fn desk(&mut self, now: Time, event: ingress::Event) {
        let mut actions = Vec::new();
        self.desk.step(now, event, &self.routes, &mut actions);
        for action in actions {
            self.act(now, action);
        }
    }

    fn act(&mut self, now: Time, action: ingress::Action) {
        match action {
            ingress::Action::Send(envelope) => self.mail.push_back(envelope),
            ingress::Action::Claim { attempt, .. } => {
                let verdict = claim::Verdict::Unknown;
                self.desk(now, ingress::Event::Claimed { attempt, verdict });
            }
            ingress::Action::Settle { .. } => {}
            ingress::Action::Start {
                request,
                attempt,
                target,
                resume,
                not_after,
                ..
            } => {
                let Some(target) = self.routes.target(&target).cloned() else {
                    return;
                };
                self.running.insert(attempt, request);
                self.order(
                    request,
                    front::Order::Start {
                        attempt,
                        target,
                        expires: not_after,
                        resume,
                    },
                );
            }
            ingress::Action::Abort { attempt } => {
                if let Some(request) = self.running.get(&attempt) {
                    self.order(*request, front::Order::Abort { attempt });
                }
            }
            ingress::Action::Reject { request, rejection } => {
                self.order(request, front::Order::Reject(rejection));
                self.orders.remove(&request);
            }
        }
    }

    fn order(&self, request: u64, order: front::Order) {
        if let Some(orders) = self.orders.get(&request) {
            // The task may have ended with its caller; its `Gone` is on the way then.
            let _ = orders.send(order);
        }
    }

    /// Hands messages to this router's own machines and to the links until none is left.
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

fn request_of(number: u64, call: front::Call, now: Time) -> ingress::Request {
    ingress::Request {
        number,
        workspace: call.workspace,
        service: call.service,
        class: call.class,
        estimate: call.estimate,
        idempotent: call.idempotent,
        key: call.key.map(claim::Key::Caller),
        deadline: now + call.timeout,
    }
}

/// Returns the lowest floor of each service.
fn lowest<'a>(floors: impl Iterator<Item = &'a (id::Service, u64)>) -> Vec<(id::Service, u64)> {
    let mut lowest = BTreeMap::new();
    for (service, floor) in floors {
        let known = lowest.entry(service.clone()).or_insert(*floor);
        *known = (*known).min(*floor);
    }
    lowest.into_iter().collect()
}
