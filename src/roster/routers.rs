//! The known routers and the leaders of each failure domain.

use super::{Entry, census::Census};
use crate::{id, placement::hash, unit::Time};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Leaders per failure domain: the first one reads the platform's lists for the whole domain, the
/// second one does so when the first does not answer or cannot reach the platform.
const LEADERS_PER_DOMAIN: usize = 2;
/// Fleet size up to which all routers exchange their loads directly; up to this size the datagrams
/// cost a router less than its requests do.
const FULL_MESH_SIZE: usize = 12;
/// Maximum number of routers of its failure domain that a router may follow. If all of them are
/// silent, most of the failure domain is failing.
const MAX_CANDIDATES: usize = 4;
/// Leaders of other failure domains that a router may follow after those of its own. Two, because
/// one of them may have stopped as well.
const DISTANT_CANDIDATES: usize = 2;
/// Maximum number of routers whose address is remembered before they are listed; more than the
/// largest fleet starts at a time.
const MAX_SENDERS: usize = 1_024;

/// The known routers. Routers that know the same ones agree on the leaders.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Entry,
    others: BTreeMap<id::Router, Entry>,
    census: Census,
    /// Routers that are lost.
    lost: BTreeSet<id::Router>,
    /// Addresses of routers that sent something before they were listed.
    senders: BTreeMap<id::Router, SocketAddr>,
}

