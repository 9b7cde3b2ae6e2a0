//! Summaries for other routers.

use super::Dispatcher;
use crate::{
    dispatch::{Audience, Told, View},
    gossip::{self, Scope},
    id,
    unit::{Span, Time, Version},
};
use std::collections::HashMap;

/// Interval at which everything is sent again, since datagrams may be lost.
const TELL_ALL: Span = Span::from_millis(500);
/// Maximum time without a summary. A router that follows another one looks for a new one after four
/// of these.
const KEEPALIVE: Span = Span::from_millis(100);
/// Time for which a prompt part at a target is not announced again. Targets cache parts for several
/// seconds after their last use.
const READ_AGAIN: Span = Span::from_millis(1_000);
/// Maximum number of items of all kinds in a summary. With names of usual length, it then fits in a
/// datagram.
const MAX_ITEMS: usize = 44;

/// Contents of a message to one set of recipients, before it is split into summaries.
struct Draft {
    scope: Scope,
    version: Version,
    routers: u32,
    age: Span,
    loads: Vec<gossip::Load>,
    usages: Vec<gossip::Usage>,
    reads: Vec<gossip::Read>,
}

/// Load of a target, added up over followers.
#[derive(Clone, Copy, Default)]
struct Sum {
    view: View,
    /// Followers that report the target as failing.
    suspicions: u32,
}

impl Dispatcher {
    /// Returns the summaries to be sent to other routers now.
    pub fn tell(&mut self, now: Time, leaving: bool) -> Vec<Told> {
        let all = now.since(self.told_all) >= TELL_ALL;
        if all {
            self.told_all = now;
            self.told_reads.retain(|_, at| now.since(*at) < READ_AGAIN);
            let keys = &self.keys;
            self.ledger.retain(|target| keys.contains_key(&target));
        }
        let reads = self.take_reads(now);
        let changed = self.accounts.iter_mut();
        let changed = changed.filter(|(_, account)| all || account.changed);
        let changed: Vec<u64> = changed
            .map(|(workspace, account)| {
                account.changed = false;
                *workspace
            })
            .collect();
        let mut told = self.tell_farewells();
        told.extend(self.tell_group(now, (all, leaving), &changed, &reads));
        for follower in self.followers() {
            told.extend(self.tell_rest(now, (all, leaving), &follower, &changed, &reads));
        }
        told
    }

    /// Returns the prompt parts that were not announced recently.
    fn take_reads(&mut self, now: Time) -> Vec<(Option<id::Router>, gossip::Read)> {
        let mut reads = std::mem::take(&mut self.reads);
        reads.retain(|(_, read)| {
            let told = self.told_reads.get(&(read.target, read.part));
            let again = told.is_none_or(|told| now.since(*told) >= READ_AGAIN);
            if again {
                self.told_reads.insert((read.target, read.part), now);
            }
            again
        });
        reads
    }

    /// Returns the routers that follow this one.
    pub(super) fn followers(&self) -> Vec<id::Router> {
        let followers = self.peers.iter().filter(|(_, peer)| peer.follows());
        followers.map(|(router, _)| router.clone()).collect()
    }

    /// Returns the recipients of the load of this router and its followers.
    pub(super) fn audience(&self) -> (Scope, Audience) {
        match self.circle.followed().cloned() {
            Some(router) => (Scope::Follower, Audience::Routers(vec![router])),
            None if self.circle.is_alone() => (Scope::Group, Audience::All),
            None => (Scope::Group, Audience::Routers(self.groups())),
        }
    }

    /// Informs former recipients that this router sends them nothing more.
    fn tell_farewells(&mut self) -> Vec<Told> {
        let farewells = std::mem::take(&mut self.farewells);
        let farewells = farewells.into_iter();
        let told = farewells.map(|(scope, audience)| {
            let draft = Draft {
                scope,
                version: self.routing.version,
                routers: 1,
                age: Span(0),
                loads: Vec::new(),
                usages: Vec::new(),
                reads: Vec::new(),
            };
            Told {
                audience,
                summaries: self.pack(true, true, draft),
            }
        });
        told.collect()
    }

    /// Sends the load of this router and its followers to the followed router, or to the leading
    /// ones.
    fn tell_group(
        &mut self,
        now: Time,
        (all, leaving): (bool, bool),
        changed: &[u64],
        reads: &[(Option<id::Router>, gossip::Read)],
    ) -> Option<Told> {
        let (scope, audience) = self.audience();
        let followers = self.peers.values().filter(|peer| peer.follows());
        let mut sums: HashMap<u64, Sum> = HashMap::new();
        let (mut routers, mut age, mut version) = (1, Span(0), self.routing.version);
        for peer in followers {
            routers += peer.routers;
            age = age.max(peer.age(now));
            version = version.max(peer.version);
            for load in peer.loads.values() {
                let sum = sums.entry(load.target).or_default();
                sum.view = sum.view.plus(load.into());
                sum.suspicions += u32::from(load.suspect);
            }
        }
        let targets = self.targets.values();
        let loads = targets.map(|target| {
            let sum = sums.get(&target.key).copied().unwrap_or_default();
            let suspect = target.health.is_suspect() || sum.suspicions > 0;
            load(target.key, target.own.plus(sum.view), suspect)
        });
        let draft = Draft {
            scope,
            version,
            routers,
            age,
            loads: self.ledger.changes(loads, all),
            usages: self.usages(changed, |account| account.group),
            reads: pick(reads, |from| {
                from.is_none_or(|router| self.peers.get(router).is_some_and(|p| p.follows()))
            }),
        };
        let alive = all || leaving || now.since(self.ledger.at) >= KEEPALIVE;
        let summaries = self.pack(leaving, alive, draft);
        if summaries.is_empty() {
            return None;
        }
        self.ledger.at = now;
        Some(Told {
            audience,
            summaries,
        })
    }

