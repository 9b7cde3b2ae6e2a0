//! Summaries for other routers.

use super::Dispatcher;
use crate::{
    dispatch::{Batch, Recipients, View},
    gossip::{self, Scope},
    id,
    unit::{Span, Time, Version},
};
use std::collections::HashMap;

/// Interval at which everything is sent again, since datagrams may be lost.
const FULL_INTERVAL: Span = Span::from_millis(500);
/// Maximum time without a summary. A router that follows another one looks for a new one after four
/// of these.
const KEEPALIVE_INTERVAL: Span = Span::from_millis(100);
/// Time for which a prompt part at a target is not announced again. Targets cache parts for several
/// seconds after their last use.
const ANNOUNCE_INTERVAL: Span = Span::from_millis(1_000);
/// Maximum number of items of all kinds in a summary. With names of usual length, it then fits in a
/// datagram.
const MAX_SUMMARY_ITEMS: usize = 44;

/// Contents of a message to one set of recipients, before it is split into summaries.
struct Content {
    scope: Scope,
    version: Version,
    router_count: u32,
    age: Span,
    loads: Vec<gossip::Load>,
    usages: Vec<gossip::Usage>,
    prefills: Vec<gossip::Prefill>,
}

/// Load of a target, added up over followers.
#[derive(Clone, Copy, Default)]
struct Total {
    view: View,
    /// Followers that report the target as failing.
    suspects: u32,
}

impl Dispatcher {
    /// Returns the summaries to be sent to other routers now.
    pub fn summarize(&mut self, now: Time, leaving: bool) -> Vec<Batch> {
        let all = now.since(self.last_full) >= FULL_INTERVAL;
        if all {
            self.last_full = now;
            self.announced_prefills
                .retain(|_, at| now.since(*at) < ANNOUNCE_INTERVAL);
            let names = &self.names;
            self.baseline.retain(|target| names.contains_key(&target));
        }
        let prefills = self.take_prefills(now);
        let changed = self.accounts.iter_mut();
        let changed = changed.filter(|(_, account)| all || account.changed);
        let changed: Vec<u64> = changed
            .map(|(workspace, account)| {
                account.changed = false;
                *workspace
            })
            .collect();
        let mut batches = self.leave_notices();
        batches.extend(self.summarize_group(now, (all, leaving), &changed, &prefills));
        for follower in self.followers() {
            batches.extend(self.summarize_rest(
                now,
                (all, leaving),
                &follower,
                &changed,
                &prefills,
            ));
        }
        batches
    }

    /// Takes the prompt parts that are to be announced, without those that were announced recently.
    fn take_prefills(&mut self, now: Time) -> Vec<(Option<id::Router>, gossip::Prefill)> {
        let mut prefills = std::mem::take(&mut self.prefills);
        prefills.retain(|(_, prefill)| {
            let announced = self.announced_prefills.get(&(prefill.target, prefill.part));
            let is_due =
                announced.is_none_or(|announced| now.since(*announced) >= ANNOUNCE_INTERVAL);
            if is_due {
                self.announced_prefills
                    .insert((prefill.target, prefill.part), now);
            }
            is_due
        });
        prefills
    }

    /// Returns the routers that follow this one.
    pub(super) fn followers(&self) -> Vec<id::Router> {
        let followers = self.peers.iter().filter(|(_, peer)| peer.is_follower());
        followers.map(|(router, _)| router.clone()).collect()
    }

    /// Returns the recipients of the load of this router and its followers.
    pub(super) fn recipients(&self) -> (Scope, Recipients) {
        match self.topology.followed().cloned() {
            Some(router) => (Scope::Follower, Recipients::Routers(vec![router])),
            None if self.topology.is_isolated() => (Scope::Group, Recipients::All),
            None => (Scope::Group, Recipients::Routers(self.group_recipients())),
        }
    }

    /// Returns the notices that inform former recipients that this router sends them nothing more.
    fn leave_notices(&mut self) -> Vec<Batch> {
        let former_recipients = std::mem::take(&mut self.former_recipients);
        let former_recipients = former_recipients.into_iter();
        let batches = former_recipients.map(|(scope, recipients)| {
            let content = Content {
                scope,
                version: self.routing.version,
                router_count: 1,
                age: Span(0),
                loads: Vec::new(),
                usages: Vec::new(),
                prefills: Vec::new(),
            };
            Batch {
                recipients,
                summaries: self.split(true, true, content),
            }
        });
        batches.collect()
    }

    /// Summarizes the load of this router and its followers for the followed router, or for the
    /// leading ones.
    fn summarize_group(
        &mut self,
        now: Time,
        (all, leaving): (bool, bool),
        changed: &[u64],
        prefills: &[(Option<id::Router>, gossip::Prefill)],
    ) -> Option<Batch> {
        let (scope, recipients) = self.recipients();
        let followers = self.peers.values().filter(|peer| peer.is_follower());
        let mut totals: HashMap<u64, Total> = HashMap::new();
        let (mut router_count, mut age, mut version) = (1, Span(0), self.routing.version);
        for peer in followers {
            router_count += peer.router_count;
            age = age.max(peer.age(now));
            version = version.max(peer.version);
            for load in peer.loads.values() {
                let sum = totals.entry(load.target).or_default();
                sum.view = sum.view.plus(load.into());
                sum.suspects += u32::from(load.suspect);
            }
        }
        let targets = self.targets.values();
        let loads = targets.map(|target| {
            let sum = totals.get(&target.key).copied().unwrap_or_default();
            let suspect = target.health.is_suspect() || sum.suspects > 0;
            new_load(target.key, target.own.plus(sum.view), suspect)
        });
        let content = Content {
            scope,
            version,
            router_count,
            age,
            loads: self.baseline.changes(loads, all),
            usages: self.usages(changed, |account| account.group),
            prefills: select_prefills(prefills, |from| {
                from.is_none_or(|router| self.peers.get(router).is_some_and(|p| p.is_follower()))
            }),
        };
        let always = all || leaving || now.since(self.baseline.last_sent) >= KEEPALIVE_INTERVAL;
        let summaries = self.split(leaving, always, content);
        if summaries.is_empty() {
            return None;
        }
        self.baseline.last_sent = now;
        Some(Batch {
            recipients,
            summaries,
        })
    }

