//! Simulated network of membership state machines that loses, delays and duplicates datagrams.
#![allow(unreachable_pub)]

use marlrun::{
    id,
    member::{self, Action, Event, Membership},
    unit::{Span, Time},
    wire::Heartbeat,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Faults that the network applies to datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Datagrams that are lost, in percent.
    pub loss: u8,
    /// Datagrams that arrive twice, in percent.
    pub duplicates: u8,
    /// Longest delay.
    pub delay: Span,
}

impl Faults {
    pub const NONE: Faults = Faults {
        seed: 1,
        loss: 0,
        duplicates: 0,
        delay: Span(1_000),
    };
}

/// Datagrams in flight: arrival time, tie-breaker, receiver and content.
type Flight = BTreeMap<(Time, u64), (u16, Heartbeat)>;

pub struct Net {
    pub now: Time,
    pub faults: Faults,
    pub routers: BTreeMap<u16, Membership>,
    /// Routers whose process is stopped; datagrams to them are delayed until they resume.
    pub paused: BTreeSet<u16>,
    /// Pairs of sender and receiver between which all datagrams are lost.
    pub blocked: BTreeSet<(u16, u16)>,
    /// Actions of the routers, except datagrams.
    pub actions: Vec<(u16, Action)>,
    /// Datagrams sent, by their sender.
    pub sent: Vec<(u16, Heartbeat)>,
    /// Whether datagrams are recorded in `sent`.
    pub record_sent: bool,
    domains: u16,
    incarnations: BTreeMap<u16, (u64, Time)>,
    in_flight: Flight,
    rng: ChaCha8Rng,
}

pub fn name(port: u16) -> id::Router {
    format!("router-{port}").parse().unwrap()
}

pub fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

impl Net {
    pub fn new(domains: u16, faults: Faults) -> Self {
        Self {
            now: Time(1_000_000),
            faults,
            routers: BTreeMap::new(),
            paused: BTreeSet::new(),
            blocked: BTreeSet::new(),
            actions: Vec::new(),
            sent: Vec::new(),
            record_sent: false,
            domains,
            incarnations: BTreeMap::new(),
            in_flight: Flight::new(),
            rng: ChaCha8Rng::seed_from_u64(faults.seed),
        }
    }

    pub fn start_all(&mut self, size: u16) {
        let seeds: Vec<_> = (1..=size).collect();
        for port in 1..=size {
            self.start(port, &seeds);
        }
    }

    /// Starts the next incarnation of a router; its clock begins at zero.
    pub fn start(&mut self, port: u16, seeds: &[u16]) {
        let incarnation = self
            .incarnations
            .get(&port)
            .map_or(1, |(incarnation, _)| incarnation + 1);
        self.incarnations.insert(port, (incarnation, self.now));
        let domain = format!("domain-{}", port % self.domains);
        let member = Membership::new(
            name(port),
            id::Incarnation(incarnation),
            domain.parse().unwrap(),
            address(port),
        );
        self.routers.insert(port, member);
        self.paused.remove(&port);
        let seeds = seeds.iter().map(|seed| address(*seed)).collect();
        self.event(port, Event::Seeds(seeds));
    }

    pub fn kill(&mut self, port: u16) {
        self.routers.remove(&port);
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            let tick = self.now + member::TICK;
            self.deliver(tick);
            self.now = tick;
            let ports: Vec<_> = self.routers.keys().copied().collect();
            for port in ports {
                self.event(port, Event::Tick);
            }
        }
    }

    /// Delivers the datagrams that arrive before `until`.
    fn deliver(&mut self, until: Time) {
        while let Some(entry) = self.in_flight.first_entry() {
            let (at, _) = *entry.key();
            if at >= until {
                return;
            }
            let (port, heartbeat) = entry.remove();
            self.now = at;
            if self.paused.contains(&port) {
                let number = self.rng.next_u64();
                self.in_flight.insert((until, number), (port, heartbeat));
            } else {
                self.event(port, Event::Heartbeat(Box::new(heartbeat)));
            }
        }
    }

    pub fn event(&mut self, port: u16, event: Event) {
        if self.paused.contains(&port) {
            return;
        }
        let started = self.incarnations.get(&port).map_or(Time(0), |(_, at)| *at);
        let Some(member) = self.routers.get_mut(&port) else {
            return;
        };
        let mut out = Vec::new();
        member.step(Time(self.now.since(started).0), event, &mut out);
        for action in out {
            match action {
                Action::Datagram { to, heartbeat } => self.send(port, to.port(), *heartbeat),
                action => self.actions.push((port, action)),
            }
        }
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.rng.next_u32() % 100 < u32::from(percent)
    }

    fn send(&mut self, from: u16, to: u16, heartbeat: Heartbeat) {
        if self.record_sent {
            self.sent.push((from, heartbeat.clone()));
        }
        let lost = self.chance(self.faults.loss);
        if lost || self.blocked.contains(&(from, to)) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplicates));
        for _ in 0..copies {
            let delay = Span(100 + self.rng.next_u64() % self.faults.delay.0);
            let key = (self.now + delay, self.rng.next_u64());
            self.in_flight.insert(key, (to, heartbeat.clone()));
        }
    }

    /// Returns the live routers and their incarnations as seen by a router.
    pub fn view_of(&self, port: u16) -> BTreeMap<u16, u64> {
        let view = self.routers[&port].view();
        view.iter()
            .map(|m| (m.address.port(), m.incarnation.0))
            .collect()
    }

    /// Checks that each router sees exactly the running routers.
    pub fn assert_converged(&self) {
        let running = |port: &u16| (*port, self.incarnations[port].0);
        let all: BTreeMap<_, _> = self.routers.keys().map(running).collect();
        for port in self.routers.keys() {
            assert_eq!(self.view_of(*port), all, "view of router {port}");
        }
    }
}
