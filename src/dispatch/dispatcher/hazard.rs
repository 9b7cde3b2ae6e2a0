//! Crashes of targets, and what is done with requests whose prompts have a part that crashes them.

use super::{Dispatcher, Grade, Pending, Reason};
use crate::{
    dispatch::{
        Action, Outcome, Part, Request,
        attempt::Attempt,
        beginning::Beginning,
        breakage::Breakage,
        hazards::{Change, Observation, Verdict},
    },
    gossip::{self, Evidence},
    id,
    placement::hash,
    unit::{Span, Time},
};
use std::collections::{BTreeMap, VecDeque};

/// Time from the beginning of an answer within which a part that crashes targets has done so; usually a
/// tenth of a second. An answer that went on for longer isn't the cause.
const FATAL_TIME: Span = Span::from_millis(1_000);
/// Time after which a target has answered a request without a crash: [`FATAL_TIME`], and time for other
/// routers to report one.
const PASS_AFTER: Span = Span::from_millis(2_000);
/// Time after which the beginning of an answer is forgotten if its target has been silent since.
const MAX_SILENCE: Span = Span::from_secs(10);
/// Time without a response after which a target counts as crashed, if several connections ended in the same
/// moment or one was refused since.
const CONFIRM_AFTER: Span = Span::from_millis(60);
/// Maximum time between the ends of connections of one crash.
const SAME_MOMENT: Span = Span::from_millis(50);
/// Time for which the end of a single connection is remembered. If the target crashed, it refuses a
/// connection or is removed from the list by then.
const MAX_SINGLE_DOUBT: Span = Span::from_secs(6);
/// Time after which requests that are still running at the target show that it has not crashed.
const MAX_DOUBT: Span = Span::from_millis(1_000);
/// Time for which a trial waits for other routers to announce one, too. Reports pass up to three routers
/// in a large fleet.
const ANNOUNCE_TIME: Span = Span::from_millis(100);
const LARGE_FLEET_ANNOUNCE_TIME: Span = Span::from_millis(300);
/// Range of the time after which a caller may retry a request that is held back.
const RETRY_AFTER_RANGE: (Span, Span) = (Span::from_millis(1_000), Span::from_secs(60));

/// A request that is to be tried although a part of its prompt is held back.
#[derive(Clone, Debug)]
pub(super) struct Trying {
    pub(super) pending: Pending,
    /// Its standing in the share of its workspace.
    grade: Grade,
    until: Time,
}

/// Returns the parts of a request's prompt that other requests may share.
fn parts(request: &Request) -> &[Part] {
    let prompt = request.prompt.as_ref();
    prompt.map_or(&[], |prompt| prompt.shared_parts())
}

/// Removes the answers that a target, named by its key, had just begun when it crashed.
fn take_begun(beginnings: &mut VecDeque<Beginning>, key: u64, crash: Time) -> Vec<Beginning> {
    let (begun, others) = std::mem::take(beginnings)
        .into_iter()
        .partition(|beginning| {
            beginning.key == key && beginning.at <= crash && crash.since(beginning.at) < FATAL_TIME
        });
    *beginnings = others;
    begun.into()
}