    /// Returns the other routers that exchange the loads of groups.
    fn group_recipients(&self) -> Vec<id::Router> {
        let mut routers = self.topology.leaders().to_vec();
        let leading = self.peers.iter();
        let leading = leading.filter(|(_, peer)| peer.scope == Scope::Group);
        for (router, _) in leading {
            if !routers.contains(router) {
                routers.push(router.clone());
            }
        }
        routers
    }

    /// Summarizes the load of all other routers for a follower.
    fn summarize_rest(
        &mut self,
        now: Time,
        (all, leaving): (bool, bool),
        follower: &id::Router,
        changed: &[u64],
        prefills: &[(Option<id::Router>, gossip::Prefill)],
    ) -> Option<Batch> {
        let mut peer = self.peers.remove(follower)?;
        let others = self.peers.values();
        let age = others.clone().map(|other| other.age(now)).max();
        let version = others.clone().map(|other| other.version).max();
        let targets = self.targets.values();
        let loads = targets.map(|target| {
            let part = peer.loads.get(&target.key).copied().unwrap_or_default();
            let all = target.own.plus(target.others);
            let view = View {
                running: all.running.saturating_sub(part.running),
                backlog: all.backlog.saturating_sub(part.backlog),
                memory: all.memory.saturating_sub(part.memory),
            };
            let mut others = others.clone();
            let suspect = target.health.is_suspect()
                || others.any(|other| {
                    let load = other.loads.get(&target.key);
                    load.is_some_and(|load| load.suspect)
                });
            new_load(target.key, view, suspect)
        });
        let loads = peer.baseline.changes(loads, all);
        if all {
            let names = &self.names;
            peer.baseline.retain(|target| names.contains_key(&target));
        }
        let content = Content {
            scope: Scope::Rest,
            version: self.routing.version.max(version.unwrap_or_default()),
            router_count: 1 + others.map(|other| other.router_count).sum::<u32>(),
            age: age.unwrap_or_default(),
            loads,
            usages: self.usages(changed, |account| account.except(follower)),
            prefills: select_prefills(prefills, |from| from != Some(follower)),
        };
        let always = all || leaving || now.since(peer.baseline.last_sent) >= KEEPALIVE_INTERVAL;
        let summaries = self.split(leaving, always, content);
        if !summaries.is_empty() {
            peer.baseline.last_sent = now;
        }
        self.peers.insert(follower.clone(), peer);
        (!summaries.is_empty()).then(|| Batch {
            recipients: Recipients::Routers(vec![follower.clone()]),
            summaries,
        })
    }

    fn usages(
        &self,
        workspaces: &[u64],
        tokens: impl Fn(&super::Account) -> super::Tokens,
    ) -> Vec<gossip::Usage> {
        let accounts = workspaces.iter();
        let accounts = accounts.filter_map(|key| Some((*key, self.accounts.get(key)?)));
        let usages = accounts.map(|(workspace, account)| {
            let tokens = tokens(account);
            gossip::Usage {
                workspace,
                requested: tokens.requested,
                granted: tokens.granted,
            }
        });
        usages.collect()
    }

    /// Splits contents into summaries that fit in a datagram each. Returns none for empty contents,
    /// unless `always` is set.
    fn split(&mut self, leaving: bool, always: bool, content: Content) -> Vec<gossip::Summary> {
        let mut loads = &content.loads[..];
        let mut usages = &content.usages[..];
        let mut prefills = &content.prefills[..];
        let mut summaries = Vec::new();
        while !loads.is_empty()
            || !usages.is_empty()
            || !prefills.is_empty()
            || (summaries.is_empty() && always)
        {
            self.sequence += 1;
            let mut room = MAX_SUMMARY_ITEMS;
            summaries.push(gossip::Summary {
                router: self.settings.router.clone(),
                incarnation: self.settings.incarnation,
                sequence: self.sequence,
                version: content.version,
                leaving,
                scope: content.scope,
                router_count: content.router_count,
                age: content.age,
                loads: take_front(&mut loads, &mut room),
                usages: take_front(&mut usages, &mut room),
                prefills: take_front(&mut prefills, &mut room),
            });
        }
        summaries
    }
}

fn new_load(target: u64, view: View, suspect: bool) -> gossip::Load {
    gossip::Load {
        target,
        running: view.running,
        backlog: view.backlog,
        memory: view.memory,
        suspect,
    }
}

/// Returns the prefills whose origin is selected; `None` is this router.
fn select_prefills(
    prefills: &[(Option<id::Router>, gossip::Prefill)],
    is_selected: impl Fn(Option<&id::Router>) -> bool,
) -> Vec<gossip::Prefill> {
    let selected = prefills
        .iter()
        .filter(|(from, _)| is_selected(from.as_ref()));
    selected.map(|(_, prefill)| *prefill).collect()
}

/// Removes items from the front of a list up to the capacity that is left.
fn take_front<T: Clone>(items: &mut &[T], room: &mut usize) -> Vec<T> {
    let count = items.len().min(*room);
    let (taken, rest) = items.split_at(count);
    *items = rest;
    *room -= count;
    taken.to_vec()
}
