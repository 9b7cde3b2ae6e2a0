//! Passive health checks: targets are judged by the outcome of requests only, because some pass
//! active health checks while they fail requests.

use crate::unit::{Span, Time};

/// Half of the sliding window in which successes and failures are counted.
const HALF_WINDOW: Span = Span::from_millis(1_500);
/// Minimum number of requests in the window for the failure rate to count.
const MIN_SAMPLES: u32 = 4;
/// Consecutive failures after which a target is ejected.
const MAX_STREAK: u32 = 3;
/// Failure rate in the window, in percent, at which a target is ejected. Plain services fail up to
/// 14 of 100 requests in normal operation.
const MAX_FAILED_PERCENT: u32 = 40;
/// Duration of the first ejection; it doubles with each failed probe.
const FIRST_REST: Span = Span::from_millis(1_000);
/// Maximum duration of an ejection.
const MAX_REST: Span = Span::from_millis(8_000);

/// State of a target's health, as in a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Good,
    /// Ejected until this time.
    Resting(Time),
    /// Probed by one request at a time; true while one is running.
    Trial(bool),
}

/// Passive health check of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    state: State,
    rest: Span,
    streak: u32,
    half: Time,
    /// Successes in the current half of the window and in the previous one.
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

    /// Reports whether the target is ejected or probed.
    pub(super) fn is_suspect(&self) -> bool {
        self.state != State::Good
    }

    /// Returns the time of the last success.
    pub(super) fn last_answer(&self) -> Option<Time> {
        self.last_answer
    }

    /// Returns the failures and successes in the window.
    pub(super) fn counts(&self) -> (u32, u32) {
        (self.failures.iter().sum(), self.answers.iter().sum())
    }

    /// Records that a request was sent.
    pub(super) fn send(&mut self, now: Time) {
        if matches!(self.state, State::Resting(until) if until <= now)
            || self.state == State::Trial(false)
        {
            self.state = State::Trial(true);
        }
    }

    /// Records that a request ended with an outcome that says nothing about the target.
    pub(super) fn forget(&mut self) {
        if self.state == State::Trial(true) {
            self.state = State::Trial(false);
        }
    }

    /// Records a success; returns whether it puts the target back in use.
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

    /// Records a failure; returns whether it ejects the target.
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
