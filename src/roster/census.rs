//! Which of the listed routers are alive.

use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Probes without an answer after which a router counts as silent: datagrams may be lost.
const MAX_UNANSWERED: u32 = 3;
/// Time in which a probe is answered by a router that is short of processor.
const ANSWER_TIME: Span = Span::from_millis(200);
/// Time between two probes of a router that is silent.
const SILENT_INTERVAL: Span = Span::from_secs(1);
/// Time without a datagram after which a router is probed that exchanges loads with this one: five keepalives.
const PARTNER_IDLE: Span = Span::from_millis(500);
/// The same for other routers. They matter once the leaders that rank before them are gone.
const IDLE: Span = Span::from_secs(30);
/// Silence after which a router counts as lost: longer than restarts and most partitions.
const LOST_AFTER: Span = Span::from_secs(10);
/// Maximum number of probes in one round, which takes a small router some milliseconds.
const MAX_PROBES: usize = 64;

/// What is known of one router.
#[derive(Clone, Copy, Debug, Default)]
struct Life {
    /// Time of the last datagram.
    heard: Option<Time>,
    /// Time of the last probe since.
    probed: Option<Time>,
    unanswered: u32,
    silent_since: Option<Time>,
    /// Another router of its failure domain has fallen silent.
    is_doubted: bool,
}

impl Life {
    /// Returns the time at which the router is to be probed.
    fn next_probe(&self, is_partner: bool) -> Time {
        let idle = match (is_partner, self.is_doubted) {
            (_, true) => Span(0),
            (true, false) => PARTNER_IDLE,
            (false, false) => IDLE,
        };
        let due = self.heard.map_or(Time::default(), |at| at + idle);
        let interval = if self.silent_since.is_some() {
            SILENT_INTERVAL
        } else {
            ANSWER_TIME
        };
        due.max(self.probed.map_or(Time::default(), |at| at + interval))
    }
}

/// Which of the listed routers are alive: those that a datagram arrives from, at the latest when they are probed.
///
/// A router counts as alive until it has left several probes without an answer. Those that exchange loads with this one are probed
/// when they fall silent, all others rarely.
#[derive(Clone, Debug, Default)]
pub(super) struct Census {
    lives: BTreeMap<id::Router, Life>,
}

impl Census {
    /// Adds a router that was listed, or whose entry changed.
    pub(super) fn add(&mut self, router: &id::Router) {
        self.lives.insert(router.clone(), Life::default());
    }

    /// Removes a router that is no longer listed.
    pub(super) fn remove(&mut self, router: &id::Router) {
        self.lives.remove(router);
    }

    /// Records a datagram of a router; returns whether it was silent.
    pub(super) fn record_heard(&mut self, now: Time, router: &id::Router) -> bool {
        let Some(life) = self.lives.get_mut(router) else {
            return false;
        };
        let was_silent = life.silent_since.is_some();
        *life = Life {
            heard: Some(now),
            ..Life::default()
        };
        was_silent
    }

    /// Returns the routers that are to be probed now, which counts as done.
    pub(super) fn take_due(
        &mut self,
        now: Time,
        is_partner: impl Fn(&id::Router) -> bool,
    ) -> Vec<id::Router> {
        let lives = self.lives.iter_mut();
        let due = lives.filter(|(router, life)| {
            let awaits_answer = life.unanswered >= MAX_UNANSWERED && life.silent_since.is_none();
            !awaits_answer && life.next_probe(is_partner(router)) <= now
        });
        let due = due.take(MAX_PROBES).map(|(router, life)| {
            life.probed = Some(now);
            life.unanswered += 1;
            router.clone()
        });
        due.collect()
    }

    /// Returns the routers that have fallen silent since the last call.
    pub(super) fn take_silent(&mut self, now: Time) -> Vec<id::Router> {
        let lives = self.lives.iter_mut();
        let silent = lives.filter(|(_, life)| {
            let is_over = life.probed.is_some_and(|at| now.since(at) >= ANSWER_TIME);
            life.silent_since.is_none() && life.unanswered >= MAX_UNANSWERED && is_over
        });
        let silent = silent.map(|(router, life)| {
            life.silent_since = Some(now);
            router.clone()
        });
        silent.collect()
    }

    /// Has a router probed that may have fallen silent together with another one.
    pub(super) fn doubt(&mut self, router: &id::Router) {
        if let Some(life) = self.lives.get_mut(router) {
            life.is_doubted = true;
        }
    }

    /// Reports whether a router is silent.
    pub(super) fn is_silent(&self, router: &id::Router) -> bool {
        let life = self.lives.get(router);
        life.is_some_and(|life| life.silent_since.is_some())
    }

    /// Reports whether a router has been silent for so long that it is probably gone.
    pub(super) fn is_lost(&self, now: Time, router: &id::Router) -> bool {
        let life = self.lives.get(router);
        let silent_since = life.and_then(|life| life.silent_since);
        silent_since.is_some_and(|since| now.since(since) >= LOST_AFTER)
    }
}