impl Roster {
    /// Creates a roster that contains only its own router.
    pub fn new(own: Entry) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
            census: Census::default(),
            lost: BTreeSet::new(),
            senders: BTreeMap::new(),
        }
    }

    /// Returns this router's entry.
    pub fn own(&self) -> &Entry {
        &self.own
    }

    /// Returns the other routers.
    pub fn others(&self) -> impl Iterator<Item = &Entry> {
        self.others.values()
    }

    /// Returns the other routers that aren't silent.
    pub fn live_others(&self) -> impl Iterator<Item = &Entry> {
        let others = self.others.values();
        others.filter(|entry| !self.census.is_silent(&entry.router))
    }

    /// Returns the number of other routers.
    pub fn len(&self) -> usize {
        self.others.len()
    }

    /// Reports whether no other router is known.
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }

    /// Reports whether a router is known.
    pub fn contains(&self, router: &id::Router) -> bool {
        *router == self.own.router || self.others.contains_key(router)
    }

    /// Adds or replaces an entry, unless it is this router's own; returns whether anything changed.
    pub fn add(&mut self, entry: Entry) -> bool {
        if entry.router == self.own.router {
            return false;
        }
        let router = entry.router.clone();
        self.senders.remove(&router);
        let known = self.others.insert(router.clone(), entry.clone());
        let is_another = known.as_ref().is_none_or(|known| known.peer != entry.peer);
        if is_another && entry.answers_probes {
            self.census.add(&router);
            self.lost.remove(&router);
        }
        known != Some(entry)
    }

    /// Removes a router; returns whether it was known.
    pub fn remove(&mut self, router: &id::Router) -> bool {
        self.senders.remove(router);
        self.census.remove(router);
        self.lost.remove(router);
        self.others.remove(router).is_some()
    }

    /// Removes the silent routers that are not listed any more.
    pub fn retain_live(&mut self, is_listed: impl Fn(&id::Router) -> bool) {
        let others = self.others.keys();
        let gone = others.filter(|router| !is_listed(router) && self.census.is_silent(router));
        for router in gone.cloned().collect::<Vec<_>>() {
            self.remove(&router);
        }
    }

    /// Records a datagram of another router; returns whether it was silent.
    pub fn record_heard(&mut self, now: Time, router: &id::Router) -> bool {
        self.lost.remove(router);
        self.census.record_heard(now, router)
    }

    /// Returns the routers that are to be probed now. `partners` are those that this one exchanges loads with.
    pub fn take_due_probes(
        &mut self,
        now: Time,
        partners: &BTreeSet<id::Router>,
    ) -> Vec<id::Router> {
        self.census
            .take_due(now, |router| partners.contains(router))
    }

    /// Returns the routers that have fallen silent, and those that are lost, since the last call.
    pub fn take_silent(&mut self, now: Time) -> (Vec<id::Router>, Vec<id::Router>) {
        let silent = self.census.take_silent(now);
        for router in &silent {
            let domain = self.domain_of(router).cloned();
            // What ended it may have ended its neighbours.
            let others = self.others.values();
            let others = others.filter(|entry| Some(&entry.domain) == domain.as_ref());
            others.for_each(|entry| self.census.doubt(&entry.router));
        }
        let others = self.others.keys();
        let lost = others.filter(|router| self.census.is_lost(now, router));
        let lost: Vec<id::Router> = lost.filter(|r| !self.lost.contains(*r)).cloned().collect();
        self.lost.extend(lost.iter().cloned());
        (silent, lost)
    }

    /// Returns the entries of routers that are lost and that this router is to remove: it ranks first in their failure
    /// domain, or in the first one that has live routers if theirs has none.
    pub fn removable(&self) -> Vec<&Entry> {
        let lost = self.lost.iter();
        let mut lost: Vec<&Entry> = lost.filter_map(|router| self.others.get(router)).collect();
        let domains: BTreeSet<&id::Domain> = lost.iter().map(|entry| &entry.domain).collect();
        let is_own = |domain: &&id::Domain| self.is_responsible_for(domain);
        let own: BTreeSet<&id::Domain> = domains.into_iter().filter(is_own).collect();
        lost.retain(|entry| own.contains(&entry.domain));
        lost
    }

    fn is_responsible_for(&self, domain: &id::Domain) -> bool {
        let leads = |domain: &id::Domain| {
            let ranked = self.ranked(domain);
            ranked.first().map(|first| first.router == self.own.router)
        };
        leads(domain).unwrap_or_else(|| {
            let first = self.domains().into_iter().find_map(leads);
            first.unwrap_or_default()
        })
    }

    /// Returns the number of failure domains of the known routers.
    pub fn domain_count(&self) -> usize {
        self.domains().len()
    }

    fn domains(&self) -> BTreeSet<&id::Domain> {
        let all = self.others.values().chain([&self.own]);
        all.map(|entry| &entry.domain).collect()
    }

    /// Records the address that a router sent from, which has started so recently that it may not be
    /// listed yet.
    pub fn record_sender(&mut self, router: &id::Router, address: SocketAddr) {
        if self.others.contains_key(router) || self.own.router == *router {
            return;
        }
        if self.senders.len() < MAX_SENDERS || self.senders.contains_key(router) {
            self.senders.insert(router.clone(), address);
        }
    }

    /// Returns the address of another router.
    pub fn address(&self, router: &id::Router) -> Option<SocketAddr> {
        let listed = self.others.get(router).map(|entry| entry.peer);
        listed.or_else(|| self.senders.get(router).copied())
    }

    /// Returns the leaders of this router's failure domain in order of rank.
    pub fn leaders(&self) -> Vec<&Entry> {
        let mut ranked = self.ranked(&self.own.domain);
        ranked.truncate(LEADERS_PER_DOMAIN);
        ranked
    }

    /// Returns the routers of a failure domain that aren't silent in order of rank: most CPU first, then by
    /// hash of the name.
    fn ranked(&self, domain: &id::Domain) -> Vec<&Entry> {
        let mut ranked = self.listed(domain);
        ranked.retain(|entry| !self.census.is_silent(&entry.router));
        ranked
    }

    /// Returns the listed routers of a failure domain in the same order.
    fn listed(&self, domain: &id::Domain) -> Vec<&Entry> {
        let all = self.others.values().chain([&self.own]);
        let mut routers: Vec<&Entry> = all.filter(|entry| entry.domain == *domain).collect();
        routers.sort_by_key(|entry| (Reverse(entry.millicores), hash(entry.router.as_str())));
        routers
    }

    /// Reports whether another router of this router's failure domain has more CPU.
    pub fn is_outranked(&self) -> bool {
        let first = self.ranked(&self.own.domain);
        let first = first.first();
        first.is_some_and(|first| first.millicores > self.own.millicores)
    }

    /// Reports whether the fleet is so large that its routers exchange their loads through leaders.
    pub fn is_large(&self) -> bool {
        let others = self.others.keys();
        let live = others.filter(|router| !self.census.is_silent(router));
        live.count() >= FULL_MESH_SIZE
    }

    /// Returns the routers that this one may follow, in order of preference; none if it is a leader
    /// or the fleet is small.
    ///
    /// These are the routers of its failure domain that rank before it, then leaders of other
    /// failure domains. The order of the leaders depends on the name of this router, so that they
    /// share the followers.
    pub fn candidates(&self) -> Vec<id::Router> {
        let own = &self.own.router;
        if !self.is_large() || self.is_leader() {
            return Vec::new();
        }
        let ranked = self.ranked(&self.own.domain);
        let preceding = ranked.iter().take_while(|entry| entry.router != *own);
        let preceding = preceding.map(|entry| entry.router.clone());
        let mut candidates: Vec<id::Router> = preceding.take(MAX_CANDIDATES).collect();
        let leaders = candidates.len().min(LEADERS_PER_DOMAIN);
        candidates[..leaders].rotate_left(hash(own.as_str()) as usize % leaders.max(1));
        let mut distant = self.first_of_each(|domain| self.ranked(domain));
        distant.retain(|router| self.domain_of(router) != Some(&self.own.domain));
        let first = hash(own.as_str()) as usize % distant.len().max(1);
        distant.rotate_left(first);
        candidates.extend(distant.into_iter().take(DISTANT_CANDIDATES));
        candidates
    }

    fn domain_of(&self, router: &id::Router) -> Option<&id::Domain> {
        self.others.get(router).map(|entry| &entry.domain)
    }

    /// Returns the other routers of this router's failure domain.
    pub fn neighbors(&self) -> Vec<id::Router> {
        let near = self
            .others
            .values()
            .filter(|entry| entry.domain == self.own.domain && !self.lost.contains(&entry.router));
        near.map(|entry| entry.router.clone()).collect()
    }

    /// Returns the other routers that loads are exchanged with while this one leads: those that lead a failure domain; in
    /// a small fleet, all that aren't lost. Leaders that have fallen silent get what the others get until they
    /// are lost, so that it doesn't matter which side of a partition finds first that it is over.
    pub fn other_leaders(&self) -> Vec<id::Router> {
        let mut leaders = self.first_of_each(|domain| self.ranked(domain));
        let listed = self.first_of_each(|domain| self.listed(domain));
        let silent = listed
            .into_iter()
            .filter(|router| self.census.is_silent(router));
        leaders.extend(silent.filter(|router| !self.lost.contains(router)));
        leaders
    }

    /// Returns the other routers that rank first in each failure domain, as many as lead one; in a small fleet, all.
    fn first_of_each<'a>(
        &'a self,
        rank: impl Fn(&'a id::Domain) -> Vec<&'a Entry>,
    ) -> Vec<id::Router> {
        let count = if self.is_large() {
            LEADERS_PER_DOMAIN
        } else {
            usize::MAX
        };
        let domains = self.domains().into_iter();
        let leaders = domains.flat_map(|domain| rank(domain).into_iter().take(count));
        let leaders = leaders.map(|entry| &entry.router);
        leaders
            .filter(|router| **router != self.own.router)
            .cloned()
            .collect()
    }

    /// Returns the routers to ask for lists before the platform: the leaders of the failure domain
    /// that rank before this router. Empty for the first leader, which reads the platform's lists
    /// for the whole domain.
    pub fn list_sources(&self) -> Vec<&Entry> {
        let leaders = self.leaders().into_iter();
        leaders
            .take_while(|entry| entry.router != self.own.router)
            .collect()
    }

    /// Reports whether this router is a leader of its failure domain.
    pub fn is_leader(&self) -> bool {
        let leaders = self.leaders();
        leaders.iter().any(|entry| entry.router == self.own.router)
    }
}
