//! Limits that targets name in their responses: who knows them, and which part of them this router and its
//! followers may use.
//!
//! A limit is one number for all routers. Leading routers agree on the part of each group, as they know the same
//! demands; the leader of a group divides its part among its followers.

use super::{Dispatcher, MEAN_COST_WEIGHT, Peer};
use crate::{
    catalog,
    dispatch::{
        Action, Limited, Request,
        allowance::Allowance,
        departed::Departed,
        limit::Source,
        member::Member,
        quota::Quota,
        reading::Reading,
        target::{Target, key_of_run},
    },
    gossip::{self, Scope},
    id,
    placement::{hash, mix},
    unit::{Rate, Span, Time},
};
use std::collections::HashMap;

/// Time after its start in which a router that follows no other one uses no limit: it doesn't know all others yet.
const START_SPAN: Span = Span::from_secs(1);
/// Time for which the part of a router that fell silent is kept for it: longer than most partitions and
/// restarts last.
const DEPARTED_RETENTION: Span = Span::from_secs(10);
/// Time after which a part within a group passes to another router of it, so that callers of each get a turn.
const ROTATION_SPAN: Span = Span::from_secs(30);
/// Time for which routers tell others that a limit has ended.
const ENDED_SPAN: Span = Span::from_secs(3);
/// Time over which the demand of this router is averaged.
const DEMAND_SPAN: Span = Span::from_secs(1);
/// Range of the ratio of the demand to what was last reported, within which that stays: parts should not change
/// with every request.
const STEADY_DEMAND: (f64, f64) = (0.6, 1.6);
/// Work that a request has to save engines without a limit, as a multiple of the mean, to use the credit of a
/// limited one while no credit is saved up: the limit is in requests, so that large ones gain most.
const MIN_RELIEF: f64 = 2.0;

impl Dispatcher {
    /// Records what the response to a request that was sent at a time said of its target's limit.
    pub(super) fn record_limit(
        &mut self,
        now: Time,
        number: u64,
        run: &catalog::Run,
        (sent, limit): (Time, Option<Rate>),
        out: &mut Vec<Action>,
    ) {
        let reading = Reading {
            limit,
            sent,
            received: now,
        };
        let target = key_of_run(run);
        if self.limits.record(target, reading, Source::Own) {
            out.push(Action::TargetLimited {
                target: run.target.clone(),
                limit,
                request: Some(number),
                router: None,
            });
            self.assign_quotas(now);
        }
    }

    /// Records the limits that another router reported.
    pub(super) fn receive_limits(
        &mut self,
        now: Time,
        summary: &gossip::Summary,
        out: &mut Vec<Action>,
    ) {
        let source = match summary.scope {
            Scope::Follower => Source::Follower,
            Scope::Group | Scope::Rest | Scope::Probe | Scope::Alive => Source::Other,
        };
        let mut is_changed = false;
        for reported in &summary.limits {
            let before = |age: Span| Time(now.0.saturating_sub(age.0));
            let reading = Reading {
                limit: reported.limit,
                sent: before(reported.sent_age),
                received: before(reported.age),
            };
            if !self.limits.record(reported.target, reading, source) {
                continue;
            }
            is_changed = true;
            if let Some(name) = self.names.get(&reported.target) {
                out.push(Action::TargetLimited {
                    target: name.clone(),
                    limit: reported.limit,
                    request: None,
                    router: Some(summary.router.clone()),
                });
            }
        }
        if is_changed {
            self.assign_quotas(now);
        }
    }

    /// Records the parts of limits that the followed router gave this one.
    pub(super) fn receive_quotas(&mut self, now: Time, summary: &gossip::Summary) {
        for reported in &summary.limits {
            let quota = Quota {
                per_s: reported.quota.per_s(),
                slots: reported.slots.into(),
            };
            self.limits.set_quota(reported.target, quota);
        }
        self.apply_limits(now);
    }

    /// Counts a request that a target is sought for.
    pub(super) fn record_sought(&mut self, now: Time, request: &Request) {
        self.demand.add(now, DEMAND_SPAN, 1);
        if let Some(work) = self.work_elsewhere(now, request) {
            let weight = if self.mean_work > 0.0 {
                MEAN_COST_WEIGHT
            } else {
                1.0
            };
            self.mean_work += weight * (work as f64 - self.mean_work);
        }
    }

    /// Returns the requests per second that targets are sought for at this router.
    pub(super) fn own_demand(&self, now: Time) -> f64 {
        self.demand.rate(now, DEMAND_SPAN)
    }

