//! Whom a router exchanges loads with.
//!
//! Answers fleets of many small VMs: if each router told all others, most of what a small one does
//! would be to listen, and bytes between failure domains would grow with the square of the fleet.
//! Routers that lead exchange the loads of their groups; the others follow one of them.

use crate::{
    id,
    unit::{Span, Time},
};

/// Silence of a followed router after which the next one is followed; it tells something in a
/// quarter of that.
const SILENCE: Span = Span::from_millis(400);
/// Least time for which a router that nobody answered leads itself, so that it doesn't follow and
/// leave by turns one that hears it badly.
const ALONE: Span = Span::from_millis(1_000);

/// What a router does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Leads, as the others expect it to.
    Leading,
    /// Follows the candidate of this index, last heard at a time.
    Following(usize, Time),
    /// No candidate answered since a time; acts as if it led.
    Alone(Time),
}

/// Whom a router exchanges loads with.
#[derive(Clone, Debug)]
pub(super) struct Circle {
    state: State,
    /// Routers that may be followed, best first.
    candidates: Vec<id::Router>,
    /// Other routers that lead.
    leaders: Vec<id::Router>,
}

impl Circle {
    /// Returns the circle of a router that knows no other.
    pub(super) fn open() -> Self {
        Self {
            state: State::Leading,
            candidates: Vec::new(),
            leaders: Vec::new(),
        }
    }

    /// Takes the routers that may be followed, none if this router leads, and those that lead.
    pub(super) fn set(&mut self, now: Time, candidates: Vec<id::Router>, leaders: Vec<id::Router>) {
        let followed = self.followed().cloned();
        self.leaders = leaders;
        self.candidates = candidates;
        let kept = self
            .candidates
            .iter()
            .position(|c| Some(c) == followed.as_ref());
        self.state = match (self.state, kept) {
            _ if self.candidates.is_empty() => State::Leading,
            (State::Following(_, heard), Some(index)) => State::Following(index, heard),
            (State::Alone(since), _) => State::Alone(since),
            _ => State::Following(0, now),
        };
    }

    /// Returns the router that is followed.
    pub(super) fn followed(&self) -> Option<&id::Router> {
        match self.state {
            State::Following(index, _) => self.candidates.get(index),
            State::Leading | State::Alone(_) => None,
        }
    }

    /// Reports whether nobody who could be followed answers.
    pub(super) fn is_alone(&self) -> bool {
        matches!(self.state, State::Alone(_))
    }

    /// Returns the other routers that lead.
    pub(super) fn leaders(&self) -> &[id::Router] {
        &self.leaders
    }

    /// Notes that the followed router was heard.
    pub(super) fn hear_followed(&mut self, now: Time) {
        if let State::Following(_, heard) = &mut self.state {
            *heard = now;
        }
    }

    /// Follows another candidate, since the followed router leads no longer.
    pub(super) fn leave(&mut self, now: Time) {
        match self.state {
            // One of the better ones leads again.
            State::Following(1.., _) => self.state = State::Following(0, now),
            _ => self.next(now),
        }
    }

    fn next(&mut self, now: Time) {
        if let State::Following(index, _) = self.state {
            self.state = if index + 1 < self.candidates.len() {
                State::Following(index + 1, now)
            } else {
                State::Alone(now)
            };
        }
    }

    /// Follows the next candidate if the followed router fell silent.
    pub(super) fn tick(&mut self, now: Time) {
        if matches!(self.state, State::Following(_, heard) if now.since(heard) >= SILENCE) {
            self.next(now);
        }
    }

    /// Notes that a router told the load of a group: one that may be followed is back.
    pub(super) fn hear_group(&mut self, now: Time, router: &id::Router) {
        let State::Alone(since) = self.state else {
            return;
        };
        let index = self.candidates.iter().position(|c| c == router);
        if let (Some(index), true) = (index, now.since(since) >= ALONE) {
            self.state = State::Following(index, now);
        }
    }
}
