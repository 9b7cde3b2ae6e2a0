//! Pause that a target asked for, and the return of its load afterwards.
//!
//! For loads that overrun some targets of a service: while these work off what they have, their part
//! goes to the others. Were all of it to come back at the end of a pause, with what was queued
//! meanwhile, it would overrun the target again, which looks like the cheapest one just then.

use crate::unit::{Span, Time};

/// Maximum duration of a pause. It outlasts any queue of a target; a wrong value of a target, which
/// a restart corrects, does not take the target out of use for the rest of the day.
const MAX_PAUSE: Span = Span::from_secs(300);
/// Duration of a step after a pause: several times what a refusal takes from a target to the router,
/// so that a target that is still full stops the load before it has doubled often.
const STEP: Span = Span::from_millis(50);
/// Number of steps in which the load is limited: they allow 31 requests, about as many as an engine
/// has slots.
const STEPS: u32 = 5;

/// Pause of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Pause {
    state: State,
    /// Duration last asked for.
    asked: Span,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// The load is not limited.
    #[default]
    Open,
    /// Nothing is sent before this time, and one request after it.
    Until(Time),
    /// Each step allows twice as many requests as the previous one.
    Returning {
        /// Time of the first request after the pause.
        since: Time,
        /// Requests sent since then.
        sent: u32,
    },
}

impl Pause {
    /// Begins a pause, or extends it; this router returns `delay` after its end. Returns the applied duration if
    /// that says something new: the target was not paused, or asked for another duration.
    pub(super) fn begin(&mut self, now: Time, asked: Span, delay: Span) -> Option<Span> {
        let applied = asked.min(MAX_PAUSE);
        if applied.0 == 0 {
            return None;
        }
        let is_new = !self.is_active(now) || self.asked != asked;
        self.asked = asked;
        let end = now + applied + delay;
        self.state = State::Until(match self.state {
            State::Until(until) => until.max(end),
            _ => end,
        });
        is_new.then_some(applied)
    }

    /// Has the load return in steps, since the target took fewer requests until now.
    pub(super) fn return_in_steps(&mut self, now: Time) {
        if !self.is_active(now) {
            self.state = State::Until(now);
        }
    }

    /// Reports whether the target wants no requests.
    pub(super) fn is_active(&self, now: Time) -> bool {
        self.remaining(now).0 > 0
    }

    /// Returns the time until the end of the pause.
    pub(super) fn remaining(&self, now: Time) -> Span {
        match self.state {
            State::Until(until) => until.since(now),
            _ => Span(0),
        }
    }

    /// Reports whether a further request may be sent.
    pub(super) fn allows_send(&self, now: Time) -> bool {
        match self.state {
            State::Open => true,
            State::Until(until) => until <= now,
            State::Returning { since, sent } => {
                let steps = steps(since, now);
                steps >= STEPS || sent < (2 << steps) - 1
            }
        }
    }

    /// Records that a request was sent.
    pub(super) fn record_send(&mut self, now: Time) {
        self.state = match self.state {
            State::Until(until) if until <= now => State::Returning {
                since: now,
                sent: 1,
            },
            State::Returning { since, .. } if steps(since, now) >= STEPS => State::Open,
            State::Returning { since, sent } => State::Returning {
                since,
                sent: sent + 1,
            },
            state => state,
        };
    }
}

fn steps(since: Time, now: Time) -> u32 {
    u32::try_from(now.since(since).0 / STEP.0).unwrap_or(STEPS)
}