    /// Returns the requests per second that targets are sought for at this router and its followers.
    pub(super) fn group_demand(&self) -> u32 {
        let followers = self.peers.values().filter(|peer| peer.is_follower());
        let demands = followers.map(|peer| peer.demand);
        demands.fold(self.reported_demand, u32::saturating_add)
    }

    /// Returns the same at all routers.
    pub(super) fn fleet_demand(&self) -> u32 {
        let demands = self.peers.values().map(|peer| peer.demand);
        demands.fold(self.reported_demand, u32::saturating_add)
    }

    /// Updates the demand that is reported, and divides the limits by the demands that are known.
    pub(super) fn refresh_limits(&mut self, now: Time) {
        let demand = self.demand.rate(now, DEMAND_SPAN);
        let ratio = demand / f64::from(self.reported_demand);
        if !(STEADY_DEMAND.0..=STEADY_DEMAND.1).contains(&ratio) {
            self.reported_demand = demand.round() as u32;
        }
        self.departed.retain(|departed| departed.until > now);
        self.assign_quotas(now);
    }

    /// Divides the limits among this router and its followers. A router that follows another one gets its parts
    /// from that.
    fn assign_quotas(&mut self, now: Time) {
        if self.topology.followed().is_none() {
            let groups = self.groups();
            let mut routers = vec![Member {
                key: self.key,
                demand: self.reported_demand,
            }];
            let followers: Vec<id::Router> = self.followers();
            routers.extend(followers.iter().map(|name| Member {
                key: hash(name.as_str()),
                demand: self.peers.get(name).map_or(0, |peer| peer.demand),
            }));
            let is_settled = now.since(self.opened) >= START_SPAN;
            for (target, quota) in self.group_quotas(&groups) {
                let quota = if is_settled { quota } else { Quota::default() };
                let turn = (now.0 + target % ROTATION_SPAN.0) / ROTATION_SPAN.0;
                let parts = quota.divide(target ^ mix(turn), &routers);
                let mut parts = parts.into_iter();
                self.limits
                    .set_quota(target, parts.next().unwrap_or_default());
                for (name, part) in followers.iter().zip(parts) {
                    if let Some(peer) = self.peers.get_mut(name) {
                        peer.quotas.insert(target, part);
                    }
                }
            }
        }
        self.apply_limits(now);
    }

    /// Returns the part of each limit that this router's group may use.
    fn group_quotas(&self, groups: &[Member]) -> HashMap<u64, Quota> {
        let limits = self.limits.iter();
        let quotas = limits.filter_map(|(target, known)| {
            let whole = Quota::whole(known.reading.limit?);
            Some((target, *whole.divide(target, groups).first()?))
        });
        quotas.collect()
    }

    /// Returns the groups that limits are divided among, this router's own first.
    fn groups(&self) -> Vec<Member> {
        let own = Member {
            key: self.key,
            demand: self.group_demand(),
        };
        let peers = self.peers.iter();
        let leading = peers.filter(|(_, peer)| peer.scope == Scope::Group);
        let leading = leading.map(|(name, peer)| (name, peer.demand));
        let departed = self.departed.iter();
        let departed = departed.map(|departed| (&departed.router, departed.demand));
        let others = leading.chain(departed).map(|(name, demand)| Member {
            key: hash(name.as_str()),
            demand,
        });
        [own].into_iter().chain(others).collect()
    }

    /// Keeps the part of a router that fell silent, or of all others if it was followed.
    pub(super) fn record_departed(&mut self, now: Time, router: &id::Router, peer: &Peer) {
        if peer.is_follower() {
            return;
        }
        self.departed.retain(|departed| departed.router != *router);
        self.departed.push(Departed {
            router: router.clone(),
            demand: peer.demand,
            until: now + DEPARTED_RETENTION,
        });
    }

    /// Applies the limits, and this router's parts of them, to the listed targets.
    fn apply_limits(&mut self, now: Time) {
        for target in self.targets.values_mut() {
            let known = self.limits.known(target.key);
            apply_limit(now, target, known, self.key);
        }
    }

