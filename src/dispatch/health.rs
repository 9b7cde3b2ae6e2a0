//! Whether a target answers, judged by its answers alone: health checks of some targets lie.

use crate::unit::{Span, Time};

/// Window over which failures are counted; two halves, so that it slides.
const HALF_WINDOW: Span = Span::from_millis(1_500);
/// Fewest requests in the window that make a share of failures count.
const MIN_SAMPLES: u32 = 4;
/// Failures in a row after which a target is not used.
const MAX_STREAK: u32 = 3;
/// Share of failures in the window, in percent, from which a target is not used. Plain services of
/// the users fail up to 14 in 100 requests by themselves.
const MAX_FAILED_PERCENT: u32 = 40;
/// First time for which a target is not used; it doubles with each failed trial.
const FIRST_REST: Span = Span::from_millis(1_000);
/// Longest time for which a target is not used.
const MAX_REST: Span = Span::from_millis(8_000);

/// State of a target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Good,
    /// Not used until a time.
    Resting(Time),
    /// One request at a time tries it; true while one does.
    Trial(bool),
}

/// Whether a target answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    state: State,
    rest: Span,
    streak: u32,
    half: Time,
    /// Answers and failures of this half of the window and the one before.
    answers: [u32; 2],
    failures: [u32; 2],
    last_answer: Option<Time>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Good,
            rest: FIRST_REST,
            streak: 0,
            half: Time::default(),
            answers: [0; 2],
            failures: [0; 2],
            last_answer: None,
        }
    }
}

impl Health {
    /// Reports whether a request may be sent.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        match self.state {
            State::Good => true,
            State::Resting(until) => until <= now,
            State::Trial(busy) => !busy,
        }
    }

    /// Reports whether the target is out of use or on trial.
    pub(super) fn is_suspect(&self) -> bool {
        self.state != State::Good
    }

    /// Returns the time of the last answer.
    pub(super) fn last_answer(&self) -> Option<Time> {
        self.last_answer
    }

    /// Returns failures and answers in the window.
    pub(super) fn counts(&self) -> (u32, u32) {
        (self.failures.iter().sum(), self.answers.iter().sum())
    }

    /// Notes that a request was sent.
    pub(super) fn send(&mut self, now: Time) {
        if matches!(self.state, State::Resting(until) if until <= now)
            || self.state == State::Trial(false)
        {
            self.state = State::Trial(true);
        }
    }

    /// Notes that a request ended without telling anything of the target.
    pub(super) fn forget(&mut self) {
        if self.state == State::Trial(true) {
            self.state = State::Trial(false);
        }
    }

    /// Notes an answer; returns whether the target is used again.
    pub(super) fn answer(&mut self, now: Time) -> bool {
        self.slide(now);
        self.answers[0] += 1;
        self.streak = 0;
        self.last_answer = Some(now);
        if !matches!(self.state, State::Trial(_)) {
            return false;
        }
        self.state = State::Good;
        self.rest = FIRST_REST;
        self.failures = [0; 2];
        true
    }

    /// Notes a failure; returns whether the target is not used from now on.
    pub(super) fn fail(&mut self, now: Time) -> bool {
        self.slide(now);
        self.failures[0] += 1;
        self.streak += 1;
        match self.state {
            State::Resting(_) => return false,
            State::Trial(_) => self.rest = Span((2 * self.rest.0).min(MAX_REST.0)),
            State::Good if !self.is_failing() => return false,
            State::Good => {}
        }
        self.state = State::Resting(now + self.rest);
        true
    }

    fn is_failing(&self) -> bool {
        let (failures, answers) = self.counts();
        let total = failures + answers;
        self.streak >= MAX_STREAK
            || (total >= MIN_SAMPLES && failures * 100 >= total * MAX_FAILED_PERCENT)
    }

    fn slide(&mut self, now: Time) {
        let passed = now.since(self.half);
        if passed < HALF_WINDOW {
            return;
        }
        let kept = passed.0 < 2 * HALF_WINDOW.0;
        self.answers = [0, if kept { self.answers[0] } else { 0 }];
        self.failures = [0, if kept { self.failures[0] } else { 0 }];
        self.half = now;
    }
}
