//! Targets that warm up: which ones are cold, what this router may send them, and probes of those in doubt.

use super::Dispatcher;
use crate::{
    catalog,
    dispatch::{
        Cause, Probe, Warming,
        target::{Target, key_of_run},
        warm_up::{Rule, WarmUp},
    },
    gossip, id,
    placement::hash,
    routing,
    unit::{Span, Time},
};
use std::collections::BTreeSet;

/// Time after its start in which a router sends nothing to cold targets: until then, others have read its list entry
/// and it has read theirs, and what an earlier run of it sent has left the second that the rate is counted in.
const START_SPAN: Span = Span::from_secs(2);
/// Time for which other routers have to report an unlisted target until this router's list counts as behind: twice the
/// time within which routers learn of a change after each other.
const BEHIND_AFTER: Span = Span::from_millis(800);
/// Time without a report after which an unlisted target is forgotten; loads are repeated each half second.
const UNLISTED_RETENTION: Span = Span::from_secs(3);
/// Time for which the keys of targets that are not listed any more are remembered: others may report them for a while.
const FORMER_RETENTION: Span = Span::from_secs(60);
/// Part of the targets with a warm-up that a router reports as unreachable at most, in percent: more than a failure
/// domain has of them. A router that reaches fewer is cut off itself, or can open no connections.
const MAX_UNREACHABLE_PERCENT: usize = 50;
/// Maximum number of such keys.
const MAX_FORMER: usize = 4_096;

impl Dispatcher {
    /// Returns the warm-up of a target that is listed anew, if its service has one.
    pub(super) fn new_warm_up(&self, now: Time, entry: &catalog::Target) -> Option<WarmUp> {
        let rule = self.warm_up_rule(&entry.service)?;
        let mut warm_up = WarmUp::new(rule);
        let cause = if self.confirmed.is_none() {
            Cause::Unconfirmed
        } else {
            Cause::NewRun
        };
        warm_up.doubt(now, cause);
        warm_up.read_entry(now, entry.warm_up);
        Some(warm_up)
    }

    fn warm_up_rule(&self, service: &id::Service) -> Option<Rule> {
        let service: &routing::Service = self.routing.services.get(service)?;
        let settings = &self.settings;
        let rule = |warm_up| Rule::new(warm_up, settings.warm_up_factor, settings.warm_up_slack);
        service.warm_up.map(rule)
    }

    /// Applies the configuration to all targets. Those of a service that had no warm-up before are cold only if their
    /// list entries say so, or are old.
    pub(super) fn configure_warm_ups(&mut self, now: Time) {
        let mut services = self.routing.services.values();
        self.has_warm_ups = services.any(|service| service.warm_up.is_some());
        let confirmed = self.confirmed;
        let is_old = confirmed.is_none_or(|at| now.since(at) > self.settings.list_bound);
        let mut targets = std::mem::take(&mut self.targets);
        for target in targets.values_mut() {
            let rule = self.warm_up_rule(&target.entry.service);
            match (&mut target.warm_up, rule) {
                (Some(warm_up), Some(rule)) => warm_up.set_rule(rule),
                (None, Some(rule)) => {
                    let mut warm_up = WarmUp::new(rule);
                    if is_old {
                        warm_up.doubt(now, Cause::Unconfirmed);
                    }
                    warm_up.read_entry(now, target.entry.warm_up);
                    target.warm_up = Some(warm_up);
                }
                (_, None) => target.warm_up = None,
            }
        }
        self.targets = targets;
        self.rank_for_warm_ups(now);
    }

    /// Determines this router's turns at each target.
    pub(super) fn rank_for_warm_ups(&mut self, now: Time) {
        let is_started = now.since(self.opened) >= START_SPAN;
        for target in self.targets.values_mut() {
            // By the name alone: routers whose lists differ in the start time rank in the same way.
            let key = hash(target.entry.name.as_str());
            if let Some(warm_up) = &mut target.warm_up {
                let (rank, routers) = self.listing.rank(self.key, key);
                warm_up.set_rank(rank.filter(|_| is_started), routers);
            }
        }
        self.is_ranked = is_started;
    }

