//! A part of prompts under which targets crashed.

use super::{crash::Crash, trial::Trial};
use crate::unit::{Span, Time};

/// Crashes from which a part is suspected: a request under which a target crashed is not sent again.
const SUSPECTED_CRASHES: usize = 2;
/// Crashes from which a part is held back, if there are no others meanwhile, and however many there are.
/// Each crash breaks some ten requests that had just begun, so that one or two coincide with a rare part
/// now and then, and more while targets crash for other reasons.
const HELD_CRASHES: usize = 3;
const MAX_HELD_CRASHES: usize = 5;
/// Lateness of another router's reports. Requests that were sent by so much before a crash count as
/// sent after it.
const REPORT_LATENESS: Span = Span::from_millis(50);
/// Maximum number of crashes that are remembered of a part; the oldest are forgotten first.
const MAX_CRASHES: usize = 16;
/// Time from the crash that holds a part back to its first trial.
const FIRST_TRIAL_AFTER: Span = Span::from_millis(2_000);
/// Factor by which the time to the next trial grows with each trial, and its maximum.
const TRIAL_BACKOFF: u64 = 6;
const MAX_TRIAL_AFTER: Span = Span::from_secs(3_600);
/// Percentage of the requests from which a part is common, and the number of requests that tells.
const COMMON_PERCENT: u64 = 50;
const MIN_ARRIVALS: u64 = 20;
/// Time for which an announced trial keeps other routers from one. The outcome of a trial is known by
/// then.
const TRIAL_TIME: Span = Span::from_millis(3_000);
/// Time after its last crash for which a part is remembered, if it is held back and if it is not.
const HELD_RETENTION: Span = Span::from_secs(7_200);
const RETENTION: Span = Span::from_secs(600);

/// A part of prompts under which targets crashed, and that no target has answered since.
#[derive(Clone, Debug, Default)]
pub(super) struct Hazard {
    /// By time.
    crashes: Vec<Crash>,
    /// Number of crashes that followed each other.
    count: usize,
    is_held: bool,
    /// Last announced trial.
    trial: Option<Trial>,
    /// Requests that arrived with the part since the first crash, and all that had arrived before.
    arrived: u64,
    arrivals_before: u64,
}

impl Hazard {
    /// Returns a part without crashes; `arrivals` requests have arrived so far.
    pub(super) fn new(arrivals: u64) -> Self {
        Self {
            arrivals_before: arrivals,
            ..Self::default()
        }
    }

    /// Counts a request with the part.
    pub(super) fn record_arrival(&mut self) {
        self.arrived += 1;
    }

    /// Reports whether most of the requests have the part; `arrivals` have arrived so far.
    fn is_common(&self, arrivals: u64) -> bool {
        let all = arrivals.saturating_sub(self.arrivals_before);
        all >= MIN_ARRIVALS && self.arrived * 100 >= all * COMMON_PERCENT
    }

    /// Adds a crash, or what another router reported of a known one; returns whether it is new. `all` are
    /// the recent crashes under any part.
    pub(super) fn add(&mut self, crash: Crash, all: &[Crash]) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.is_same(&crash));
        let is_new = known.is_none();
        match known {
            Some(known) => {
                known.at = known.at.min(crash.at);
                // Unlike the time of sending, the same in all reports of one observation.
                known.lasted = known.lasted.min(crash.lasted);
            }
            None => self.crashes.push(crash),
        }
        self.crashes.sort_unstable_by_key(|crash| crash.at);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
        self.recount();
        let first = self.crashes.first().map_or(Time(0), |crash| crash.at);
        let others = all.iter().filter(|other| {
            other.at >= first && !self.crashes.iter().any(|crash| crash.is_same(other))
        });
        let needed = (HELD_CRASHES + others.count()).min(MAX_HELD_CRASHES);
        self.is_held |= self.count >= needed;
        is_new
    }

    /// Records that a target answered the part. The trial that led to it doesn't make further ones more seldom: the part
    /// may still be held back at other software.
    pub(super) fn record_answer(&mut self, at: Time) {
        if let Some(trial) = &mut self.trial
            && !trial.is_answered
            && trial.at <= at
        {
            trial.is_answered = true;
            trial.number = trial.number.saturating_sub(1);
        }
    }

    /// Removes the crashes of a software up to a time; returns whether there were any.
    pub(super) fn clear(&mut self, software: u64, until: Time) -> bool {
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| crash.software != software || crash.at > until);
        self.recount();
        self.is_held &= self.count >= HELD_CRASHES;
        self.crashes.len() < before
    }

    /// Counts the crashes under requests that were sent after the crash before. Targets that are lost
    /// in one moment have one cause in common, which isn't the part.
    fn recount(&mut self) {
        self.count = 0;
        let mut previous: Option<Time> = None;
        for crash in &self.crashes {
            if previous.is_none_or(|at| crash.sent() + REPORT_LATENESS >= at) {
                self.count += 1;
                previous = Some(crash.at);
            }
        }
    }

    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub(super) fn count(&self) -> usize {
        self.count
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.count >= SUSPECTED_CRASHES
    }

    /// Reports whether requests with the part are held back.
    pub(super) fn is_held(&self) -> bool {
        self.is_held
    }

    pub(super) fn last_crash(&self) -> Time {
        self.crashes.last().map_or(Time(0), |crash| crash.at)
    }

    /// Returns the time of the next trial; `arrivals` requests have arrived so far. While most of them have
    /// the part, the trials don't become more seldom: holding it back costs as much as the crashes, unless
    /// targets of other software answer it.
    pub(super) fn next_trial(&self, arrivals: u64, is_answered: bool) -> Time {
        let factor = if self.is_common(arrivals) && !is_answered {
            1
        } else {
            TRIAL_BACKOFF.saturating_pow(self.trials())
        };
        let after = Span(FIRST_TRIAL_AFTER.0.saturating_mul(factor));
        let tried = self.trial.map_or(Time(0), |trial| trial.at);
        self.last_crash().max(tried) + after.min(MAX_TRIAL_AFTER)
    }

    /// Returns the announced trial.
    pub(super) fn trial(&self) -> Option<Trial> {
        self.trial
    }

    /// Returns the number of trials so far that no answer followed.
    pub(super) fn trials(&self) -> u32 {
        self.trial.map_or(0, |trial| trial.number)
    }

    /// Records that a router announced a trial; returns whether it is its turn. Of two routers that
    /// announce one at the same time, that with the lower hash has it.
    pub(super) fn announce(&mut self, trial: Trial) -> bool {
        let is_later = self
            .trial
            .is_none_or(|other| trial.at.since(other.at) >= TRIAL_TIME);
        let is_first = self.trial.is_some_and(|other| {
            other.at.since(trial.at) < TRIAL_TIME && trial.router < other.router
        });
        if is_later || is_first {
            let number = trial.number.max(self.trials());
            self.trial = Some(Trial { number, ..trial });
        }
        is_later || is_first
    }

    /// Reports whether it is too old to be remembered.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        let retention = if self.is_held() {
            HELD_RETENTION
        } else {
            RETENTION
        };
        now.since(self.last_crash()) >= retention
    }
}
