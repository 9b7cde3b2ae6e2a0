//! The targets, the configuration and the other routers.

use super::{Circle, Dispatcher, Ledger, Peer, Target};
use crate::{
    catalog,
    dispatch::{Action, Audience, View},
    gossip::{self, Scope},
    id, routing,
    unit::{Span, Time},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Time after which a router that was not heard of counts for nothing. Its requests end with it, or
/// it is cut off and its load no longer known.
const PEER_SILENCE: Span = Span::from_millis(1_500);
/// Part of a target's connections that the routers use together, in percent: the list of routers
/// lags, and a connection that was closed may count at the target for a while.
const CONNECTIONS_PERCENT: u32 = 80;

impl Dispatcher {
    pub(super) fn set_targets(
        &mut self,
        now: Time,
        entries: BTreeMap<id::Target, catalog::Target>,
        out: &mut Vec<Action>,
    ) {
        let mut old = std::mem::take(&mut self.targets);
        for (name, entry) in entries {
            let known = old
                .remove(&name)
                .filter(|t| t.entry.started_at_ms == entry.started_at_ms);
            let target = match known {
                Some(mut target) => {
                    target.entry = entry;
                    target
                }
                None => self.new_target(entry),
            };
            self.targets.insert(name, target);
        }
        let keys = self.targets.iter();
        self.keys = keys.map(|(name, t)| (t.key, name.clone())).collect();
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.serve(now, &service, out);
        }
    }

    fn new_target(&self, entry: catalog::Target) -> Target {
        let service = self.routing.services.get(&entry.service);
        let engine = service.and_then(|service| service.engine);
        let mut target = Target::new(entry, engine, self.own_limit(service.map(Arc::as_ref)));
        let loads = self.peers.values();
        let loads = loads.filter_map(|peer| peer.loads.get(&target.key));
        target.others = loads.fold(View::default(), |sum, load| sum.plus(load.into()));
        target
    }

    /// Returns this router's part of the connections of one target.
    fn own_limit(&self, service: Option<&routing::Service>) -> u32 {
        let routers = self.routers();
        let all = service.map_or(u32::MAX, |service| service.max_connections);
        (all / 100 * CONNECTIONS_PERCENT + all % 100 * CONNECTIONS_PERCENT / 100)
            .div_ceil(routers)
            .max(1)
    }

    pub(super) fn set_routing(
        &mut self,
        now: Time,
        table: Arc<routing::Table>,
        out: &mut Vec<Action>,
    ) {
        self.share.set_capacity(table.limits.tokens_per_s);
        self.routing = table;
        self.spread_limits();
        let entries = self.targets.values();
        let entries = entries.map(|t| (t.entry.name.clone(), t.entry.clone()));
        let entries = entries.collect();
        self.set_targets(now, entries, out);
    }

    /// Shares connections and the budget of repeats among the routers that are known now.
    fn spread_limits(&mut self) {
        let mut targets = std::mem::take(&mut self.targets);
        for target in targets.values_mut() {
            let service = self.routing.services.get(&target.entry.service);
            target.engine = service.and_then(|service| service.engine);
            target.own_limit = self.own_limit(service.map(Arc::as_ref));
        }
        self.targets = targets;
        let routers = self.routers();
        let burst = self.settings.repeat_extra / routers;
        self.budgets.values_mut().for_each(|b| b.limit(burst));
    }

    /// Takes the routers that may be followed and those that lead.
    pub(super) fn set_roster(
        &mut self,
        now: Time,
        candidates: Vec<id::Router>,
        leaders: Vec<id::Router>,
    ) {
        self.change_circle(|circle| circle.set(now, candidates, leaders));
    }

    /// Follows another router if the one that was followed is silent.
    pub(super) fn keep_circle(&mut self, now: Time) {
        self.change_circle(|circle| circle.tick(now));
    }

    fn change_circle(&mut self, change: impl FnOnce(&mut Circle)) {
        let before = self.circle.followed().cloned();
        let audience = self.audience();
        change(&mut self.circle);
        let after = self.circle.followed();
        if before.as_ref() == after {
            return;
        }
        if after.is_none() {
            // From now on the loads of groups are added up here.
            self.drop_peers(|peer| peer.scope == Scope::Rest);
        }
        self.farewells.push(audience);
        if before.is_none() {
            let followers = self.followers();
            self.drop_peers(Peer::follows);
            let followers = (Scope::Rest, Audience::Routers(followers));
            self.farewells.push(followers);
        }
        self.ledger = Ledger::default();
        self.told_all = Time::default();
    }

    /// Returns the number of known routers, this one with them.
    pub(super) fn routers(&self) -> u32 {
        1 + self.peers.values().map(|peer| peer.routers).sum::<u32>()
    }

    /// Reports whether a summary is for what this router is at present: one that follows another
    /// hears all loads from that one, and others hear each load from one router.
    fn is_for_this(&self, summary: &gossip::Summary) -> bool {
        match (summary.scope, self.circle.followed()) {
            (Scope::Rest, followed) => followed == Some(&summary.router),
            (Scope::Group | Scope::Follower, followed) => followed.is_none(),
        }
    }

    pub(super) fn hear(&mut self, now: Time, summary: &gossip::Summary, out: &mut Vec<Action>) {
        if summary.router == self.settings.router || !self.is_for_this(summary) {
            return;
        }
        let known = self.peers.get(&summary.router);
        if known.is_some_and(|peer| {
            peer.incarnation > summary.incarnation
                || (peer.incarnation == summary.incarnation && peer.sequence >= summary.sequence)
        }) {
            return;
        }
        if summary.leaving {
            self.drop_peers_named(std::slice::from_ref(&summary.router));
            if summary.scope == Scope::Rest {
                self.change_circle(|circle| circle.leave(now));
            }
            return;
        }
        if known.is_none_or(|peer| {
            peer.incarnation < summary.incarnation || peer.scope != summary.scope
        }) {
            if summary.scope == Scope::Rest {
                self.drop_peers(|_| true);
            } else {
                self.drop_peers_named(std::slice::from_ref(&summary.router));
            }
            let peer = Peer::new(summary, now);
            self.peers.insert(summary.router.clone(), peer);
            self.spread_limits();
        }
        if summary.scope == Scope::Rest {
            self.circle.hear_followed(now);
        } else if summary.scope == Scope::Group {
            self.change_circle(|circle| circle.hear_group(now, &summary.router));
        }
        self.take(now, summary);
        if summary.loads.is_empty() {
            return;
        }
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.serve(now, &service, out);
        }
    }

    /// Takes what a known router told.
    fn take(&mut self, now: Time, summary: &gossip::Summary) {
        let Some(peer) = self.peers.get_mut(&summary.router) else {
            return;
        };
        peer.sequence = summary.sequence;
        peer.heard = now;
        peer.age = summary.age;
        peer.version = peer.version.max(summary.version);
        let more_routers = peer.routers != summary.routers;
        peer.routers = summary.routers;
        for load in &summary.loads {
            let (before, after) = peer.take_load(load);
            let target = self.keys.get(&load.target);
            if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
                target.others = replace(target.others, before, after);
                if load.suspect {
                    target.suspected = Some(now);
                }
            }
        }
        for usage in &summary.usages {
            let count = peer.take_usage(usage);
            self.share.add(usage.workspace, count.asked, count.granted);
            let account = self.accounts.entry(usage.workspace).or_default();
            account.add(&summary.router, peer.follows(), count);
        }
        for read in &summary.reads {
            let target = self.keys.get(&read.target);
            if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
                let memory = target.engine.map_or(0, |engine| engine.memory_tokens);
                target.cache.touch(read.part, read.tokens, memory);
            }
        }
        if summary.scope != Scope::Rest {
            let reads = summary.reads.iter();
            let reads = reads.map(|read| (Some(summary.router.clone()), *read));
            self.reads.extend(reads);
        }
        if more_routers {
            self.spread_limits();
        }
    }

    /// Forgets what routers told.
    fn drop_peers(&mut self, is_dropped: impl Fn(&Peer) -> bool) {
        let dropped = self.peers.iter().filter(|(_, peer)| is_dropped(peer));
        let dropped: Vec<id::Router> = dropped.map(|(router, _)| router.clone()).collect();
        self.drop_peers_named(&dropped);
    }

    fn drop_peers_named(&mut self, routers: &[id::Router]) {
        let known = self.peers.len();
        for router in routers {
            let Some(peer) = self.peers.remove(router) else {
                continue;
            };
            for load in peer.loads.values() {
                let target = self.keys.get(&load.target);
                if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
                    target.others = replace(target.others, load.into(), View::default());
                }
            }
        }
        if self.peers.len() != known {
            self.spread_limits();
        }
    }

    pub(super) fn drop_silent_peers(&mut self, now: Time) {
        self.drop_peers(|peer| now.since(peer.heard) >= PEER_SILENCE);
    }

    /// Returns the age of the oldest report that counts.
    pub(super) fn view_age(&self, now: Time) -> Span {
        let ages = self.peers.values().map(|peer| peer.age(now));
        ages.max().unwrap_or_default()
    }

    /// Returns the loads of all targets, this router's part and the others'.
    pub fn views(&self) -> HashMap<id::Target, (View, View)> {
        let targets = self.targets.iter();
        targets
            .map(|(name, target)| (name.clone(), (target.own, target.others)))
            .collect()
    }
}

/// Returns a sum of views in which one part is replaced.
fn replace(sum: View, before: View, after: View) -> View {
    View {
        running: (sum.running + after.running).saturating_sub(before.running),
        backlog: (sum.backlog + after.backlog).saturating_sub(before.backlog),
        memory: (sum.memory + after.memory).saturating_sub(before.memory),
    }
}