    /// Sets the listed routers, which divide the rate of cold targets.
    pub(super) fn set_listed(&mut self, now: Time, listed: &[id::Router]) {
        self.listing.set(now, listed);
        self.rank_for_warm_ups(now);
    }

    /// Records a router that a summary came from: one that has just started may not be listed yet.
    pub(super) fn record_router(&mut self, now: Time, router: &id::Router) {
        if self.has_warm_ups && self.listing.record_heard(now, router) {
            self.rank_for_warm_ups(now);
        }
    }

    /// Records that the list of targets is current: what its entries say applies.
    pub(super) fn settle_warm_ups(&mut self, age: Span) {
        if age > self.settings.list_bound {
            return;
        }
        for target in self.targets.values_mut() {
            if let Some(warm_up) = &mut target.warm_up {
                warm_up.settle(Cause::Unconfirmed);
            }
        }
    }

    /// Treats the targets of a failure domain as cold until known otherwise, for the end of its evacuation: without
    /// requests, they may have lost what made them warm.
    pub(super) fn doubt_domain(&mut self, now: Time, domain: &id::Domain) {
        let targets = self.targets.values_mut();
        for target in targets.filter(|target| target.entry.domain == *domain) {
            target.doubt_warm(now, Cause::Evacuated);
        }
    }

    /// Records that a target that is not listed any more may still be reported by others.
    pub(super) fn record_former(&mut self, now: Time, key: u64) {
        if self.has_warm_ups && self.former.len() < MAX_FORMER {
            self.former.insert(key, now);
        }
    }

    /// Records the targets that another router sends requests to: one that this router doesn't know has started
    /// meanwhile, perhaps in place of one that it knows.
    pub(super) fn note_unlisted(&mut self, now: Time, summary: &gossip::Summary) {
        if !self.has_warm_ups {
            return;
        }
        for load in summary.loads.iter().filter(|load| load.running > 0) {
            let key = load.target;
            match &mut self.unlisted {
                Some((known, _, last)) if *known == key => *last = now,
                Some(_) => {}
                None if self.names.contains_key(&key) || self.former.contains_key(&key) => {}
                None => self.unlisted = Some((key, now, now)),
            }
        }
    }

    /// Records that a list of targets was applied: what its entries say applies, if it is not behind any more.
    pub(super) fn end_behind(&mut self) {
        let unlisted = self.unlisted.map(|(key, ..)| key);
        if unlisted.is_some_and(|key| !self.names.contains_key(&key)) {
            return;
        }
        self.unlisted = None;
        for target in self.targets.values_mut() {
            if let Some(warm_up) = &mut target.warm_up {
                warm_up.settle(Cause::Behind);
            }
        }
    }

    /// Updates what depends on time.
    pub(super) fn tick_warm_ups(&mut self, now: Time) {
        if !self.has_warm_ups {
            return;
        }
        let is_start_over = !self.is_ranked && now.since(self.opened) >= START_SPAN;
        if self.listing.expire(now) || is_start_over {
            self.rank_for_warm_ups(now);
        }
        self.former
            .retain(|_, ended| now.since(*ended) < FORMER_RETENTION);
        self.unlisted
            .take_if(|(.., last)| now.since(*last) >= UNLISTED_RETENTION);
        let is_behind = self
            .unlisted
            .is_some_and(|(_, first, _)| now.since(first) >= BEHIND_AFTER);
        for target in self.targets.values_mut() {
            if target.pause.is_active(now) {
                target.doubt_warm(now, Cause::Paused);
            }
            if is_behind {
                target.doubt_warm(now, Cause::Behind);
            }
        }
    }