    /// Returns the tokens that the engine without a limit which has most of a prompt cached would have to process;
    /// `None` for requests without a prompt, if there is no such engine, or while no target has a limit.
    pub(super) fn work_elsewhere(&self, now: Time, request: &Request) -> Option<u64> {
        let prompt = request.prompt.as_ref()?;
        if !self.limits.any() {
            return None;
        }
        let others = self.staying(request);
        let others = others.filter(|target| target.allowance.is_none() && target.accepts(now));
        let uncached = others.map(|target| target.uncached_tokens(request)).min()?;
        Some(uncached + prompt.cost() - u64::from(prompt.tokens))
    }

    /// Reports whether a request may find out whether a target takes requests again, if that takes hardly any.
    pub(super) fn may_try(&self, target: &Target, request: &Request) -> bool {
        let limit = self.limits.get(target.key);
        !limit.is_some_and(Quota::is_trial) || request.kind.is_repeatable()
    }

    /// Reports whether a request may use the credit of a target, if that is limited. `work_elsewhere` is the work
    /// that it would be for an engine without a limit.
    pub(super) fn may_use_credit(
        &self,
        now: Time,
        target: &Target,
        request: &Request,
        work_elsewhere: Option<u64>,
    ) -> bool {
        let Some(allowance) = &target.allowance else {
            return true;
        };
        if !self.may_try(target, request) {
            return false;
        }
        let (Some(prompt), Some(work)) = (&request.prompt, work_elsewhere) else {
            return true;
        };
        // Parts that other requests share would be processed again.
        let unshared = prompt.parts.last().map_or(0, |part| part.tokens);
        let again = target
            .uncached_tokens(request)
            .saturating_sub(unshared.into());
        let relief = work.saturating_sub(again);
        relief as f64 >= MIN_RELIEF * self.mean_work * allowance.scarcity(now)
    }

    /// Returns what is known of limits, for routers that this one sends its own and its followers' load to.
    pub(super) fn group_limits(&self, now: Time, scope: Scope) -> Vec<gossip::Limit> {
        self.reported_limits(now, None, |source| match scope {
            Scope::Follower => source == Source::Own,
            Scope::Group | Scope::Rest | Scope::Probe | Scope::Alive => source != Source::Other,
        })
    }

    /// Returns what is known of limits, with the parts that a follower may use.
    pub(super) fn limits_for(&self, now: Time, follower: &Peer) -> Vec<gossip::Limit> {
        self.reported_limits(now, Some(follower), |_| true)
    }

    fn reported_limits(
        &self,
        now: Time,
        follower: Option<&Peer>,
        is_selected: impl Fn(Source) -> bool,
    ) -> Vec<gossip::Limit> {
        let known = self.limits.iter().filter(|(_, known)| {
            let is_ended = known.reading.limit.is_none();
            let is_told = is_ended && now.since(known.reading.received) >= ENDED_SPAN;
            is_selected(known.source) && !is_told
        });
        let reported = known.map(|(target, known)| {
            let quota = follower.and_then(|peer| peer.quotas.get(&target));
            let quota = quota.copied().unwrap_or_default();
            gossip::Limit {
                target,
                limit: known.reading.limit,
                sent_age: now.since(known.reading.sent),
                age: now.since(known.reading.received),
                quota: Rate::from_millis((quota.per_s * 1e3) as u32),
                slots: u16::try_from(quota.slots).unwrap_or(u16::MAX),
            }
        });
        reported.collect()
    }

    /// Returns what was sent to each target with a limit since the last call.
    pub fn take_limited(&mut self) -> Vec<Limited> {
        let names = &self.names;
        let limited = self
            .limits
            .take_sent()
            .filter(|(_, _, quota, sent)| *sent > 0 || quota.per_s > 0.0)
            .filter_map(|(target, limit, quota, sent)| {
                Some(Limited {
                    target: names.get(&target)?.clone(),
                    limit,
                    quota: Rate::from_millis((quota.per_s * 1e3) as u32),
                    sent,
                })
            });
        limited.collect()
    }
}

/// Applies what is known of a target's limit. Once a limit has ended, the load returns in steps.
pub(super) fn apply_limit(
    now: Time,
    target: &mut Target,
    known: Option<(Rate, Quota)>,
    router: u64,
) {
    let Some((_, quota)) = known else {
        if target.allowance.take().is_some() {
            target.pause.return_in_steps(now);
        }
        return;
    };
    let credit = (mix(target.key ^ router) >> 11) as f64 / (1_u64 << 53) as f64;
    let allowance = target
        .allowance
        .get_or_insert_with(|| Allowance::open(now, credit));
    if allowance.per_s() != quota.per_s {
        allowance.set_rate(now, quota.per_s);
    }
}
