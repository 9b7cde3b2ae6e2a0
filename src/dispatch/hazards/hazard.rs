//! A part of prompts under which targets crashed.

use super::crash::Crash;
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
/// Factor by which the time to the next trial grows with each further crash or trial, and its maximum.
const TRIAL_BACKOFF: u64 = 4;
const MAX_TRIAL_AFTER: Span = Span::from_secs(3_600);
/// Time for which an announced trial keeps other routers from one. The outcome of a trial is known by
/// then.
const TRIAL_TIME: Span = Span::from_millis(3_000);
/// Time after its last crash for which a part is remembered, if it is held back and if it is not.
const HELD_RETENTION: Span = Span::from_secs(7_200);
const RETENTION: Span = Span::from_secs(600);

/// Announced trial of a part that is held back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub(super) at: Time,
    /// Hash of the name of the router that announced it.
    pub(super) router: u64,
}

/// A part of prompts under which targets crashed, and that no target has answered since.
#[derive(Clone, Debug, Default)]
pub(super) struct Hazard {
    /// By time.
    crashes: Vec<Crash>,
    /// Number of crashes that followed each other.
    count: usize,
    is_held: bool,
    /// Last announced trial, and the number of trials so far.
    trial: Option<Trial>,
    trials: u32,
}

impl Hazard {
    /// Adds a crash, or what another router reported of a known one; returns whether it is new. `all` are
    /// the recent crashes under any part.
    pub(super) fn add(&mut self, crash: Crash, all: &[Crash]) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.is_same(&crash));
        let is_new = known.is_none();
        match known {
            Some(known) => {
                known.at = known.at.min(crash.at);
                known.sent = known.sent.max(crash.sent);
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
            if previous.is_none_or(|at| crash.sent + REPORT_LATENESS >= at) {
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

    /// Returns the time of the next trial.
    pub(super) fn next_trial(&self) -> Time {
        let further = self.count.saturating_sub(HELD_CRASHES);
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let factor = TRIAL_BACKOFF.saturating_pow(further.max(self.trials));
        let after = Span(FIRST_TRIAL_AFTER.0.saturating_mul(factor));
        let tried = self.trial.map_or(Time(0), |trial| trial.at);
        self.last_crash().max(tried) + after.min(MAX_TRIAL_AFTER)
    }

    /// Returns the announced trial.
    pub(super) fn trial(&self) -> Option<Trial> {
        self.trial
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
            self.trial = Some(trial);
            self.trials += u32::from(is_later);
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
