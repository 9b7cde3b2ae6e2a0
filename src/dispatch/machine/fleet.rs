//! The targets, the configuration and the other routers.

use super::{Dispatcher, Peer, Target};
use crate::{
    catalog,
    dispatch::{Action, View},
    gossip, id, routing,
    unit::{Span, Time},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Time after which a router that was not heard of counts for nothing. Its requests end with it, or
/// it is cut off and its load no longer known.
const PEER_SILENCE: Span = Span::from_millis(1_500);
/// Period in which everything is told again, since datagrams are lost.
const TELL_ALL: Span = Span::from_millis(500);
/// Items of all kinds in one summary; it fits a datagram with names of usual length.
const MAX_ITEMS: usize = 44;
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
            let known = old.remove(&name).filter(|t| t.entry.born == entry.born);
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
        let routers = self.peers.len() as u32 + 1;
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
        let routers = self.peers.len() as u32 + 1;
        let burst = self.settings.repeat_extra / routers;
        self.budgets.values_mut().for_each(|b| b.limit(burst));
    }

    pub(super) fn hear(&mut self, now: Time, summary: &gossip::Summary, out: &mut Vec<Action>) {
        if summary.router == self.settings.router {
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
            self.drop_peer(&summary.router);
            return;
        }
        if known.is_none_or(|peer| peer.incarnation < summary.incarnation) {
            self.drop_peer(&summary.router);
            let peer = Peer::new(summary, now);
            self.peers.insert(summary.router.clone(), peer);
            self.spread_limits();
        }
        let Some(peer) = self.peers.get_mut(&summary.router) else {
            return;
        };
        peer.sequence = summary.sequence;
        peer.heard = now;
        peer.version = peer.version.max(summary.version);
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
            let (asked, granted) = peer.take_usage(usage);
            self.share.add(usage.workspace, asked, granted);
        }
        for read in &summary.reads {
            let target = self.keys.get(&read.target);
            if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
                let memory = target.engine.map_or(0, |engine| engine.memory_tokens);
                target.cache.touch(read.part, read.tokens, memory);
            }
        }
        if summary.loads.is_empty() {
            return;
        }
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            self.serve(now, &service, out);
        }
    }

    /// Forgets what a router told.
    fn drop_peer(&mut self, router: &id::Router) {
        let Some(peer) = self.peers.remove(router) else {
            return;
        };
        for load in peer.loads.values() {
            let target = self.keys.get(&load.target);
            if let Some(target) = target.and_then(|name| self.targets.get_mut(name)) {
                target.others = replace(target.others, load.into(), View::default());
            }
        }
        self.spread_limits();
    }

    pub(super) fn drop_silent_peers(&mut self, now: Time) {
        let silent = self.peers.iter();
        let silent = silent.filter(|(_, peer)| now.since(peer.heard) >= PEER_SILENCE);
        let silent: Vec<id::Router> = silent.map(|(router, _)| router.clone()).collect();
        for router in silent {
            self.drop_peer(&router);
        }
    }

    /// Returns the age of the oldest report that counts.
    pub(super) fn view_age(&self, now: Time) -> Span {
        let ages = self.peers.values().map(|peer| now.since(peer.heard));
        ages.max().unwrap_or_default()
    }

    /// Returns what the other routers are to be told now.
    pub fn tell(&mut self, now: Time, leaving: bool) -> Vec<gossip::Summary> {
        let all = now.since(self.told_all) >= TELL_ALL;
        if all {
            self.told_all = now;
        }
        let mut loads = Vec::new();
        for target in self.targets.values_mut() {
            let load = target.load();
            let idle = load.running == 0 && target.told.running == 0 && !load.suspect;
            if (all && !idle) || load != target.told {
                target.told = load;
                loads.push(load);
            }
        }
        let mut usages = Vec::new();
        for (workspace, usage) in &mut self.usages {
            if all || usage.changed {
                usage.changed = false;
                usages.push(gossip::Usage {
                    workspace: *workspace,
                    asked: usage.asked,
                    granted: usage.granted,
                });
            }
        }
        let reads = std::mem::take(&mut self.reads);
        self.pack(leaving, all, &loads, &usages, &reads)
    }

    /// Cuts what is to be told into summaries that fit a datagram each.
    fn pack(
        &mut self,
        leaving: bool,
        always: bool,
        mut loads: &[gossip::Load],
        mut usages: &[gossip::Usage],
        mut reads: &[gossip::Read],
    ) -> Vec<gossip::Summary> {
        let mut summaries = Vec::new();
        while !loads.is_empty()
            || !usages.is_empty()
            || !reads.is_empty()
            || (summaries.is_empty() && (always || leaving))
        {
            self.sequence += 1;
            let mut room = MAX_ITEMS;
            summaries.push(gossip::Summary {
                router: self.settings.router.clone(),
                incarnation: self.settings.incarnation,
                sequence: self.sequence,
                version: self.routing.version,
                leaving,
                loads: cut(&mut loads, &mut room),
                usages: cut(&mut usages, &mut room),
                reads: cut(&mut reads, &mut room),
            });
        }
        summaries
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

/// Takes items from the front of a list while there is room.
fn cut<T: Clone>(items: &mut &[T], room: &mut usize) -> Vec<T> {
    let count = items.len().min(*room);
    let (taken, rest) = items.split_at(count);
    *items = rest;
    *room -= count;
    taken.to_vec()
}
