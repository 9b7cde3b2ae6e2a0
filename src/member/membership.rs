//! Decides which routers are alive.

use super::{Action, Event, Local, Member, View};
use crate::{
    id, platform,
    unit::{Span, Time},
    wire::Heartbeat,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    net::SocketAddr,
};

/// Time between two heartbeats to a member.
const PERIOD: Span = Span::from_millis(250);
/// Time between two heartbeats to an address that has not answered.
const PROBE: Span = Span::from_secs(1);
/// Silence after which a router counts as dead.
const SILENCE: Span = Span::from_millis(900);
/// Group of the routers in the platform's list.
const GROUP: &str = "router";

/// What is known of a run besides its member entry.
#[derive(Clone, Copy, Debug)]
struct Contact {
    incarnation: id::Incarnation,
    sequence: u64,
    heard: Time,
}

/// Membership of the fleet as one router sees it.
#[derive(Debug)]
pub struct Membership {
    router: id::Router,
    incarnation: id::Incarnation,
    sequence: u64,
    candidates: BTreeSet<SocketAddr>,
    seeds: BTreeSet<SocketAddr>,
    contacts: BTreeMap<id::Router, Contact>,
    view: View,
    beat: Time,
    probe: Time,
}

impl Membership {
    /// Returns the membership of a router that knows only itself.
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
        Self {
            router,
            incarnation,
            sequence: 0,
            candidates: BTreeSet::new(),
            seeds: BTreeSet::new(),
            contacts: BTreeMap::new(),
            view: View::of([own]),
            beat: Time(0),
            probe: Time(0),
        }
    }

    /// Returns the live routers.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Takes an event at a time; times never go back.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Candidates(vms) => self.candidates = addresses(vms),
            Event::Seeds(seeds) => self.seeds = seeds.into_iter().collect(),
            Event::Heartbeat(heartbeat) => self.hear(now, *heartbeat, out),
            Event::Local(local) => self.tell(now, local, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn own(&self) -> &Member {
        &self.view.0[&self.router]
    }

    fn tell(&mut self, now: Time, local: Local, out: &mut Vec<Action>) {
        let Some(own) = self.view.0.get_mut(&self.router) else {
            return;
        };
        let leaves = local.leaving != own.leaving;
        own.leaving = local.leaving;
        own.version = local.version;
        own.loads = local.loads;
        own.floors = local.floors;
        own.unfit = local.unfit;
        if leaves {
            out.push(Action::Changed);
            self.beat_all(now, out);
        }
    }

    fn hear(&mut self, now: Time, heartbeat: Heartbeat, out: &mut Vec<Action>) {
        if heartbeat.router == self.router {
            return;
        }
        let run = heartbeat.incarnation;
        if let Some(contact) = self.contacts.get(&heartbeat.router) {
            let newer = (run, heartbeat.sequence) > (contact.incarnation, contact.sequence);
            if !newer {
                return;
            }
        }
        let contact = Contact {
            incarnation: run,
            sequence: heartbeat.sequence,
            heard: now,
        };
        self.contacts.insert(heartbeat.router.clone(), contact);
        let router = heartbeat.router.clone();
        let member = Member::from(heartbeat);
        let placed = |m: &Member| (m.incarnation, m.domain.clone(), m.address, m.leaving);
        let after = placed(&member);
        let before = self.view.0.insert(router.clone(), member);
        if before.as_ref().map(placed) == Some(after) {
            return;
        }
        let old = before.map(|m| m.incarnation);
        if old != Some(run) {
            if let Some(incarnation) = old {
                out.push(Action::Down {
                    router: router.clone(),
                    incarnation,
                });
            }
            out.push(Action::Up {
                router: router.clone(),
                incarnation: run,
            });
            self.beat_one(&router, out);
        }
        out.push(Action::Changed);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.drop_silent(now, out);
        if now >= self.beat {
            self.beat_all(now, out);
        }
        if now >= self.probe {
            self.probe = now + PROBE;
            self.probe_all(out);
        }
    }

    fn drop_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let silent = |contact: &Contact| now.since(contact.heard) > SILENCE;
        let mut members = mem::take(&mut self.view.0);
        let before = members.len();
        members.retain(|router, member| {
            let dead = self.contacts.get(router).is_some_and(silent);
            if dead {
                out.push(Action::Down {
                    router: router.clone(),
                    incarnation: member.incarnation,
                });
            }
            !dead
        });
        if members.len() < before {
            out.push(Action::Changed);
        }
        self.view.0 = members;
    }

    fn beat_all(&mut self, now: Time, out: &mut Vec<Action>) {
        self.beat = now + PERIOD;
        let peers = self.view.0.keys().filter(|name| **name != self.router);
        let peers: Vec<_> = peers.cloned().collect();
        for peer in peers {
            self.beat_one(&peer, out);
        }
    }

    fn beat_one(&mut self, peer: &id::Router, out: &mut Vec<Action>) {
        if let Some(to) = self.view.get(peer).map(|member| member.address) {
            self.beat_to(to, out);
        }
    }

    fn beat_to(&mut self, to: SocketAddr, out: &mut Vec<Action>) {
        self.sequence += 1;
        let own = self.own();
        let heartbeat = Heartbeat {
            router: self.router.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            domain: own.domain.clone(),
            address: own.address,
            leaving: own.leaving,
            version: own.version,
            loads: own.loads.clone(),
            floors: own.floors.clone(),
            suspects: Vec::new(),
            unfit: own.unfit.clone(),
        };
        out.push(Action::Datagram {
            to,
            heartbeat: Box::new(heartbeat),
        });
    }

    fn probe_all(&mut self, out: &mut Vec<Action>) {
        let known: BTreeSet<_> = self.view.iter().map(|member| member.address).collect();
        let wanted = self.candidates.union(&self.seeds);
        let strangers: Vec<_> = wanted.filter(|a| !known.contains(a)).copied().collect();
        for to in strangers {
            self.beat_to(to, out);
        }
    }
}

fn addresses(vms: Vec<platform::Vm>) -> BTreeSet<SocketAddr> {
    let routers = vms.into_iter().filter(|vm| &*vm.group == GROUP);
    routers.map(|vm| vm.address).collect()
}
