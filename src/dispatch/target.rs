//! A target with its load and the estimates about it.

use super::{Offer, Request, View, cache::Cache, health::Health, pace::Pace, run::Run};
use crate::{
    catalog,
    placement::hash,
    routing::Engine,
    unit::{Span, Time},
};
use std::collections::HashMap;

/// Percentage of an engine's memory that requests may fill. An engine that runs out of memory
/// preempts its newest request and processes the prompt again, and estimates of output are rough.
const MEMORY_PERCENT: u64 = 90;
/// Requests that may wait inside a plain target, per slot. One hides the gap between two requests;
/// more would only wait there instead of here.
const PLAIN_QUEUE_PER_SLOT: u32 = 1;
/// Weight of processing a prompt against waiting in the score: prefill delays every request that
/// comes after.
const READ_WEIGHT: u64 = 12;
/// Penalty for each request in flight at the target: each one slows down the tokens of the others.
const RUNNING_PRICE: Span = Span(700);
/// Penalty for a target in another failure domain: two more hops, and traffic between domains.
const DOMAIN_PRICE: Span = Span(500);

/// A target with its load and the estimates about it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) entry: catalog::Target,
    /// Hash of the name and run, by which routers refer to the target.
    pub(super) key: u64,
    pub(super) engine: Option<Engine>,
    /// Maximum number of requests in flight from this router: its part of the target's connections.
    pub(super) own_limit: u32,
    pub(super) own: View,
    pub(super) others: View,
    pub(super) pace: Pace,
    pub(super) health: Health,
    pub(super) cache: Cache,
    /// Prompt parts of this router's requests in flight there, each with its number of users and
    /// its tokens.
    in_use: HashMap<u64, (u32, u32)>,
    /// Last time at which another router reported the target as failing.
    pub(super) suspected: Option<Time>,
}

/// Condition that a target must meet to be sent a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Room {
    /// The first event comes by the due time.
    OnTime,
    /// The first event comes by the due time with this multiple of the wait added as a margin.
    Spare(f64),
    /// The wait is at most this. For requests that cannot be on time.
    Wait(Span),
}

impl Target {
    pub(super) fn new(entry: catalog::Target, engine: Option<Engine>, own_limit: u32) -> Self {
        let key = key_of(&entry);
        Self {
            entry,
            key,
            engine,
            own_limit,
            own: View::default(),
            others: View::default(),
            pace: Pace::default(),
            health: Health::default(),
            cache: Cache::default(),
            in_use: HashMap::new(),
            suspected: None,
        }
    }

    fn memory(&self) -> u64 {
        self.engine.map_or(0, |engine| engine.memory_tokens)
    }

    fn slots(&self) -> u32 {
        let declared = self.engine.map_or(self.entry.slots, |engine| engine.slots);
        declared.max(1)
    }

    /// Returns the estimate for a request, or `None` if there is no slot or memory for it.
    pub(super) fn offer(&self, request: &Request, near: bool, view_age: Span) -> Option<Offer> {
        let view = self.own.plus(self.others);
        if self.own.running >= self.own_limit {
            return None;
        }
        let mut offer = Offer {
            target: self.entry.name.clone(),
            view,
            view_age,
            unread: 0,
            wait: Span(0),
            first: Span(0),
            price: if near { 0 } else { DOMAIN_PRICE.0 },
        };
        let (Some(engine), Some(_)) = (&self.engine, &request.prompt) else {
            let slots = self.slots();
            if view.running >= slots * (1 + PLAIN_QUEUE_PER_SLOT) {
                return None;
            }
            let rounds = u64::from(view.running / slots);
            offer.wait = Span(rounds * self.pace.work().0);
            offer.first = Span(offer.wait.0 + self.pace.work().0);
            offer.price += offer.first.0 + u64::from(view.running) * RUNNING_PRICE.0;
            return Some(offer);
        };
        offer.unread = self.unread(request);
        let need = self.need(request);
        let full = view.memory + need > engine.memory_tokens * MEMORY_PERCENT / 100;
        if view.running >= engine.slots || (full && view.running > 0) {
            return None;
        }
        offer.wait = self.pace.read(view.backlog);
        let read = self.pace.read(offer.unread);
        offer.first = Span(self.pace.base().0 + offer.wait.0 + read.0);
        offer.price +=
            offer.wait.0 + READ_WEIGHT * read.0 + u64::from(view.running) * RUNNING_PRICE.0;
        Some(offer)
    }

    /// Returns the prompt tokens of a request that are probably not cached here.
    pub(super) fn unread(&self, request: &Request) -> u64 {
        let Some(prompt) = &request.prompt else {
            return 0;
        };
        let kept = self.cache.kept(&prompt.parts, self.memory());
        u64::from(prompt.tokens).saturating_sub(kept)
    }

    /// Reports whether an estimate meets a condition.
    pub(super) fn has_room(&self, offer: &Offer, request: &Request, room: Room, now: Time) -> bool {
        match room {
            Room::OnTime => now + offer.first <= request.due,
            Room::Spare(times) => {
                let longer = Span((offer.wait.0 as f64 * times) as u64);
                now + offer.first + longer <= request.due
            }
            Room::Wait(most) => offer.wait <= most,
        }
    }

    /// Returns the memory that a request takes here, in tokens, without the parts that other
    /// requests in flight use.
    fn need(&self, request: &Request) -> u64 {
        let Some(prompt) = &request.prompt else {
            return 0;
        };
        let used = prompt
            .parts
            .iter()
            .take_while(|part| self.in_use.contains_key(&part.id));
        let used: u64 = used.map(|part| u64::from(part.tokens)).sum();
        u64::from(prompt.tokens).saturating_sub(used) + u64::from(prompt.output)
    }

    /// Adds a request; returns the memory that it adds, and the prompt tokens that the target has
    /// to process before its first event.
    pub(super) fn begin(&mut self, request: &Request, unread: u64, now: Time) -> (u64, u64) {
        self.health.send(now);
        self.own.running += 1;
        let Some(prompt) = &request.prompt else {
            return (0, 0);
        };
        let need = self.need(request);
        let memory = self.memory();
        for part in &prompt.parts {
            self.in_use.entry(part.id).or_insert((0, part.tokens)).0 += 1;
            self.cache.touch(part.id, part.tokens, memory);
        }
        self.own.memory += need;
        self.own.backlog += unread;
        (need, self.own.plus(self.others).backlog)
    }

    /// Records that the prompt of a request was processed.
    pub(super) fn read(&mut self, run: &Run) {
        self.own.backlog = self.own.backlog.saturating_sub(run.offer.unread);
    }

    /// Releases what a request took.
    pub(super) fn end(&mut self, run: &Run) {
        self.own.running = self.own.running.saturating_sub(1);
        self.own.memory = self.own.memory.saturating_sub(run.memory);
        if !run.begun {
            self.read(run);
        }
        for part in run.request.prompt.iter().flat_map(|prompt| &prompt.parts) {
            if let Some(users) = self.in_use.get_mut(&part.id) {
                users.0 -= 1;
                if users.0 == 0 {
                    self.in_use.remove(&part.id);
                }
            }
        }
    }
}

/// Returns the hash by which routers refer to a run of a target.
pub(super) fn key_of(entry: &catalog::Target) -> u64 {
    hash(entry.name.as_str()) ^ entry.started_at_ms.rotate_left(32)
}
