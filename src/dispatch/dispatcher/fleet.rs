//! Changes of the targets, the configuration and the other routers.

use super::{Baseline, Dispatcher, Peer, Target, Topology, limit::apply_limit};
use crate::{
    catalog,
    dispatch::{Action, Cause, View, target::key_of},
    gossip::{self, Scope},
    id,
    placement::mix,
    routing,
    unit::{Span, Time},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Time without a summary after which another router's load is dropped. Either the router stopped
/// and its requests ended with it, or it is cut off and its load is unknown.
const PEER_TIMEOUT: Span = Span::from_millis(1_500);
/// Percentage of a target's connections that all routers use together. The rest is a margin,
/// because the number of known routers lags behind, and a target may count a closed connection for
/// a while.
const USED_CONNECTIONS_PERCENT: u32 = 80;

impl Dispatcher {
    pub(super) fn set_targets(
        &mut self,
        now: Time,
        entries: BTreeMap<id::Target, catalog::Target>,
        out: &mut Vec<Action>,
    ) {
        let mut old = std::mem::take(&mut self.targets);
        let mut ended = Vec::new();
        for (name, entry) in entries {
            let mut known = old.remove(&name);
            let is_restarted = |t: &mut Target| t.entry.started_at_ms != entry.started_at_ms;
            let previous = known.take_if(is_restarted);
            let mut target = match known {
                Some(mut target) => {
                    if target.entry != entry
                        && let Some(warm_up) = &mut target.warm_up
                    {
                        warm_up.read_entry(now, entry.warm_up);
                    }
                    target.entry = entry;
                    target
                }
                None => self.new_target(now, entry),
            };
            if let Some(previous) = previous {
                if let (Some(new), Some(old)) = (&mut target.warm_up, &previous.warm_up) {
                    new.keep_sent(old);
                }
                ended.push(previous);
            }
            target.announced_leaving = self.notices.is_leaving(&target.entry);
            self.apply_domain(&mut target);
            let known = self.limits.known(target.key);
            apply_limit(now, &mut target, known, self.key);
            self.targets.insert(name, target);
        }
        for target in &ended {
            self.record_former(now, target.key);
        }
        for target in old.into_values() {
            self.record_former(now, target.key);
            self.notices
                .keep_pause(now, (&target.entry).into(), target.pause);
            ended.push(target);
        }
        self.refresh_builds(now);
        let targets = self.targets.iter();
        self.names = targets.map(|(name, t)| (t.key, name.clone())).collect();
        self.rank_for_warm_ups(now);
        self.end_behind();
        self.revise_queues(now, out);
        // A target that restarted or is gone after its connections ended has crashed.
        for mut target in ended {
            if let Some(breakage) = target.breakage.take() {
                let named = (target.key, target.software());
                self.confirm_crash(now, &target.entry.name, named, breakage, out);
            }
        }
    }

    fn new_target(&mut self, now: Time, entry: catalog::Target) -> Target {
        let pause = self.notices.take_pause(&(&entry).into());
        let service = self.routing.services.get(&entry.service);
        let engine = service.and_then(|service| service.engine);
        let max_own_running = self.max_own_running(service.map(Arc::as_ref), key_of(&entry));
        let warm_up = self.new_warm_up(now, &entry);
        let mut target = Target::new(entry, engine, max_own_running);
        target.warm_up = warm_up;
        target.pause = pause;
        target.max_pause = self.max_pauses.get(&target.entry.service).copied();
        let loads = self.peers.values();
        let loads = loads.filter_map(|peer| peer.loads.get(&target.key));
        target.others = loads.fold(View::default(), |sum, load| sum.plus(load.into()));
        target
    }

    /// Returns this router's part of the connections of one target. What can't be divided evenly goes to some of
    /// the routers, which differ between targets.
    fn max_own_running(&self, service: Option<&routing::Service>, target: u64) -> u32 {
        let router_count = self.fleet_size();
        let all = service.map_or(u32::MAX, |service| service.max_connections);
        let used =
            all / 100 * USED_CONNECTIONS_PERCENT + all % 100 * USED_CONNECTIONS_PERCENT / 100;
        let draw = mix(target ^ self.key) % u64::from(router_count);
        let is_drawn = draw < u64::from(used % router_count);
        (used / router_count + u32::from(is_drawn)).max(1)
    }

    pub(super) fn set_routing(
        &mut self,
        now: Time,
        table: Arc<routing::Table>,
        out: &mut Vec<Action>,
    ) {
        self.share.set_capacity(table.limits.tokens_per_s);
        let services = table.services.keys();
        let max_pauses = services.filter_map(|name| Some((name.clone(), table.max_pause(name)?)));
        self.max_pauses = max_pauses.collect();
        self.routing = table;
        self.divide_limits();
        self.configure_warm_ups(now);
        self.configure_cache_events();
        let entries = self.targets.values();
        let entries = entries.map(|t| (t.entry.name.clone(), t.entry.clone()));
        let entries = entries.collect();
        self.set_targets(now, entries, out);
    }

    /// Divides the connections and the retry budget among the known routers.
    pub(super) fn divide_limits(&mut self) {
        let mut targets = std::mem::take(&mut self.targets);
        for target in targets.values_mut() {
            let service = self.routing.services.get(&target.entry.service);
            target.engine = service.and_then(|service| service.engine);
            target.max_pause = self.max_pauses.get(&target.entry.service).copied();
            target.max_own_running = self.max_own_running(service.map(Arc::as_ref), target.key);
        }
        self.targets = targets;
        let router_count = self.fleet_size();
        let extra = self.settings.retry_extra;
        let budgets = self.budgets.values_mut();
        budgets.for_each(|budget| budget.divide(extra, router_count));
    }

    /// Sets the routers that this one may follow, the other leading routers, and those of its
    /// failure domain.
    pub(super) fn set_roster(
        &mut self,
        now: Time,
        candidates: Vec<id::Router>,
        leaders: Vec<id::Router>,
        neighbors: Vec<id::Router>,
    ) {
        self.change_topology(now, |topology| {
            topology.set(now, candidates, leaders, neighbors);
        });
    }

    /// Follows another router if the followed one is silent.
    pub(super) fn tick_topology(&mut self, now: Time) {
        self.change_topology(now, |topology| topology.tick(now));
    }

    /// Changes the topology. If that changes which router this one follows, the former recipients
    /// are informed, and everything is sent to the new ones.
    fn change_topology(&mut self, now: Time, change: impl FnOnce(&mut Topology)) {
        let before = self.topology.followed().cloned();
        let recipients = self.recipients();
        change(&mut self.topology);
        let after = self.topology.followed();
        if before.as_ref() == after {
            return;
        }
        if after.is_none() {
            // From now on, this router adds up the loads of all groups itself.
            if self.topology.is_isolated() {
                self.record_all_departed(now, |peer| peer.scope == Scope::Rest);
            }
            self.drop_peers(|peer| peer.scope == Scope::Rest);
        }
        // Those that the router before gave are no longer this one's.
        self.limits.clear_quotas();
        self.former_recipients.push(recipients);
        if before.is_none() {
            let followers = self.followers();
            self.drop_peers(Peer::is_follower);
            self.former_recipients.push((Scope::Rest, followers));
        }
        self.baseline = Baseline::default();
    }

    /// Returns the number of known routers, including this one.
    pub(super) fn router_count(&self) -> u32 {
        1 + self
            .peers
            .values()
            .map(|peer| peer.router_count)
            .sum::<u32>()
    }

    /// Returns the number of routers that divide what a target or a service allows: those that are listed count even if
    /// they aren't heard, since they may be on the other side of a cut.
    pub(super) fn fleet_size(&self) -> u32 {
        let listed = self.listed_routers.unwrap_or_default() as u32;
        self.router_count().max(listed + 1)
    }

    /// Reports whether a summary applies to this router's role: a follower takes all loads from the
    /// router that it follows; any other router takes them from leading routers and its own
    /// followers. Each load is then counted once.
    fn is_relevant(&self, summary: &gossip::Summary) -> bool {
        match (summary.scope, self.topology.followed()) {
            (Scope::Rest, followed) => followed == Some(&summary.router),
            (Scope::Group | Scope::Follower, followed) => followed.is_none(),
            (Scope::Probe | Scope::Alive, _) => false,
        }
    }

    pub(super) fn receive(&mut self, now: Time, summary: &gossip::Summary, out: &mut Vec<Action>) {
        if summary.router == self.settings.router {
            return;
        }
        self.record_router(now, &summary.router);
        self.record_builds(now, summary);
        // Where streams began holds whatever the sender's role, and also if it leaves.
        self.record_origins(now, summary, out);
        self.record_findings(now, summary, out);
        // What targets said holds, too; which part of it this router may use depends on the sender's role.
        self.receive_limits(now, summary, out);
        self.receive_pauses(now, summary, out);
        if !self.is_relevant(summary) {
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
                self.change_topology(now, |topology| topology.switch(now));
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
            let mut peer = Peer::new(summary, now);
            peer.untold = self.untold_for(&summary.router, summary.scope);
            self.peers.insert(summary.router.clone(), peer);
            self.hazards.announce_all();
            self.baseline.forget_limits();
            self.departed.retain(|d| d.router != summary.router);
            self.divide_limits();
        }
        if summary.scope == Scope::Rest {
            self.topology.record_followed(now);
        } else if summary.scope == Scope::Group {
            self.change_topology(now, |topology| topology.rejoin(now, &summary.router));
        }
        self.apply(now, summary);
        if summary.loads.is_empty() {
            return;
        }
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.send_queued(now, &service, out);
        }
    }

    /// Applies a summary of a known router.
    fn apply(&mut self, now: Time, summary: &gossip::Summary) {
        self.note_unlisted(now, summary);
        let Some(peer) = self.peers.get_mut(&summary.router) else {
            return;
        };
        peer.sequence = summary.sequence;
        peer.last_heard = now;
        peer.reported_age = summary.age;
        peer.version = peer.version.max(summary.version);
        peer.crowded_permille = summary.crowded_permille;
        peer.demand = summary.demand;
        let changed = peer.router_count != summary.router_count;
        peer.router_count = summary.router_count;
        for load in &summary.loads {
            let (before, after) = peer.set_load(load);
            let target = self.names.get(&load.target);
            if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
                target.others = replace(target.others, before, after);
                if load.suspect {
                    target.suspected_at = Some(now);
                    target.doubt_warm(now, Cause::Suspected);
                }
            }
        }
        let mut granted = 0;
        for usage in &summary.usages {
            let tokens = peer.set_usage(usage);
            self.share
                .add(usage.workspace, tokens.requested, tokens.granted);
            let account = self.accounts.entry(usage.workspace).or_default();
            account.add(now, &summary.router, peer.is_follower(), tokens);
            granted += tokens.granted;
        }
        self.count_unshared(granted);
        for prefill in &summary.prefills {
            if prefill.evicted {
                self.apply_reported_eviction(now, prefill);
                continue;
            }
            self.record_reported_part(now, prefill);
            let target = self.names.get(&prefill.target);
            if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
                let memory = target.engine.map_or(0, |engine| engine.memory_tokens);
                target.cache.report(now, prefill, memory);
            }
        }
        if summary.scope != Scope::Rest {
            let prefills = summary.prefills.iter();
            let prefills = prefills.map(|prefill| (Some(summary.router.clone()), *prefill));
            self.prefills.extend(prefills);
        }
        if changed {
            self.divide_limits();
        }
        if summary.scope == Scope::Rest {
            self.receive_quotas(now, summary);
        }
    }

    /// Drops routers with the loads that they reported.
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
                let target = self.names.get(&load.target);
                if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
                    target.others = replace(target.others, load.into(), View::default());
                }
            }
        }
        if self.peers.len() != known {
            self.divide_limits();
        }
    }

    pub(super) fn drop_silent_peers(&mut self, now: Time) {
        let is_silent = |peer: &Peer| now.since(peer.last_heard) >= PEER_TIMEOUT;
        self.record_all_departed(now, is_silent);
        self.drop_peers(is_silent);
    }

    /// Keeps the parts of limits of some routers for them, since they may be cut off.
    fn record_all_departed(&mut self, now: Time, is_departed: impl Fn(&Peer) -> bool) {
        let departed = self.peers.iter().filter(|(_, peer)| is_departed(peer));
        let departed: Vec<(id::Router, Peer)> = departed
            .map(|(name, peer)| (name.clone(), peer.clone()))
            .collect();
        for (name, peer) in departed {
            self.record_departed(now, &name, &peer);
        }
    }

    /// Returns the age of the oldest report that is taken into account.
    pub(super) fn view_age(&self, now: Time) -> Span {
        let ages = self.peers.values().map(|peer| peer.age(now));
        ages.max().unwrap_or_default()
    }

    /// Returns the loads of all targets: the part of this router, and that of the others.
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