    /// Returns the other routers that exchange the loads of groups.
    fn groups(&self) -> Vec<id::Router> {
        let mut routers = self.circle.leaders().to_vec();
        let heard = self.peers.iter();
        let heard = heard.filter(|(_, peer)| peer.scope == Scope::Group);
        for (router, _) in heard {
            if !routers.contains(router) {
                routers.push(router.clone());
            }
        }
        routers
    }

    /// Sends the load of all other routers to a follower.
    fn tell_rest(
        &mut self,
        now: Time,
        (all, leaving): (bool, bool),
        follower: &id::Router,
        changed: &[u64],
        reads: &[(Option<id::Router>, gossip::Read)],
    ) -> Option<Told> {
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
            load(target.key, view, suspect)
        });
        let loads = peer.ledger.changes(loads, all);
        if all {
            let keys = &self.keys;
            peer.ledger.retain(|target| keys.contains_key(&target));
        }
        let draft = Draft {
            scope: Scope::Rest,
            version: self.routing.version.max(version.unwrap_or_default()),
            routers: 1 + others.map(|other| other.routers).sum::<u32>(),
            age: age.unwrap_or_default(),
            loads,
            usages: self.usages(changed, |account| account.rest(follower)),
            reads: pick(reads, |from| from != Some(follower)),
        };
        let alive = all || leaving || now.since(peer.ledger.at) >= KEEPALIVE;
        let summaries = self.pack(leaving, alive, draft);
        if !summaries.is_empty() {
            peer.ledger.at = now;
        }
        self.peers.insert(follower.clone(), peer);
        (!summaries.is_empty()).then(|| Told {
            audience: Audience::Routers(vec![follower.clone()]),
            summaries,
        })
    }

    fn usages(
        &self,
        workspaces: &[u64],
        count: impl Fn(&super::Account) -> super::Count,
    ) -> Vec<gossip::Usage> {
        let accounts = workspaces.iter();
        let accounts = accounts.filter_map(|key| Some((*key, self.accounts.get(key)?)));
        let usages = accounts.map(|(workspace, account)| {
            let count = count(account);
            gossip::Usage {
                workspace,
                asked: count.asked,
                granted: count.granted,
            }
        });
        usages.collect()
    }

    /// Splits contents into summaries that fit in a datagram each. Returns none for empty contents,
    /// unless `always` is set.
    fn pack(&mut self, leaving: bool, always: bool, draft: Draft) -> Vec<gossip::Summary> {
        let mut loads = &draft.loads[..];
        let mut usages = &draft.usages[..];
        let mut reads = &draft.reads[..];
        let mut summaries = Vec::new();
        while !loads.is_empty()
            || !usages.is_empty()
            || !reads.is_empty()
            || (summaries.is_empty() && always)
        {
            self.sequence += 1;
            let mut room = MAX_ITEMS;
            summaries.push(gossip::Summary {
                router: self.settings.router.clone(),
                incarnation: self.settings.incarnation,
                sequence: self.sequence,
                version: draft.version,
                leaving,
                scope: draft.scope,
                routers: draft.routers,
                age: draft.age,
                loads: cut(&mut loads, &mut room),
                usages: cut(&mut usages, &mut room),
                reads: cut(&mut reads, &mut room),
            });
        }
        summaries
    }
}

fn load(target: u64, view: View, suspect: bool) -> gossip::Load {
    gossip::Load {
        target,
        running: view.running,
        backlog: view.backlog,
        memory: view.memory,
        suspect,
    }
}

/// Returns the reads whose origin is selected; `None` is this router.
fn pick(
    reads: &[(Option<id::Router>, gossip::Read)],
    is_picked: impl Fn(Option<&id::Router>) -> bool,
) -> Vec<gossip::Read> {
    let picked = reads.iter().filter(|(from, _)| is_picked(from.as_ref()));
    picked.map(|(_, read)| *read).collect()
}

/// Removes items from the front of a list up to the capacity that is left.
fn cut<T: Clone>(items: &mut &[T], room: &mut usize) -> Vec<T> {
    let count = items.len().min(*room);
    let (taken, rest) = items.split_at(count);
    *items = rest;
    *room -= count;
    taken.to_vec()
}
