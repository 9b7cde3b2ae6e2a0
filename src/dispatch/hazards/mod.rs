//! Parts of prompts under which targets crash, one after the other, whatever else a request has.
//!
//! For loads in which a few requests take down each target that answers them, and all the streams there.
//! Each router sees only its own streams break, so routers exchange what they find.

mod crash;
mod hazard;
mod passes;
mod trial;

use self::{
    crash::Crash,
    hazard::Hazard,
    passes::{Passes, RETENTION},
    trial::Trial,
};
use super::Part;
use crate::{
    gossip::{Evidence, Finding},
    id,
    unit::{Span, Time},
};
use std::collections::{HashMap, VecDeque};

/// Time that is added to the router's clock, which begins at its start: what other routers found may be
/// older. Longer than anything is remembered.
const CLOCK_OFFSET: Span = Span::from_secs(4 * 3_600);
/// Time by which a request is tried later for each further part that is held back: one with a single part tells more, and
/// a sound part is not tried with a fatal one while other requests have it.
const FURTHER_PART_DELAY: Span = Span::from_millis(1_000);
/// Minimum time between two reports of the passes of a part in response to crashes that another router
/// found.
const PASS_REPORT_INTERVAL: Span = Span::from_millis(500);
/// Maximum number of parts under which targets crashed that are remembered. Those with the fewest and
/// oldest crashes are forgotten first.
const MAX_HAZARDS: usize = 4_096;
/// Maximum number of findings that wait to be announced; the oldest are dropped first.
const MAX_WAITING: usize = 4_096;
/// Interval at which all findings are announced again, since datagrams may be lost.
const FULL_INTERVAL: Span = Span::from_millis(1_000);
/// Interval at which old records are dropped.
const EXPIRY_INTERVAL: Span = Span::from_millis(500);
/// Time for which crashes count as others, when crashes under a part are weighed.
const CRASH_RETENTION: Span = Span::from_secs(60);
/// Maximum number of these; the oldest are forgotten first.
const MAX_CRASHES: usize = 256;
/// Age up to which crashes under parts that are not held back are announced again.
const MAX_REPEATED_AGE: Span = Span::from_secs(60);

/// A finding that is to be announced, with the router that reported it, `None` for this one.
pub(super) type Announcement = (Option<id::Router>, Finding);

/// A crash that a finding or an observation of this router tells of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    /// Key of the target.
    pub(super) target: u64,
    /// Hash of the target's service and build.
    pub(super) software: u64,
    /// Time for which the request had been at the target.
    pub(super) lasted: Span,
    /// Time since the crash.
    pub(super) age: Span,
}

/// Change of what is done with requests whose prompts have a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// They are held back from now on.
    Held { part: u64, crashes: usize },
    /// They are sent again.
    Released { part: u64 },
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is sent.
    Free,
    /// A part of its prompt is held back until this time, when one request may be tried.
    HeldUntil(Time),
}

/// Parts of prompts under which targets crash.
#[derive(Clone, Debug, Default)]
pub(super) struct Hazards {
    parts: HashMap<u64, Hazard>,
    passes: Passes,
    /// Number of requests with prompts that arrived at this router.
    arrivals: u64,
    /// Time at which the passes of a part were last reported.
    passes_reported: HashMap<u64, Time>,
    /// Recent crashes under any part, each once.
    crashes: Vec<Crash>,
    to_announce: VecDeque<(Option<id::Router>, Time, Finding)>,
    /// Findings of the last round, which are sent once more because datagrams may be lost.
    to_repeat: Vec<(Option<id::Router>, Time, Finding)>,
    /// Time at which all findings are announced again.
    next_full: Time,
    next_expiry: Time,
}

impl Hazards {
    /// Returns what is done with a request whose prompt has parts, at targets of software that doesn't admit it.
    /// `is_answered` tells whether other software admits it.
    pub(super) fn verdict(&self, parts: &[Part], is_answered: bool) -> Verdict {
        let held = self.held(parts);
        let trials = held.map(|(_, hazard)| hazard.next_trial(self.arrivals, is_answered));
        let trials: Vec<Time> = trials.collect();
        let Some(until) = trials.iter().max() else {
            return Verdict::Free;
        };
        let others = trials.len() as u64 - 1;
        let until = *until + Span(FURTHER_PART_DELAY.0 * others);
        Verdict::HeldUntil(before(until, CLOCK_OFFSET))
    }

    /// Reports whether any of the parts of a prompt is held back.
    pub(super) fn are_held(&self, parts: &[Part]) -> bool {
        self.held(parts).next().is_some()
    }

    /// Counts a request that arrived.
    pub(super) fn record_arrival(&mut self, parts: &[Part]) {
        self.arrivals += 1;
        if self.parts.is_empty() {
            return;
        }
        for part in parts {
            if let Some(hazard) = self.parts.get_mut(&part.id) {
                hazard.record_arrival();
            }
        }
    }

