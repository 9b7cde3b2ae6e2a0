//! Which routers this one exchanges loads with.
//!
//! The exchange has two levels: leading routers send each other the load of their groups, and every
//! other router follows one of them. If each router sent to all others, a small VM in a large fleet
//! would spend most of its time receiving, and traffic between failure domains would grow with the
//! square of the fleet's size.

use crate::{
    id,
    unit::{Span, Time},
};

/// Silence of the followed router after which the next candidate is followed. A router sends at
/// least one summary in a quarter of this time.
const FOLLOW_TIMEOUT: Span = Span::from_millis(400);
/// Minimum time that a router stays isolated before it follows a candidate again. Prevents flapping
/// when most summaries of that candidate are lost.
const MIN_ISOLATION: Span = Span::from_millis(1_000);

/// Role of a router in the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Leads, as the roster says.
    Leading,
    /// Follows the candidate of this index, last heard from at this time.
    Following(usize, Time),
    /// No candidate has answered since this time; acts as a leading router.
    Isolated(Time),
}

/// Which routers this one exchanges loads with.
#[derive(Clone, Debug)]
pub(super) struct Topology {
    state: State,
    /// Routers that this one may follow, in order of preference.
    candidates: Vec<id::Router>,
    /// Other leading routers.
    leaders: Vec<id::Router>,
    /// Other routers of the failure domain.
    neighbors: Vec<id::Router>,
}

impl Topology {
    /// Returns the state of a router that knows no other.
    pub(super) fn open() -> Self {
        Self {
            state: State::Leading,
            candidates: Vec::new(),
            leaders: Vec::new(),
            neighbors: Vec::new(),
        }
    }

    /// Sets the routers that this one may follow, none if it leads, the other leading routers, and
    /// those of its failure domain.
    pub(super) fn set(
        &mut self,
        now: Time,
        candidates: Vec<id::Router>,
        leaders: Vec<id::Router>,
        neighbors: Vec<id::Router>,
    ) {
        let followed = self.followed().cloned();
        self.leaders = leaders;
        self.neighbors = neighbors;
        self.candidates = candidates;
        let index = self
            .candidates
            .iter()
            .position(|c| Some(c) == followed.as_ref());
        self.state = match (self.state, index) {
            _ if self.candidates.is_empty() => State::Leading,
            (State::Following(_, last_heard), Some(index)) => State::Following(index, last_heard),
            (State::Isolated(since), _) => State::Isolated(since),
            _ => State::Following(0, now),
        };
    }

    /// Returns the router that this one follows.
    pub(super) fn followed(&self) -> Option<&id::Router> {
        match self.state {
            State::Following(index, _) => self.candidates.get(index),
            State::Leading | State::Isolated(_) => None,
        }
    }

    /// Returns the other routers that the load of a group is sent to: the leading ones. An isolated
    /// router also sends it to those of its failure domain, since others there may be isolated too.
    /// It doesn't send it to the whole fleet: that costs most when many routers are isolated because
    /// they or their leaders are overloaded, and then adds to the overload.
    pub(super) fn group_recipients(&self) -> Vec<id::Router> {
        let mut recipients = self.leaders.clone();
        if matches!(self.state, State::Isolated(_)) {
            let neighbors = self.neighbors.iter();
            recipients.extend(neighbors.filter(|r| !self.leaders.contains(r)).cloned());
        }
        recipients
    }

    /// Reports whether this router may follow others, none of which answers.
    pub(super) fn is_isolated(&self) -> bool {
        matches!(self.state, State::Isolated(_))
    }

    /// Records that the followed router was heard from.
    pub(super) fn record_followed(&mut self, now: Time) {
        if let State::Following(_, last_heard) = &mut self.state {
            *last_heard = now;
        }
    }

    /// Follows another candidate, because the followed router no longer leads.
    pub(super) fn switch(&mut self, now: Time) {
        match self.state {
            // A preferred candidate leads again.
            State::Following(1.., _) => self.state = State::Following(0, now),
            _ => self.follow_next(now),
        }
    }

    fn follow_next(&mut self, now: Time) {
        if let State::Following(index, _) = self.state {
            self.state = if index + 1 < self.candidates.len() {
                State::Following(index + 1, now)
            } else {
                State::Isolated(now)
            };
        }
    }

    /// Follows the next candidate if the followed router has been silent for too long.
    pub(super) fn tick(&mut self, now: Time) {
        if matches!(self.state, State::Following(_, last_heard) if now.since(last_heard) >= FOLLOW_TIMEOUT)
        {
            self.follow_next(now);
        }
    }

    /// Handles the summary of a leading router: an isolated router follows it again if it is a
    /// candidate.
    pub(super) fn rejoin(&mut self, now: Time, router: &id::Router) {
        let State::Isolated(since) = self.state else {
            return;
        };
        let index = self.candidates.iter().position(|c| c == router);
        if let (Some(index), true) = (index, now.since(since) >= MIN_ISOLATION) {
            self.state = State::Following(index, now);
        }
    }
}
