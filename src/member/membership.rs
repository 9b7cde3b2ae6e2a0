//! State machine that decides which routers are alive.

use super::{
    Action, Event, Local, Member, View,
    cadence::{self, Cadence, MIN_PERIOD, WATCHED},
    contact::{Cause, Contact, Step},
    newcomer::Newcomers,
    news::News,
    ring::Ring,
    rumor::Rumors,
    stranger::Strangers,
};
use crate::{
    id, table,
    unit::{Span, Time},
    wire::{self, Echo, Heartbeat, Origin, State},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    net::SocketAddr,
};

/// Routers of the own failure domain that monitor this one; two rarely fail together.
const WATCHERS: usize = 2;
/// Addresses contacted per tick: 400/s.
const TRIES: usize = 20;
/// Gap between steps above which the process is taken to have been stopped or starved.
const STALL: Span = Span::from_millis(400);
/// Gap between steps above which routers of other failure domains may have changed as well.
const LONG_STALL: Span = Span::from_secs(2);
/// Routers of each other failure domain to which a suspicion is sent at once.
const ENVOYS: usize = 2;
/// Interval between heartbeats that list distant members to peers that are not new.
const INTRODUCED: Span = Span::from_secs(1);
/// Group of the router VMs in the platform's list.
const GROUP: &str = "router";

/// Membership of the fleet as seen by one router.
///
/// Sequence numbers of heartbeats are clock readings, so that an echo tells when the echoed
/// heartbeat was sent. The clock must be above zero.
#[derive(Debug)]
pub struct Membership {
    router: id::Router,
    incarnation: id::Incarnation,
    sequence: u64,
    last_step: Time,
    next_tick: Time,
    stale: bool,
    contacts: BTreeMap<id::Router, Contact>,
    strangers: Strangers,
    listed: BTreeSet<SocketAddr>,
    seeds: BTreeSet<SocketAddr>,
    rumors: Rumors,
    newcomers: Newcomers,
    introduced: Time,
    ring: Ring,
    view: View,
    news: News,
}

impl Membership {
    /// Creates the membership of a router that knows only itself.
    pub fn new(
        router: id::Router,
        incarnation: id::Incarnation,
        domain: id::Domain,
        address: SocketAddr,
    ) -> Self {
        let local = Local::default();
        let own = Member {
            router: router.clone(),
            incarnation,
            domain,
            address,
            leaving: local.leaving,
            version: local.version,
            loads: local.loads,
            floors: local.floors,
            unfit: local.unfit,
        };
        let view = View::of([own]);
        Self {
            router,
            incarnation,
            sequence: 0,
            last_step: Time(0),
            next_tick: Time(0),
            stale: false,
            contacts: BTreeMap::new(),
            strangers: Strangers::default(),
            listed: BTreeSet::new(),
            seeds: BTreeSet::new(),
            rumors: Rumors::default(),
            newcomers: Newcomers::default(),
            introduced: Time(0),
            ring: Ring::of(&view),
            view,
            news: News::default(),
        }
    }