    /// Reports whether a run of a target still takes a request that this router decided to send it, to be asked when
    /// the request is about to be written. What took too long until then is not sent to a cold target.
    pub fn admits(&mut self, now: Time, number: u64, run: &catalog::Run) -> bool {
        if !self.accepts(now, run) {
            return false;
        }
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return true;
        };
        let mut attempt = attempt;
        if attempt.estimate.target != run.target {
            // The request was moved while it was on its way to its former target.
            let Some(previous) = &mut attempt.previous else {
                return true;
            };
            attempt = previous;
        }
        let target = self.targets.get(&run.target);
        let warm_up = target.and_then(|target| target.warm_up.as_ref());
        let is_allowed = warm_up.is_none_or(|warm_up| warm_up.allows_write(now, attempt.sent));
        attempt.is_withheld = !is_allowed;
        is_allowed
    }

    /// Returns the keys of the targets with a warm-up that this router can't reach, which others treat as cold then. None
    /// if there are too many: the fault is this router's own, or that of its link.
    pub(super) fn unreachable(&self, now: Time) -> BTreeSet<u64> {
        let targets = self.targets.values();
        let targets = targets.filter_map(|target| Some((target.key, target.warm_up.as_ref()?)));
        let unreachable = targets
            .clone()
            .filter(|(_, warm_up)| warm_up.is_unreachable(now));
        let unreachable: BTreeSet<u64> = unreachable.map(|(key, _)| key).collect();
        let is_own_fault = unreachable.len() * 100 > targets.count() * MAX_UNREACHABLE_PERCENT;
        if is_own_fault {
            BTreeSet::new()
        } else {
            unreachable
        }
    }

    /// Returns the probes that are to be sent now.
    pub fn take_probes(&mut self, now: Time) -> Vec<Probe> {
        let services = &self.routing.services;
        let targets = self.targets.values_mut();
        let probes = targets.filter_map(|target| {
            let service = services.get(&target.entry.service)?;
            let path = service.health_path.clone()?;
            let accepts = target.accepts(now);
            let warm_up = target.warm_up.as_mut()?;
            let is_due = accepts && warm_up.take_probe(now);
            is_due.then(|| Probe {
                target: target.entry.clone(),
                path,
                sent: now,
            })
        });
        probes.collect()
    }

    /// Records what the health response of a target says of the time for which it stays cold, if it says that; `None` if there
    /// was no response.
    pub(super) fn record_probe(
        &mut self,
        now: Time,
        run: &catalog::Run,
        asked: Time,
        response: Option<Option<Span>>,
    ) {
        let key = key_of_run(run);
        let target = self.targets.get_mut(&run.target);
        let target = target.filter(|target| target.key == key);
        let Some(warm_up) = target.and_then(|target| target.warm_up.as_mut()) else {
            return;
        };
        match response {
            Some(Some(left)) => warm_up.read_probe(now, asked, left),
            Some(None) => warm_up.record_reached(now),
            None => warm_up.doubt(now, Cause::Unreachable),
        }
    }

    /// Returns the targets that turned cold or warm since the last call.
    pub fn take_warm_ups(&mut self, now: Time) -> Vec<Warming> {
        let targets = self.targets.values_mut();
        let changes = targets.filter_map(|target| {
            let warm_up = target.warm_up.as_mut()?;
            let cold = warm_up.take_change(now)?;
            Some(Warming {
                target: target.entry.name.clone(),
                cold,
            })
        });
        changes.collect()
    }

    /// Returns the number of targets that are treated as cold.
    pub fn cold_targets(&self, now: Time) -> usize {
        let targets = self.targets.values();
        targets.filter(|target| target.is_cold(now)).count()
    }

    /// Returns the requests per second that all routers together send to a target, if that is limited.
    pub(super) fn limit_of(&self, now: Time, target: &Target) -> Option<f64> {
        let named = self.limits.get(target.key).map(|limit| limit.per_s());
        let warm_up = target.warm_up.as_ref();
        let cold = warm_up.and_then(|warm_up| warm_up.limit_per_s(now));
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }
}