    /// Reports whether a target of a software may get a request whose prompt has parts: none of them is
    /// held back, or the crashes were of other software, and that one answers them.
    pub(super) fn admits(&self, parts: &[Part], software: u64) -> bool {
        self.held(parts).all(|(part, hazard)| {
            let mut crashes = hazard.crashes().iter();
            crashes.all(|crash| crash.software != software)
                && self.passes.last(part, software).is_some()
        })
    }

    /// Reports whether a request whose prompt has parts, and under which a target may have crashed, is
    /// not to be sent again.
    pub(super) fn are_suspected(&self, parts: &[Part]) -> bool {
        let mut known = self.known(parts);
        known.any(|(_, hazard)| hazard.is_suspected())
    }

    fn held<'a>(&'a self, parts: &'a [Part]) -> impl Iterator<Item = (u64, &'a Hazard)> {
        self.known(parts).filter(|(_, hazard)| hazard.is_held())
    }

    fn known<'a>(&'a self, parts: &'a [Part]) -> impl Iterator<Item = (u64, &'a Hazard)> {
        let parts = if self.parts.is_empty() { &[] } else { parts };
        let known = parts.iter().map(|part| part.id);
        known.filter_map(|part| Some((part, self.parts.get(&part)?)))
    }

    /// Records that a target crashed as it began to answer a request with a part, as this router or
    /// another one saw it.
    pub(super) fn record_crash(
        &mut self,
        now: Time,
        from: Option<&id::Router>,
        part: u64,
        observed: Observation,
    ) -> Option<Change> {
        let now = now + CLOCK_OFFSET;
        let Observation {
            target,
            software,
            lasted,
            age,
        } = observed;
        let at = before(now, age);
        let crash = Crash {
            target,
            software,
            lasted,
            at,
        };
        if !self.crashes.iter().any(|known| known.is_same(&crash)) {
            self.crashes.push(crash);
            let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
            self.crashes.drain(..excess);
        }
        if from.is_some() {
            self.report_passes(now, part);
        }
        // A part that many requests share is in flight at every crash.
        if let Some(passed) = self.passes.last(part, software)
            && passed + RETENTION >= at
        {
            return None;
        }
        let arrivals = self.arrivals;
        let new = || Hazard::new(arrivals);
        let hazard = self.parts.entry(part).or_insert_with(new);
        let was_held = hazard.is_held();
        let is_new = hazard.add(crash, &self.crashes);
        let (is_held, crashes) = (hazard.is_held(), hazard.count());
        if is_new {
            let evidence = Evidence::Crash {
                target,
                software,
                lasted,
            };
            self.announce(from, at, part, evidence);
        }
        (is_held && !was_held).then_some(Change::Held { part, crashes })
    }

    /// Records that a target of a software answered a request with a part, as this router or another one
    /// saw it.
    pub(super) fn record_pass(
        &mut self,
        now: Time,
        from: Option<&id::Router>,
        part: u64,
        software: u64,
        age: Span,
    ) -> Option<Change> {
        let at = before(now + CLOCK_OFFSET, age);
        self.passes.record(at, part, software);
        let hazard = self.parts.get_mut(&part)?;
        let was_held = hazard.is_held();
        hazard.record_answer(at);
        let is_cleared = hazard.clear(software, at + RETENTION);
        let is_held = hazard.is_held();
        if is_cleared && hazard.crashes().is_empty() {
            self.parts.remove(&part);
        }
        // Others have to know which software answers a part that is held back at another one.
        let reported = self.passes_reported.get(&part);
        if is_cleared
            || from.is_none() && reported.is_none_or(|at| now.since(*at) >= PASS_REPORT_INTERVAL)
        {
            self.passes_reported.insert(part, now);
            self.announce(from, at, part, Evidence::Pass { software });
        }
        (was_held && !is_held).then_some(Change::Released { part })
    }

    /// Announces that this router is about to try a request whose prompt has parts. The trial may begin
    /// if [`Hazards::has_trial`] still holds when other routers could have announced one, too.
    pub(super) fn announce_trial(&mut self, now: Time, router: u64, parts: &[Part]) {
        let held = self.held(parts);
        let held = held.map(|(part, hazard)| (part, hazard.trials() + 1));
        for (part, number) in held.collect::<Vec<_>>() {
            self.record_trial(now, None, part, (router, number), Span(0));
        }
    }

    /// Records that a router, named by its hash, announced a trial with a number.
    pub(super) fn record_trial(
        &mut self,
        now: Time,
        from: Option<&id::Router>,
        part: u64,
        (router, number): (u64, u32),
        age: Span,
    ) {
        let trial = Trial {
            at: before(now + CLOCK_OFFSET, age),
            router,
            number,
            is_answered: false,
        };
        let Some(hazard) = self.parts.get_mut(&part) else {
            return;
        };
        if hazard.announce(trial) {
            self.announce(from, trial.at, part, trial.evidence());
        }
    }

    /// Reports whether a request whose prompt has parts may be tried by a router that announced it.
    pub(super) fn has_trial(&self, router: u64, parts: &[Part]) -> bool {
        let mut held = self.held(parts);
        held.all(|(_, hazard)| hazard.trial().is_some_and(|trial| trial.router == router))
    }

    /// Tells the routers that find crashes under a part which targets have answered it.
    fn report_passes(&mut self, now: Time, part: u64) {
        let passes = self.passes.all(part).to_vec();
        let reported = self.passes_reported.get(&part);
        if passes.is_empty() || reported.is_some_and(|at| now.since(*at) < PASS_REPORT_INTERVAL) {
            return;
        }
        self.passes_reported.insert(part, now);
        for (software, at) in passes {
            self.announce(None, at, part, Evidence::Pass { software });
        }
    }

    fn announce(&mut self, from: Option<&id::Router>, at: Time, part: u64, evidence: Evidence) {
        let finding = Finding {
            part,
            age: Span(0),
            evidence,
        };
        self.to_announce.push_back((from.cloned(), at, finding));
        if self.to_announce.len() > MAX_WAITING {
            self.to_announce.pop_front();
        }
    }

    /// Has all findings announced in the next round, for a router that has just started or come back.
    pub(super) fn announce_all(&mut self) {
        self.next_full = Time(0);
    }

    /// Takes the findings to be announced in a round, at most `limit` that were not announced before.
    pub(super) fn take_announcements(&mut self, now: Time, limit: usize) -> Vec<Announcement> {
        let now = now + CLOCK_OFFSET;
        let count = self.to_announce.len().min(limit);
        let new: Vec<_> = self.to_announce.drain(..count).collect();
        let mut all = std::mem::replace(&mut self.to_repeat, new.clone());
        all.extend(new);
        let mut announcements: Vec<Announcement> = all
            .into_iter()
            .map(|(from, at, finding)| {
                let age = now.since(at);
                (from, Finding { age, ..finding })
            })
            .collect();
        if now >= self.next_full {
            self.next_full = now + FULL_INTERVAL;
            announcements.extend(self.all(now, limit).map(|finding| (None, finding)));
        }
        announcements
    }

    /// Returns what is known, the parts that are held back first, then the latest crashes.
    fn all(&self, now: Time, limit: usize) -> impl Iterator<Item = Finding> {
        let mut findings: Vec<(bool, Time, Finding)> = Vec::new();
        for (part, hazard) in &self.parts {
            let is_held = hazard.is_held();
            if let Some(trial) = hazard.trial() {
                let finding = Finding {
                    part: *part,
                    age: now.since(trial.at),
                    evidence: trial.evidence(),
                };
                findings.push((is_held, trial.at, finding));
            }
            for crash in hazard.crashes() {
                let age = now.since(crash.at);
                if !is_held && age >= MAX_REPEATED_AGE {
                    continue;
                }
                let evidence = Evidence::Crash {
                    target: crash.target,
                    software: crash.software,
                    lasted: crash.lasted,
                };
                let finding = Finding {
                    part: *part,
                    age,
                    evidence,
                };
                findings.push((is_held, crash.at, finding));
            }
        }
        findings.sort_unstable_by_key(|(is_held, at, finding)| {
            std::cmp::Reverse((*is_held, *at, finding.part))
        });
        findings
            .into_iter()
            .take(limit)
            .map(|(.., finding)| finding)
    }

    /// Forgets what is too long ago, and what is too much; returns the parts that are no longer held
    /// back.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Change> {
        let now = now + CLOCK_OFFSET;
        if now < self.next_expiry {
            return Vec::new();
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.passes.expire(now);
        self.passes_reported
            .retain(|_, at| now.since(*at) < PASS_REPORT_INTERVAL);
        self.crashes
            .retain(|crash| now.since(crash.at) < CRASH_RETENTION);
        let expired = self.parts.extract_if(|_, hazard| hazard.is_expired(now));
        let mut forgotten: Vec<(u64, Hazard)> = expired.collect();
        let excess = self.parts.len().saturating_sub(MAX_HAZARDS);
        if excess > 0 {
            let mut ranks: Vec<(usize, Time, u64)> = self
                .parts
                .iter()
                .map(|(part, hazard)| (hazard.count(), hazard.last_crash(), *part))
                .collect();
            ranks.sort_unstable();
            let least = ranks.iter().take(excess);
            forgotten.extend(least.filter_map(|(.., part)| self.parts.remove_entry(part)));
        }
        let held = forgotten.into_iter().filter(|(_, hazard)| hazard.is_held());
        held.map(|(part, _)| Change::Released { part }).collect()
    }
}

/// Returns an earlier time.
fn before(time: Time, span: Span) -> Time {
    Time(time.0.saturating_sub(span.0))
}
