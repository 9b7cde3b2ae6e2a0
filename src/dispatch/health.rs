//! Passive health checks: targets are judged by the outcome of requests only, because some pass
//! active health checks while they fail requests.

use crate::unit::{Span, Time};

/// Half of the sliding window in which successes and failures are counted.
const HALF_WINDOW: Span = Span::from_millis(1_500);
/// Minimum number of requests in the window for the failure rate to count.
const MIN_SAMPLES: u32 = 4;
/// Consecutive failures after which a target is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Failure rate in the window, in percent, at which a target is ejected. Plain services fail up to
/// 14 of 100 requests in normal operation.
const MAX_FAILED_PERCENT: u32 = 40;
/// Duration of the first ejection; it doubles with each failure while the target is probed.
const MIN_EJECTION: Span = Span::from_millis(1_000);
/// Maximum duration of an ejection.
const MAX_EJECTION: Span = Span::from_millis(8_000);

/// State of a target's health, as in a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    /// Ejected until this time.
    Ejected(Time),
    /// The ejection is over and one request at a time probes the target; true while one is in
    /// flight.
    Probing(bool),
}

/// Passive health check of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    state: State,
    ejection: Span,
    consecutive_failures: u32,
    half_start: Time,
    /// Successes in the current half of the window and in the previous one.
    successes: [u32; 2],
    failures: [u32; 2],
    last_success: Option<Time>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Healthy,
            ejection: MIN_EJECTION,
            consecutive_failures: 0,
            half_start: Time::default(),
            successes: [0; 2],
            failures: [0; 2],
            last_success: None,
        }
    }
}

impl Health {
    /// Reports whether a request may be sent.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        match self.state {
            State::Healthy => true,
            State::Ejected(until) => until <= now,
            State::Probing(is_probed) => !is_probed,
        }
    }

    /// Reports whether the target is ejected or probed.
    pub(super) fn is_suspect(&self) -> bool {
        self.state != State::Healthy
    }

    /// Reports whether the target is in use and its last request of which the outcome tells did not fail.
    pub(super) fn is_sound(&self) -> bool {
        !self.is_suspect() && self.consecutive_failures == 0
    }

    /// Returns the time of the last success.
    pub(super) fn last_success(&self) -> Option<Time> {
        self.last_success
    }

    /// Returns the failures and successes in the window.
    pub(super) fn counts(&self) -> (u32, u32) {
        (self.failures.iter().sum(), self.successes.iter().sum())
    }

    /// Records that a request was sent.
    pub(super) fn record_send(&mut self, now: Time) {
        if matches!(self.state, State::Ejected(until) if until <= now)
            || self.state == State::Probing(false)
        {
            self.state = State::Probing(true);
        }
    }

    /// Records that a request ended with an outcome that says nothing about the target.
    pub(super) fn record_inconclusive(&mut self) {
        if self.state == State::Probing(true) {
            self.state = State::Probing(false);
        }
    }

    /// Records a success; returns whether it puts the target back in use.
    pub(super) fn record_success(&mut self, now: Time) -> bool {
        self.advance_window(now);
        self.successes[0] += 1;
        self.consecutive_failures = 0;
        self.last_success = Some(now);
        if !matches!(self.state, State::Probing(_)) {
            return false;
        }
        self.state = State::Healthy;
        self.ejection = MIN_EJECTION;
        self.failures = [0; 2];
        true
    }

    /// Records a failure; returns whether it ejects the target.
    pub(super) fn record_failure(&mut self, now: Time) -> bool {
        self.advance_window(now);
        self.failures[0] += 1;
        self.consecutive_failures += 1;
        match self.state {
            State::Ejected(_) => return false,
            State::Probing(_) => self.ejection = Span((2 * self.ejection.0).min(MAX_EJECTION.0)),
            State::Healthy if !self.is_failing() => return false,
            State::Healthy => {}
        }
        self.state = State::Ejected(now + self.ejection);
        true
    }

    fn is_failing(&self) -> bool {
        let (failures, successes) = self.counts();
        let total = failures + successes;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || (total >= MIN_SAMPLES && failures * 100 >= total * MAX_FAILED_PERCENT)
    }

    fn advance_window(&mut self, now: Time) {
        let elapsed = now.since(self.half_start);
        if elapsed < HALF_WINDOW {
            return;
        }
        let kept = elapsed.0 < 2 * HALF_WINDOW.0;
        self.successes = [0, if kept { self.successes[0] } else { 0 }];
        self.failures = [0, if kept { self.failures[0] } else { 0 }];
        self.half_start = now;
    }
}