impl Dispatcher {
    /// Records that a target began to answer a request.
    pub(super) fn record_beginning(&mut self, now: Time, number: u64) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&attempt.estimate.target) else {
            return;
        };
        target.record_life(now);
        let parts = parts(&attempt.request);
        if !parts.is_empty() {
            self.beginnings.push_back(Beginning {
                at: now,
                number,
                sent: attempt.sent,
                target: target.entry.name.clone(),
                key: target.key,
                parts: parts.iter().map(|part| part.id).collect(),
                answered: false,
            });
        }
    }

    /// Records what the end of an attempt says of whether its target crashed.
    pub(super) fn record_end(&mut self, now: Time, attempt: &Attempt, outcome: Outcome) {
        let Some(target) = self.targets.get_mut(&attempt.estimate.target) else {
            return;
        };
        match outcome {
            // Targets that leave, or whose failure domain is evacuated, are stopped on purpose.
            Outcome::Broken if attempt.request.prompt.is_some() && target.may_get_new() => {}
            Outcome::Unsent => {
                if let Some(breakage) = &mut target.breakage {
                    breakage.refused = true;
                }
                return;
            }
            Outcome::Answered => {
                target.record_life(now);
                let number = attempt.request.number;
                let mut beginnings = self.beginnings.iter_mut();
                if let Some(beginning) = beginnings.find(|other| other.number == number) {
                    beginning.answered = true;
                }
                return;
            }
            _ => {
                // The target may have ended its run, so that it didn't come to a crash.
                let number = attempt.request.number;
                return self.beginnings.retain(|beginning| {
                    beginning.number != number || now.since(beginning.at) >= FATAL_TIME
                });
            }
        }
        let key = target.key;
        // A target that ends another connection later was alive until then.
        target
            .breakage
            .take_if(|breakage| now.since(breakage.at) >= SAME_MOMENT);
        let breakage = target.breakage.get_or_insert_with(|| Breakage::new(now));
        breakage.broken += 1;
        if !attempt.response_started {
            let parts = parts(&attempt.request).iter();
            let suspects = parts.map(|part| (part.id, attempt.sent));
            breakage.suspects.extend(suspects);
        }
        let begun = take_begun(&mut self.beginnings, key, now);
        let begun = begun.into_iter().flat_map(|beginning| {
            let sent = beginning.sent;
            beginning.parts.into_iter().map(move |part| (part, sent))
        });
        breakage.suspects.extend(begun);
    }

    /// Finds out which targets have crashed, and which parts of prompts they have answered.
    pub(super) fn tick_hazards(&mut self, now: Time, out: &mut Vec<Action>) {
        let broken = self.targets.iter();
        let broken = broken.filter_map(|(name, target)| {
            let age = now.since(target.breakage.as_ref()?.at);
            (age >= CONFIRM_AFTER).then(|| name.clone())
        });
        for name in broken.collect::<Vec<_>>() {
            self.check_breakage(now, &name, out);
        }
        self.check_beginnings(now, out);
        let expired = self.hazards.expire(now);
        self.apply_changes(now, expired, out);
        let due = self.trying.extract_if(.., |trying| trying.until <= now);
        for trying in due.collect::<Vec<_>>() {
            self.try_held(now, trying, out);
        }
    }

    fn check_breakage(&mut self, now: Time, name: &id::Target, out: &mut Vec<Action>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Some(breakage) = &target.breakage else {
            return;
        };
        let is_clear = breakage.refused || breakage.broken > 1;
        let age = now.since(breakage.at);
        if !is_clear && age < MAX_SINGLE_DOUBT {
            return;
        }
        let mut attempts = self.attempts.values();
        let is_running = attempts.any(|a| a.estimate.target == *name && a.sent < breakage.at);
        if is_clear && is_running && age < MAX_DOUBT {
            return;
        }
        let breakage = target.breakage.take();
        let (key, software) = (target.key, target.software());
        if let (Some(breakage), true, false) = (breakage, is_clear, is_running) {
            self.confirm_crash(now, name, (key, software), breakage, out);
        }
    }

    /// Records that a target crashed; the target is named by its key and software.
    pub(super) fn confirm_crash(
        &mut self,
        now: Time,
        name: &id::Target,
        (target, software): (u64, u64),
        breakage: Breakage,
        out: &mut Vec<Action>,
    ) {
        let mut suspects: BTreeMap<u64, Time> = BTreeMap::new();
        for (part, sent) in breakage.suspects {
            let latest = suspects.entry(part).or_insert(sent);
            *latest = sent.max(*latest);
        }
        out.push(Action::TargetCrashed {
            target: name.clone(),
            parts: suspects.keys().copied().collect(),
        });
        let changes = suspects.into_iter().filter_map(|(part, sent)| {
            let observation = Observation {
                target,
                software,
                lasted: breakage.at.since(sent),
                age: now.since(breakage.at),
            };
            self.hazards.record_crash(now, None, part, observation)
        });
        let changes = changes.collect();
        self.apply_changes(now, changes, out);
    }

    /// Records passes of answers that were whole, or whose targets have responded since to another request.
    /// A target that is silent may have crashed without ending its connections.
    fn check_beginnings(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut passed = Vec::new();
        let targets = &self.targets;
        self.beginnings.retain_mut(|beginning| {
            let age = now.since(beginning.at);
            if age < PASS_AFTER {
                return true;
            }
            let target = targets.get(&beginning.target);
            let Some(target) = target.filter(|target| target.key == beginning.key) else {
                return false;
            };
            let last_response = target.health.last_success().unwrap_or_default();
            let is_alive = beginning.answered || last_response >= beginning.at + FATAL_TIME;
            if target.breakage.is_some() || !is_alive {
                return age < MAX_SILENCE;
            }
            passed.push((std::mem::take(&mut beginning.parts), target.software()));
            false
        });
        let mut changes = Vec::new();
        for (parts, software) in passed {
            for part in parts {
                changes.extend(self.hazards.record_pass(now, None, part, software, Span(0)));
            }
        }
        self.apply_changes(now, changes, out);
    }

    /// Records what another router found.
    pub(super) fn record_findings(
        &mut self,
        now: Time,
        summary: &gossip::Summary,
        out: &mut Vec<Action>,
    ) {
        let from = Some(&summary.router);
        let mut changes = Vec::new();
        for finding in &summary.findings {
            let part = finding.part;
            let age = finding.age;
            match finding.evidence {
                Evidence::Crash {
                    target,
                    software,
                    lasted,
                } => {
                    let observation = Observation {
                        target,
                        software,
                        lasted,
                        age,
                    };
                    changes.extend(self.hazards.record_crash(now, from, part, observation));
                    if age < MAX_SILENCE {
                        let at = Time(now.0.saturating_sub(age.0));
                        changes.extend(self.record_unseen(now, at, target, software));
                    }
                }
                Evidence::Pass { software } => {
                    let hazards = &mut self.hazards;
                    changes.extend(hazards.record_pass(now, from, part, software, age));
                }
                Evidence::Trial { router, number } => {
                    let named = (router, number);
                    self.hazards.record_trial(now, from, part, named, age);
                }
            }
        }
        self.apply_changes(now, changes, out);
    }

    /// Suspects the parts of answers that a target had just begun when it crashed, if this router has not
    /// seen the crash: they were whole by then.
    fn record_unseen(&mut self, now: Time, at: Time, target: u64, software: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for beginning in take_begun(&mut self.beginnings, target, at) {
            let observation = Observation {
                target,
                software,
                lasted: at.since(beginning.sent),
                age: now.since(at),
            };
            for part in beginning.parts {
                changes.extend(self.hazards.record_crash(now, None, part, observation));
            }
        }
        changes
    }

    /// Reports changes, and refuses the queued requests that are held back from now on.
    pub(super) fn apply_changes(&mut self, now: Time, changes: Vec<Change>, out: &mut Vec<Action>) {
        let is_held = |change: &Change| matches!(change, Change::Held { .. });
        let any_held = changes.iter().any(is_held);
        out.extend(changes.into_iter().map(|change| match change {
            Change::Held { part, crashes } => Action::PartHeld { part, crashes },
            Change::Released { part } => Action::PartReleased { part },
        }));
        if any_held {
            let services: Vec<id::Service> = self.queues.keys().cloned().collect();
            for service in services {
                self.refuse_unservable(now, &service, out);
            }
        }
    }

    /// Counts a request for the share of those that have each hazardous part.
    pub(super) fn record_arrival(&mut self, request: &Request) {
        if request.prompt.is_some() {
            self.hazards.record_arrival(parts(request));
        }
    }

    /// Returns until when a request is held back; `None` if a target may get it.
    pub(super) fn held_until(&self, pending: &Pending) -> Option<Time> {
        let parts = parts(&pending.request);
        let until = match self.hazards.verdict(parts, false) {
            Verdict::HeldUntil(until) if !pending.is_trial => until,
            _ => return None,
        };
        (!self.is_answered(&pending.request)).then_some(until)
    }

    /// Reports whether a target may get a request, as far as its prompt tells, although others may not.
    fn is_answered(&self, request: &Request) -> bool {
        let mut targets = self.staying(request);
        targets.any(|target| self.hazards.admits(parts(request), target.software()))
    }

    /// Reports whether a request that finds no room at the targets that may get it is to be tried at others: nothing but
    /// a trial there shows that their software answers its parts, too.
    pub(super) fn is_trial_due(&self, now: Time, pending: &Pending) -> bool {
        let request = &pending.request;
        let until = match self.hazards.verdict(parts(request), true) {
            Verdict::HeldUntil(until) if !pending.is_trial && pending.tried.is_empty() => until,
            _ => return false,
        };
        let mut targets = self.staying(request);
        until <= now
            && targets.any(|target| {
                target.allows_send(now)
                    && self.is_trusted(target, now)
                    && !self.hazards.admits(parts(request), target.software())
            })
    }

    /// Reports whether any target may get a request, as far as its prompt tells.
    pub(super) fn is_free(&self, pending: &Pending) -> bool {
        !self.hazards.are_held(parts(&pending.request))
    }

    /// Reports whether a target of a software may get a request whose prompt has a part that is held back. A trial goes
    /// where it shows something: to software that isn't known to answer the part.
    pub(super) fn is_admitted(&self, pending: &Pending, software: u64) -> bool {
        self.hazards.admits(parts(&pending.request), software) != pending.is_trial
    }

    /// Reports whether a request under which a target may have crashed is not to be sent again.
    pub(super) fn is_suspected(&self, request: &Request) -> bool {
        self.hazards.are_suspected(parts(request))
    }

    /// Returns the time after which a caller may retry a request that is held back.
    pub(super) fn held_retry_after(now: Time, until: Time) -> Span {
        let after = until.since(now);
        after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    /// Refuses a request that is held back, or announces that it is going to be tried.
    pub(super) fn hold(
        &mut self,
        now: Time,
        pending: Pending,
        grade: Grade,
        until: Time,
        out: &mut Vec<Action>,
    ) {
        if until > now || !pending.tried.is_empty() {
            let retry_after = Self::held_retry_after(now, until);
            return self.refuse(now, &pending, Reason::Hazard, retry_after, out);
        }
        self.announce_trial(now, pending, grade);
    }

    /// Announces that a request is going to be tried.
    pub(super) fn announce_trial(&mut self, now: Time, pending: Pending, grade: Grade) {
        let router = hash(self.settings.router.as_str());
        self.hazards
            .announce_trial(now, router, parts(&pending.request));
        let wait = if self.is_large_fleet() {
            LARGE_FLEET_ANNOUNCE_TIME
        } else {
            ANNOUNCE_TIME
        };
        self.trying.push(Trying {
            until: pending.request.deadline.min(now + wait),
            pending,
            grade,
        });
    }

    /// Sends a request whose trial was announced, unless another router has announced one; otherwise, it goes where all
    /// others go.
    fn try_held(&mut self, now: Time, trying: Trying, out: &mut Vec<Action>) {
        let Trying {
            mut pending, grade, ..
        } = trying;
        let parts = parts(&pending.request);
        let router = hash(self.settings.router.as_str());
        if !self.hazards.has_trial(router, parts) {
            return self.place(now, pending, grade, out);
        }
        pending.is_trial = true;
        let estimate = match self.unservable(now, &pending, self.ahead_of(&pending)) {
            None => self.choose(now, &pending, grade),
            Some(_) => None,
        };
        let Some(estimate) = estimate else {
            pending.is_trial = false;
            return self.place(now, pending, grade, out);
        };
        out.push(Action::Tried {
            number: pending.request.number,
        });
        self.send(now, pending, estimate, out);
    }
}