    /// Returns the live routers.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Reports whether this process was stopped or starved and still waits for peers to answer the
    /// probes sent afterwards, so that the view may be out of date.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Processes an event; `now` must not be earlier than in previous calls.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.check_stall(now, out);
        match event {
            Event::Candidates(vms) => self.list(now, vms),
            Event::Seeds(seeds) => self.seed(now, seeds),
            Event::Heartbeat(heartbeat) => self.hear(now, *heartbeat, out),
            Event::Unreachable(router) => self.check(now, &router, out),
            Event::Local(local) => self.tell(now, local, out),
            Event::Tick => self.tick(now, out),
        }
    }

    /// Returns this router's own entry, which the view always contains.
    fn own(&self) -> &Member {
        let own = self.view.get(&self.router);
        own.expect("the view contains the router itself")
    }

    /// Probes live peers if this process was stopped or starved: those of the own failure domain, or
    /// all after a long gap or if there are none in the domain.
    fn check_stall(&mut self, now: Time, out: &mut Vec<Action>) {
        let gap = now.since(mem::replace(&mut self.last_step, now));
        if gap <= STALL {
            return;
        }
        let domain = self.own().domain.clone();
        let all = gap > LONG_STALL || self.ring.after(&self.router, &domain).next().is_none();
        let live = self.contacts.values().filter(|contact| contact.live);
        let doubted = live.filter(|contact| all || contact.member.domain == domain);
        let names: Vec<_> = doubted.map(|c| c.member.router.clone()).collect();
        self.stale = !names.is_empty();
        for name in names {
            self.demand(now, &name, Cause::Stall, out);
        }
    }

    fn list(&mut self, now: Time, vms: Vec<table::Vm>) {
        let routers = vms.into_iter().filter(|vm| &*vm.group == GROUP);
        self.listed = routers.map(|vm| vm.address).collect();
        self.welcome(now);
    }

    fn seed(&mut self, now: Time, seeds: Vec<SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        self.welcome(now);
    }

    /// Adds the listed and seed addresses at which no live router is known to those to contact, and
    /// forgets peers that have been dead for long.
    fn welcome(&mut self, now: Time) {
        self.contacts
            .retain(|_, contact| !contact.is_forgotten(now));
        let known: BTreeSet<_> = self.view.iter().map(|member| member.address).collect();
        let (listed, seeds) = (&self.listed, &self.seeds);
        for address in listed.union(seeds).filter(|a| !known.contains(a)) {
            self.strangers.add(*address, now);
        }
        if !listed.is_empty() {
            let wanted = |a| listed.contains(&a) || seeds.contains(&a);
            self.strangers.limit(now, wanted);
        }
    }

    fn tell(&mut self, now: Time, local: Local, out: &mut Vec<Action>) {
        let state = State {
            loads: local.loads,
            floors: local.floors,
            unfit: local.unfit,
        };
        let failing = state.unfit != self.news.state.unfit;
        self.news.update(&state);
        let leaves = local.leaving != self.own().leaving;
        self.view.put(Member {
            leaving: local.leaving,
            version: local.version,
            loads: state.loads,
            floors: state.floors,
            unfit: state.unfit,
            ..self.own().clone()
        });
        if leaves || failing {
            self.announce(now, leaves, out);
        }
        if leaves {
            out.push(Action::Changed);
        }
    }

    /// Sends new state at once: to all live peers, or to those of the own failure domain.
    fn announce(&mut self, now: Time, everywhere: bool, out: &mut Vec<Action>) {
        let domain = self.own().domain.clone();
        let live = self.contacts.values().filter(|contact| contact.live);
        let told = live.filter(|contact| everywhere || contact.member.domain == domain);
        let names: Vec<_> = told.map(|c| c.member.router.clone()).collect();
        for name in names {
            if let Some(contact) = self.contacts.get_mut(&name) {
                contact.supersede();
            }
            self.demand(now, &name, Cause::Check, out);
        }
    }

    fn hear(&mut self, now: Time, heartbeat: Heartbeat, out: &mut Vec<Action>) {
        let name = heartbeat.router.clone();
        if name == self.router {
            return;
        }
        let known = self.contacts.get(&name);
        if known.is_some_and(|contact| !contact.precedes(&heartbeat)) {
            return;
        }
        if known.is_none_or(|contact| contact.member.incarnation < heartbeat.incarnation) {
            let Some(origin) = heartbeat.origin.clone() else {
                return;
            };
            self.replace(now, &heartbeat, origin, out);
        }
        let echoed = heartbeat.heard.sequence_of(self.incarnation);
        let echoed = echoed.filter(|sequence| *sequence <= self.sequence);
        let ask = heartbeat.ask;
        let suspects = heartbeat.suspects.clone();
        let members = heartbeat.members.clone();
        let Some(contact) = self.contacts.get_mut(&name) else {
            return;
        };
        let was_live = contact.live;
        contact.hear(now, heartbeat, echoed);
        if !was_live && contact.proved(now) {
            self.admit(now, &name, out);
        } else if was_live {
            self.refresh(&name, out);
        }
        self.learn(now, members);
        self.reply(now, &name, ask, was_live, out);
        self.look_into(now, suspects, out);
    }

    /// Replaces the state of a router when its first or a later incarnation appears.
    fn replace(&mut self, now: Time, heartbeat: &Heartbeat, origin: Origin, out: &mut Vec<Action>) {
        let fresh = Contact::new(now, heartbeat, origin);
        let old = self.contacts.insert(heartbeat.router.clone(), fresh);
        if let Some(old) = old.filter(|old| old.live) {
            self.remove(now, &old, out);
        }
    }

    /// Adds a router to the view once heartbeats pass in both directions.
    fn admit(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        let Some(contact) = self.contacts.get_mut(name) else {
            return;
        };
        contact.live = true;
        contact.probe = None;
        contact.due = now;
        let member = contact.member.clone();
        self.strangers.remove(member.address);
        self.rumors.remove(name);
        self.newcomers.add(now, name);
        out.push(Action::Up {
            router: name.clone(),
            incarnation: member.incarnation,
        });
        self.view.put(member);
        self.rearrange(now, out);
    }

    /// Copies the state of a live router into the view.
    fn refresh(&mut self, name: &id::Router, out: &mut Vec<Action>) {
        let Some(contact) = self.contacts.get(name) else {
            return;
        };
        if self.view.put(contact.member.clone()) {
            out.push(Action::Changed);
        }
    }

    /// Removes an incarnation from the view.
    fn remove(&mut self, now: Time, contact: &Contact, out: &mut Vec<Action>) {
        let member = &contact.member;
        self.view.remove(&member.router);
        self.strangers.hasten(member.address, now);
        out.push(Action::Down {
            router: member.router.clone(),
            incarnation: member.incarnation,
        });
        self.rearrange(now, out);
    }

    /// Recomputes the ring, the routers that monitor this one, and the heartbeat intervals.
    fn rearrange(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ring = Ring::of(&self.view);
        let domain = self.own().domain.clone();
        let near = self.ring.after(&self.router, &domain).count();
        let cadence = Cadence::of(near, self.view.len() - 1 - near);
        let watchers = self.ring.after(&self.router, &domain).take(WATCHERS);
        let watchers: BTreeSet<_> = watchers.cloned().collect();
        for (name, contact) in &mut self.contacts {
            let period = if watchers.contains(name) {
                WATCHED
            } else if contact.member.domain == domain {
                cadence.near
            } else {
                cadence.far
            };
            let watched = contact.period == WATCHED;
            if contact.live && watched != (period == WATCHED) {
                contact.due = now;
            }
            contact.period = period;
        }
        out.push(Action::Changed);
    }

    /// Schedules contact with the listed routers whose incarnation is not known to be alive.
    fn learn(&mut self, now: Time, members: Vec<wire::Contact>) {
        for member in members {
            let known = self.view.get(&member.router).map(|m| m.incarnation);
            if member.router != self.router && known < Some(member.incarnation) {
                self.strangers.add(member.address, now);
            }
        }
    }

    /// Replies to a heartbeat that requests it, or whose sender is not live yet.
    fn reply(
        &mut self,
        now: Time,
        name: &id::Router,
        ask: bool,
        was_live: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(contact) = self.contacts.get(name) else {
            return;
        };
        let (live, address) = (contact.live, contact.member.address);
        if ask || !live {
            self.beat(now, name, !live, !was_live, out);
        }
        if !live {
            self.strangers.add(address, now + super::TICK);
        }
    }

    /// Probes the routers that a peer suspects, where the suspicion warrants it.
    fn look_into(
        &mut self,
        now: Time,
        suspects: Vec<(id::Router, id::Incarnation)>,
        out: &mut Vec<Action>,
    ) {
        for (name, incarnation) in suspects {
            let contact = self.contacts.get(&name);
            if contact.is_some_and(|contact| contact.is_doubtful(now, incarnation)) {
                self.demand(now, &name, Cause::Check, out);
            }
        }
    }

    fn check(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        if self.view.get(name).is_some() {
            self.demand(now, name, Cause::Silence, out);
        }
    }

    /// Starts a probe of a live peer.
    fn demand(&mut self, now: Time, name: &id::Router, cause: Cause, out: &mut Vec<Action>) {
        if let Some(contact) = self.contacts.get_mut(name).filter(|contact| contact.live) {
            contact.demand(now, cause);
            self.pursue(now, name, out);
        }
    }

    /// Performs the next step of an open probe.
    fn pursue(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        let Some(contact) = self.contacts.get_mut(name) else {
            return;
        };
        match contact.progress(now) {
            Step::Wait => {}
            Step::Fail => self.fail(now, name, out),
            Step::Retry => {
                let Some(probe) = &mut contact.probe else {
                    return;
                };
                probe.tries += 1;
                let alarm = probe.cause == Cause::Silence && probe.tries == 2;
                let run = contact.member.incarnation;
                self.beat(now, name, true, false, out);
                if alarm {
                    self.rumors.add(now, name, run);
                    self.alarm(now, name, out);
                }
            }
        }
    }

    /// Drops a peer that did not answer a probe.
    fn fail(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        let Some(mut contact) = self.contacts.remove(name) else {
            return;
        };
        contact.live = false;
        contact.probe = None;
        self.rumors.add(now, name, contact.member.incarnation);
        self.remove(now, &contact, out);
        let domain = contact.member.domain.clone();
        self.contacts.insert(name.clone(), contact);
        if domain == self.own().domain {
            self.take_over(now, out);
        }
    }

    /// Probes the routers that this one now has to monitor but that do not send it heartbeats at the
    /// short interval yet: they may have died together with their previous monitor.
    fn take_over(&mut self, now: Time, out: &mut Vec<Action>) {
        let domain = self.own().domain.clone();
        let watched = self.ring.before(&self.router, &domain).take(WATCHERS);
        let watched: Vec<_> = watched.cloned().collect();
        for name in watched {
            let contact = self.contacts.get(&name);
            if contact.is_some_and(|contact| contact.next > WATCHED) {
                self.demand(now, &name, Cause::Silence, out);
            }
        }
    }

    /// Sends a suspicion to the own failure domain and to a few routers of each other one.
    fn alarm(&mut self, now: Time, suspect: &id::Router, out: &mut Vec<Action>) {
        let own = self.own().domain.clone();
        if self.contacts[suspect].member.domain != own {
            return;
        }
        let mut told: Vec<_> = self.ring.after(&self.router, &own).cloned().collect();
        for domain in self.ring.domains().filter(|domain| **domain != own) {
            let envoys = self.ring.after(&self.router, domain).take(ENVOYS);
            told.extend(envoys.cloned());
        }
        for name in told.iter().filter(|name| *name != suspect) {
            self.beat(now, name, false, false, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + Span(super::TICK.0 / 2);
        self.rumors.expire(now);
        self.newcomers.expire(now);
        let soon = now + Span(super::TICK.0 / 2);
        let wanting = self.contacts.values().filter(|contact| contact.wants(soon));
        let names: Vec<_> = wanting.map(|c| c.member.router.clone()).collect();
        for name in names {
            self.attend(now, &name, out);
        }
        for address in self.strangers.due(now, TRIES) {
            self.try_stranger(now, address, out);
        }
        let stalled = |c: &Contact| c.probe.is_some_and(|p| p.cause == Cause::Stall);
        self.stale = self.stale && self.contacts.values().any(stalled);
    }

    /// Performs what is due for a live peer: a step of its probe, a new probe or a heartbeat.
    fn attend(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        let Some(contact) = self.contacts.get_mut(name).filter(|contact| contact.live) else {
            return;
        };
        let early = Span(super::TICK.0 / 2);
        let due = now + early >= contact.due;
        let near = self.view.get(&self.router).map(|own| &own.domain);
        let near = near == Some(&contact.member.domain);
        if contact.probe.is_some() {
            self.pursue(now, name, out);
        } else if contact.is_silent(now) {
            self.demand(now, name, Cause::Silence, out);
        } else if due && near {
            self.beat(now, name, false, false, out);
        } else if due {
            self.demand(now, name, Cause::Check, out);
        }
    }

    fn try_stranger(&mut self, now: Time, address: SocketAddr, out: &mut Vec<Action>) {
        if address == self.own().address {
            self.strangers.remove(address);
            return;
        }
        let mut heartbeat = self.heartbeat(now, Echo::default());
        heartbeat.ask = true;
        heartbeat.next = MIN_PERIOD;
        heartbeat.origin = Some(self.origin());
        out.push(Action::Datagram {
            to: address,
            heartbeat: Box::new(heartbeat),
        });
    }

    /// Sends a heartbeat to a known peer.
    fn beat(
        &mut self,
        now: Time,
        name: &id::Router,
        ask: bool,
        introduce: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(contact) = self.contacts.get(name) else {
            return;
        };
        let mut heartbeat = self.heartbeat(now, contact.heard());
        let sequence = heartbeat.sequence;
        heartbeat.ask = ask;
        heartbeat.suspects = self.rumors.newest();
        heartbeat.suspects.retain(|(suspect, _)| suspect != name);
        if ask || introduce {
            heartbeat.origin = Some(self.origin());
        }
        let known = now.since(self.introduced) < INTRODUCED;
        if introduce || !known {
            heartbeat.members = self.introduction(self.ring.fingers(&self.router), name);
            self.introduced = now;
        } else {
            let newcomers = self.newcomers.some(sequence);
            heartbeat.members = self.introduction(newcomers, name);
        }
        let news = &self.news;
        if let Some(contact) = self.contacts.get_mut(name) {
            heartbeat.next = if contact.live {
                contact.period
            } else {
                MIN_PERIOD
            };
            contact.due = now + cadence::early(heartbeat.next, name, sequence);
            if contact.tell(now, news.version, sequence, ask) {
                heartbeat.state = Some(news.state.clone());
            }
            out.push(Action::Datagram {
                to: contact.member.address,
                heartbeat: Box::new(heartbeat),
            });
        }
    }

    /// Returns a heartbeat with the fields that do not depend on the receiver.
    fn heartbeat(&mut self, now: Time, heard: Echo) -> Heartbeat {
        self.sequence = now.0.max(self.sequence + 1);
        let own = self.own();
        Heartbeat {
            router: self.router.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            heard,
            next: MIN_PERIOD,
            ask: false,
            leaving: own.leaving,
            version: own.version,
            origin: None,
            state: None,
            suspects: Vec::new(),
            members: Vec::new(),
        }
    }

    fn origin(&self) -> Origin {
        let own = self.own();
        Origin {
            domain: own.domain.clone(),
            address: own.address,
        }
    }

    /// Returns the addresses of the named members, without the receiver.
    fn introduction(&self, names: Vec<&id::Router>, receiver: &id::Router) -> Vec<wire::Contact> {
        let others = names.into_iter().filter(|name| *name != receiver);
        let members = others.filter_map(|name| self.view.get(name));
        let contact = |member: &Member| wire::Contact {
            router: member.router.clone(),
            incarnation: member.incarnation,
            address: member.address,
        };
        members.map(contact).collect()
    }
}
