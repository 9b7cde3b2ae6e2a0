//! State machine that decides which routers are alive.

use super::{
    Action, Event, Local, Member, View,
    advertisement::Advertisement,
    discovery::Discovery,
    interval::{self, Intervals, MIN_INTERVAL, MONITOR_INTERVAL},
    join::Joins,
    peer::{Cause, Peer, Step},
    ring::Ring,
    suspicion::Suspicions,
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
const MONITORS: usize = 2;
/// Addresses contacted per tick: 400/s.
const ADDRESSES_PER_TICK: usize = 20;
/// Gap between steps above which the process is taken to have been stopped or starved.
const STALL_GAP: Span = Span::from_millis(400);
/// Gap between steps above which routers of other failure domains may have changed as well.
const LONG_STALL_GAP: Span = Span::from_secs(2);
/// Routers of each other failure domain to which a suspicion is sent at once.
const SUSPICION_FANOUT: usize = 2;
/// Minimum interval between heartbeats that list the finger table (see `Ring::fingers`), except to
/// new peers.
const FINGERS_INTERVAL: Span = Span::from_secs(1);
/// Group of the router VMs in the platform's list.
const ROUTER_GROUP: &str = "router";

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
    peers: BTreeMap<id::Router, Peer>,
    discovery: Discovery,
    /// Router addresses in the platform's list.
    listed: BTreeSet<SocketAddr>,
    seeds: BTreeSet<SocketAddr>,
    suspicions: Suspicions,
    joins: Joins,
    /// Time of the last heartbeat that listed the finger table.
    fingers_sent: Time,
    ring: Ring,
    view: View,
    /// Local state as last advertised to peers.
    advertised: Advertisement,
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
            peers: BTreeMap::new(),
            discovery: Discovery::default(),
            listed: BTreeSet::new(),
            seeds: BTreeSet::new(),
            suspicions: Suspicions::default(),
            joins: Joins::default(),
            fingers_sent: Time(0),
            ring: Ring::of(&view),
            view,
            advertised: Advertisement::default(),
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
            Event::Listed(vms) => self.update_listed(now, vms),
            Event::Seeds(seeds) => self.update_seeds(now, seeds),
            Event::Heartbeat(heartbeat) => self.receive(now, *heartbeat, out),
            Event::Unreachable(router) => self.check_link(now, &router, out),
            Event::Local(local) => self.update_local(now, local, out),
            Event::Tick => self.tick(now, out),
        }
    }

    /// Returns this router's own entry, which the view always contains.
    fn own(&self) -> &Member {
        let own = self.view.get(&self.router);
        own.expect("the view contains the router itself")
    }

    /// Probes live peers if this process was stopped or starved: those of the own failure domain,
    /// or all after a long gap or if there are none in the domain.
    fn check_stall(&mut self, now: Time, out: &mut Vec<Action>) {
        let gap = now.since(mem::replace(&mut self.last_step, now));
        if gap <= STALL_GAP {
            return;
        }
        let domain = self.own().domain.clone();
        let all =
            gap > LONG_STALL_GAP || self.ring.successors(&self.router, &domain).next().is_none();
        let live = self.peers.values().filter(|peer| peer.live);
        let affected = live.filter(|peer| all || peer.member.domain == domain);
        let names: Vec<_> = affected.map(|peer| peer.member.router.clone()).collect();
        self.stale = !names.is_empty();
        for name in names {
            self.probe(now, &name, Cause::Stall, out);
        }
    }

    fn update_listed(&mut self, now: Time, vms: Vec<table::Vm>) {
        let routers = vms.into_iter().filter(|vm| &*vm.group == ROUTER_GROUP);
        self.listed = routers.map(|vm| vm.address).collect();
        self.update_discovery(now);
    }

    fn update_seeds(&mut self, now: Time, seeds: Vec<SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
        self.update_discovery(now);
    }

    /// Schedules contact with the listed and seed addresses at which no live router is known, and
    /// forgets peers that have long been dead.
    fn update_discovery(&mut self, now: Time) {
        self.peers.retain(|_, peer| !peer.is_expired(now));
        let known: BTreeSet<_> = self.view.iter().map(|member| member.address).collect();
        let (listed, seeds) = (&self.listed, &self.seeds);
        for address in listed.union(seeds).filter(|a| !known.contains(a)) {
            self.discovery.add(*address, now);
        }
        if !listed.is_empty() {
            let wanted = |a| listed.contains(&a) || seeds.contains(&a);
            self.discovery.set_expiry(now, wanted);
        }
    }

    fn update_local(&mut self, now: Time, local: Local, out: &mut Vec<Action>) {
        let state = State {
            loads: local.loads,
            floors: local.floors,
            unfit: local.unfit,
        };
        let unfit_changed = state.unfit != self.advertised.state.unfit;
        self.advertised.update(&state);
        let leaving_changed = local.leaving != self.own().leaving;
        self.view.insert(Member {
            leaving: local.leaving,
            version: local.version,
            loads: state.loads,
            floors: state.floors,
            unfit: state.unfit,
            ..self.own().clone()
        });
        if leaving_changed || unfit_changed {
            self.broadcast_state(now, leaving_changed, out);
        }
        if leaving_changed {
            out.push(Action::Changed);
        }
    }

    /// Sends new state at once: to all live peers, or to those of the own failure domain.
    fn broadcast_state(&mut self, now: Time, everywhere: bool, out: &mut Vec<Action>) {
        let domain = self.own().domain.clone();
        let live = self.peers.values().filter(|peer| peer.live);
        let receivers = live.filter(|peer| everywhere || peer.member.domain == domain);
        let names: Vec<_> = receivers.map(|peer| peer.member.router.clone()).collect();
        for name in names {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.cancel_check();
            }
            self.probe(now, &name, Cause::Check, out);
        }
    }

    fn receive(&mut self, now: Time, heartbeat: Heartbeat, out: &mut Vec<Action>) {
        let name = heartbeat.router.clone();
        if name == self.router {
            return;
        }
        let known = self.peers.get(&name);
        if known.is_some_and(|peer| !peer.is_older_than(&heartbeat)) {
            return;
        }
        if known.is_none_or(|peer| peer.member.incarnation < heartbeat.incarnation) {
            let Some(origin) = heartbeat.origin.clone() else {
                return;
            };
            self.replace_peer(now, &heartbeat, origin, out);
        }
        let echoed = heartbeat.heard.sequence_of(self.incarnation);
        let echoed = echoed.filter(|sequence| *sequence <= self.sequence);
        let ask = heartbeat.ask;
        let suspects = heartbeat.suspects.clone();
        let members = heartbeat.members.clone();
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        let was_live = peer.live;
        peer.receive(now, heartbeat, echoed);
        if !was_live && peer.has_recent_echo(now) {
            self.mark_up(now, &name, out);
        } else if was_live {
            self.refresh_view(&name, out);
        }
        self.discover(now, members);
        self.reply(now, &name, ask, was_live, out);
        self.check_suspects(now, suspects, out);
    }

    /// Replaces the state of a router when its first or a later incarnation appears.
    fn replace_peer(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        origin: Origin,
        out: &mut Vec<Action>,
    ) {
        let new = Peer::new(now, heartbeat, origin);
        let old = self.peers.insert(heartbeat.router.clone(), new);
        if let Some(old) = old.filter(|old| old.live) {
            self.mark_down(now, &old, out);
        }
    }

    /// Adds a router to the view once heartbeats pass in both directions.
    fn mark_up(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.live = true;
        peer.probe = None;
        peer.due = now;
        let member = peer.member.clone();
        self.discovery.remove(member.address);
        self.suspicions.remove(name);
        self.joins.add(now, name);
        out.push(Action::Up {
            router: name.clone(),
            incarnation: member.incarnation,
        });
        self.view.insert(member);
        self.rebuild_ring(now, out);
    }

    /// Copies the state of a live router into the view.
    fn refresh_view(&mut self, name: &id::Router, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(name) else {
            return;
        };
        if self.view.insert(peer.member.clone()) {
            out.push(Action::Changed);
        }
    }

    /// Removes an incarnation from the view.
    fn mark_down(&mut self, now: Time, peer: &Peer, out: &mut Vec<Action>) {
        let member = &peer.member;
        self.view.remove(&member.router);
        self.discovery.restart(member.address, now);
        out.push(Action::Down {
            router: member.router.clone(),
            incarnation: member.incarnation,
        });
        self.rebuild_ring(now, out);
    }

    /// Recomputes the ring, the routers that monitor this one, and the heartbeat intervals.
    fn rebuild_ring(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ring = Ring::of(&self.view);
        let domain = self.own().domain.clone();
        let in_domain = self.ring.successors(&self.router, &domain).count();
        let intervals = Intervals::of(in_domain, self.view.len() - 1 - in_domain);
        let monitors = self.ring.successors(&self.router, &domain).take(MONITORS);
        let monitors: BTreeSet<_> = monitors.cloned().collect();
        for (name, peer) in &mut self.peers {
            let interval = if monitors.contains(name) {
                MONITOR_INTERVAL
            } else if peer.member.domain == domain {
                intervals.in_domain
            } else {
                intervals.cross_domain
            };
            let was_monitor = peer.interval == MONITOR_INTERVAL;
            if peer.live && was_monitor != (interval == MONITOR_INTERVAL) {
                peer.due = now;
            }
            peer.interval = interval;
        }
        out.push(Action::Changed);
    }

    /// Schedules contact with the members that a peer named, except incarnations known to be alive.
    fn discover(&mut self, now: Time, members: Vec<wire::Contact>) {
        for member in members {
            let known = self.view.get(&member.router).map(|m| m.incarnation);
            if member.router != self.router && known < Some(member.incarnation) {
                self.discovery.add(member.address, now);
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
        let Some(peer) = self.peers.get(name) else {
            return;
        };
        let (live, address) = (peer.live, peer.member.address);
        if ask || !live {
            self.send_heartbeat(now, name, !live, !was_live, out);
        }
        if !live {
            self.discovery.add(address, now + super::TICK);
        }
    }

    /// Probes the routers that a peer suspects, where the suspicion warrants it.
    fn check_suspects(
        &mut self,
        now: Time,
        suspects: Vec<(id::Router, id::Incarnation)>,
        out: &mut Vec<Action>,
    ) {
        for (name, incarnation) in suspects {
            let peer = self.peers.get(&name);
            if peer.is_some_and(|peer| peer.warrants_probe(now, incarnation)) {
                self.probe(now, &name, Cause::Check, out);
            }
        }
    }

    /// Probes a live peer whose link broke.
    fn check_link(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        if self.view.get(name).is_some() {
            self.probe(now, name, Cause::Silence, out);
        }
    }

    /// Starts a probe of a live peer.
    fn probe(&mut self, now: Time, name: &id::Router, cause: Cause, out: &mut Vec<Action>) {
        if let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.live) {
            peer.start_probe(now, cause);
            self.advance_probe(now, name, out);
        }
    }

    /// Performs the next step of an open probe.
    fn advance_probe(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        match peer.probe_step(now) {
            Step::Wait => {}
            Step::Fail => self.drop_peer(now, name, out),
            Step::Retry => {
                let Some(probe) = &mut peer.probe else {
                    return;
                };
                probe.attempts += 1;
                let suspect = probe.cause == Cause::Silence && probe.attempts == 2;
                let incarnation = peer.member.incarnation;
                self.send_heartbeat(now, name, true, false, out);
                if suspect {
                    self.suspicions.add(now, name, incarnation);
                    self.broadcast_suspicion(now, name, out);
                }
            }
        }
    }

    /// Drops a peer that did not answer a probe.
    fn drop_peer(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        let Some(mut peer) = self.peers.remove(name) else {
            return;
        };
        peer.live = false;
        peer.probe = None;
        self.suspicions.add(now, name, peer.member.incarnation);
        self.mark_down(now, &peer, out);
        let domain = peer.member.domain.clone();
        self.peers.insert(name.clone(), peer);
        if domain == self.own().domain {
            self.probe_monitored(now, out);
        }
    }

    /// Probes the routers that this one now has to monitor but that do not send it heartbeats at
    /// the short interval yet: they may have died together with their previous monitor.
    fn probe_monitored(&mut self, now: Time, out: &mut Vec<Action>) {
        let domain = self.own().domain.clone();
        let monitored = self.ring.predecessors(&self.router, &domain).take(MONITORS);
        let monitored: Vec<_> = monitored.cloned().collect();
        for name in monitored {
            let peer = self.peers.get(&name);
            if peer.is_some_and(|peer| peer.next_interval > MONITOR_INTERVAL) {
                self.probe(now, &name, Cause::Silence, out);
            }
        }
    }

    /// Sends a suspicion to the own failure domain and to a few routers of each other one.
    fn broadcast_suspicion(&mut self, now: Time, suspect: &id::Router, out: &mut Vec<Action>) {
        let own_domain = self.own().domain.clone();
        if self.peers[suspect].member.domain != own_domain {
            return;
        }
        let mut receivers: Vec<_> = self
            .ring
            .successors(&self.router, &own_domain)
            .cloned()
            .collect();
        for domain in self.ring.domains().filter(|domain| **domain != own_domain) {
            let remote = self
                .ring
                .successors(&self.router, domain)
                .take(SUSPICION_FANOUT);
            receivers.extend(remote.cloned());
        }
        for name in receivers.iter().filter(|name| *name != suspect) {
            self.send_heartbeat(now, name, false, false, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + Span(super::TICK.0 / 2);
        self.suspicions.expire(now);
        self.joins.expire(now);
        let soon = now + Span(super::TICK.0 / 2);
        let due = self
            .peers
            .values()
            .filter(|peer| peer.needs_attention(soon));
        let names: Vec<_> = due.map(|peer| peer.member.router.clone()).collect();
        for name in names {
            self.service_peer(now, &name, out);
        }
        for address in self.discovery.take_due(now, ADDRESSES_PER_TICK) {
            self.contact_address(now, address, out);
        }
        let stalled = |peer: &Peer| peer.probe.is_some_and(|p| p.cause == Cause::Stall);
        self.stale = self.stale && self.peers.values().any(stalled);
    }

    /// Performs what is due for a live peer: a step of its probe, a new probe or a heartbeat.
    fn service_peer(&mut self, now: Time, name: &id::Router, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.live) else {
            return;
        };
        let margin = Span(super::TICK.0 / 2);
        let due = now + margin >= peer.due;
        let own_domain = self.view.get(&self.router).map(|own| &own.domain);
        let in_domain = own_domain == Some(&peer.member.domain);
        if peer.probe.is_some() {
            self.advance_probe(now, name, out);
        } else if peer.is_silent(now) {
            self.probe(now, name, Cause::Silence, out);
        } else if due && in_domain {
            self.send_heartbeat(now, name, false, false, out);
        } else if due {
            self.probe(now, name, Cause::Check, out);
        }
    }

    /// Sends a heartbeat that requests a reply to an address, unless it is this router's own.
    fn contact_address(&mut self, now: Time, address: SocketAddr, out: &mut Vec<Action>) {
        if address == self.own().address {
            self.discovery.remove(address);
            return;
        }
        let mut heartbeat = self.new_heartbeat(now, Echo::default());
        heartbeat.ask = true;
        heartbeat.next = MIN_INTERVAL;
        heartbeat.origin = Some(self.origin());
        out.push(Action::Datagram {
            to: address,
            heartbeat: Box::new(heartbeat),
        });
    }

    /// Sends a heartbeat to a known peer.
    fn send_heartbeat(
        &mut self,
        now: Time,
        name: &id::Router,
        ask: bool,
        new_peer: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get(name) else {
            return;
        };
        let mut heartbeat = self.new_heartbeat(now, peer.last_echo());
        let sequence = heartbeat.sequence;
        heartbeat.ask = ask;
        heartbeat.suspects = self.suspicions.newest();
        heartbeat.suspects.retain(|(suspect, _)| suspect != name);
        if ask || new_peer {
            heartbeat.origin = Some(self.origin());
        }
        let recent = now.since(self.fingers_sent) < FINGERS_INTERVAL;
        if new_peer || !recent {
            heartbeat.members = self.contacts_of(self.ring.fingers(&self.router), name);
            self.fingers_sent = now;
        } else {
            let joins = self.joins.select(sequence);
            heartbeat.members = self.contacts_of(joins, name);
        }
        let advertised = &self.advertised;
        if let Some(peer) = self.peers.get_mut(name) {
            heartbeat.next = if peer.live {
                peer.interval
            } else {
                MIN_INTERVAL
            };
            peer.due = now + interval::with_jitter(heartbeat.next, name, sequence);
            if peer.needs_state(now, advertised.version, sequence, ask) {
                heartbeat.state = Some(advertised.state.clone());
            }
            out.push(Action::Datagram {
                to: peer.member.address,
                heartbeat: Box::new(heartbeat),
            });
        }
    }

    /// Returns a heartbeat with the fields that do not depend on the receiver.
    fn new_heartbeat(&mut self, now: Time, heard: Echo) -> Heartbeat {
        self.sequence = now.0.max(self.sequence + 1);
        let own = self.own();
        Heartbeat {
            router: self.router.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            heard,
            next: MIN_INTERVAL,
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

    /// Returns how to contact the named members, without the receiver of the heartbeat.
    fn contacts_of(&self, names: Vec<&id::Router>, receiver: &id::Router) -> Vec<wire::Contact> {
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
