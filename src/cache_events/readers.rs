//! Which engines this router reads, and when.

use super::{
    Action, Engine, Event, Fault,
    reading::{INTERVAL, Reading},
};
use crate::{
    catalog::Run,
    id,
    placement::{hash, mix},
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Readers of an engine: one, and a standby.
const READERS_PER_ENGINE: u32 = 2;
/// Time after the first list of routers before the first call: routers that start together read different lists
/// until then, and each would read all engines.
const START_DELAY: Span = Span::from_secs(3);
/// Calls per second of a router at most, so that a few small routers before many engines spend little on them.
const MAX_CALLS_PER_S: u64 = 16;

/// Decides which engines this router reads, and when.
#[derive(Clone, Debug)]
pub struct Readers {
    key: u64,
    domain: id::Domain,
    /// Hashes of the names of the other live routers, with their failure domains; `None` before they are known.
    others: Option<Vec<(u64, id::Domain)>>,
    engines: Vec<Engine>,
    readings: BTreeMap<id::Target, Reading>,
    /// Time of the first call at the earliest.
    start: Time,
}

impl Readers {
    /// Returns the readers of a router that knows no engine and no other router.
    pub fn open(router: &id::Router, domain: id::Domain) -> Self {
        Self {
            key: hash(router.as_str()),
            domain,
            others: None,
            engines: Vec::new(),
            readings: BTreeMap::new(),
            start: Time::default(),
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn step(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Routers(others) => {
                if self.others.is_none() {
                    self.start = now + START_DELAY;
                }
                let others = others.into_iter();
                let others = others.map(|(router, domain)| (hash(router.as_str()), domain));
                self.others = Some(others.collect());
                self.assign(now);
            }
            Event::Engines(engines) => {
                if self.engines != engines {
                    self.engines = engines;
                    self.assign(now);
                }
            }
            Event::Ended { run, result } => {
                let jitter = self.jitter(&run);
                if let Some(reading) = self.reading(&run) {
                    let report = reading.end(now, result, jitter);
                    out.extend(report.map(Action::Report));
                }
            }
            Event::Applied { run, applied } => {
                if let Some(reading) = self.reading(&run) {
                    reading.judge(now, &applied);
                }
            }
            Event::Tick => {
                let interval = self.interval();
                let readings = self.readings.values_mut();
                let calls = readings.filter_map(|reading| reading.take_call(now, interval));
                out.extend(calls.map(Action::Call));
            }
        }
    }

    /// Returns the number of engines that this router reads, not counting those for which it is the standby.
    pub fn count(&self) -> usize {
        let readings = self.readings.values();
        readings.filter(|reading| !reading.is_standby).count()
    }

    /// Returns the engines whose last call failed, with the fault.
    pub fn failing(&self) -> impl Iterator<Item = (&id::Target, Fault)> {
        let readings = self.readings.iter();
        readings.filter_map(|(target, reading)| Some((target, reading.fault?)))
    }

    fn reading(&mut self, run: &Run) -> Option<&mut Reading> {
        let reading = self.readings.get_mut(&run.target);
        reading.filter(|reading| reading.engine.run == *run)
    }

    /// Returns the time between two calls of an engine.
    fn interval(&self) -> Span {
        let spread = Span(self.readings.len() as u64 * 1_000_000 / MAX_CALLS_PER_S);
        INTERVAL.max(spread)
    }

    /// Returns a part of the interval that differs between routers and engines.
    fn jitter(&self, run: &Run) -> Span {
        let draw = mix(self.key ^ mix(hash(run.target.as_str())));
        Span(draw % INTERVAL.0)
    }

    /// Determines the engines that this router reads.
    fn assign(&mut self, now: Time) {
        let Some(others) = &self.others else {
            return;
        };
        let mut before = std::mem::take(&mut self.readings);
        let mut readings = BTreeMap::new();
        for engine in &self.engines {
            let rank = self.rank(others, engine);
            if rank >= READERS_PER_ENGINE.min(engine.max_readers) {
                continue;
            }
            let is_standby = rank > 0;
            let due = now.max(self.start) + self.jitter(&engine.run);
            let known = before.remove(&engine.run.target);
            let mut reading = known
                .filter(|known| known.engine.run == engine.run)
                .unwrap_or_else(|| Reading::new(engine.clone(), is_standby, due));
            reading.engine = engine.clone();
            reading.set_rank(is_standby, due);
            readings.insert(engine.run.target.clone(), reading);
        }
        self.readings = readings;
    }

    /// Returns the rank of this router for an engine: rendezvous hashing among the live routers of its failure domain, or
    /// among all live routers if it has none.
    fn rank(&self, others: &[(u64, id::Domain)], engine: &Engine) -> u32 {
        let key = hash(engine.run.target.as_str());
        let score = |router: u64| (mix(key ^ router), router);
        let own = score(self.key);
        let is_near = |domain: &id::Domain| *domain == engine.domain;
        let is_own = is_near(&self.domain);
        let near = others.iter().filter(|(_, domain)| is_near(domain));
        let near_before = near.clone().filter(|(router, _)| score(*router) > own);
        if is_own {
            return near_before.count() as u32;
        }
        if near.count() > 0 {
            return u32::MAX;
        }
        let before = others.iter().filter(|(router, _)| score(*router) > own);
        before.count() as u32
    }
}
