//! The known routers and the leaders of each failure domain.

use super::Entry;
use crate::{id, placement::hash};
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
    /// Addresses of routers that sent something before they were listed.
    senders: BTreeMap<id::Router, SocketAddr>,
}

impl Roster {
    /// Creates a roster that contains only its own router.
    pub fn new(own: Entry) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
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
        self.others.insert(router, entry.clone()) != Some(entry)
    }

    /// Removes a router; returns whether it was known.
    pub fn remove(&mut self, router: &id::Router) -> bool {
        self.senders.remove(router);
        self.others.remove(router).is_some()
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

    /// Returns the routers of a failure domain in order of rank: most CPU first, then by hash of
    /// the name.
    fn ranked(&self, domain: &id::Domain) -> Vec<&Entry> {
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
        self.others.len() >= FULL_MESH_SIZE
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
        let mut distant = self.other_leaders();
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
            .filter(|entry| entry.domain == self.own.domain);
        near.map(|entry| entry.router.clone()).collect()
    }

    /// Returns the other routers that lead a failure domain; in a small fleet, all other routers.
    pub fn other_leaders(&self) -> Vec<id::Router> {
        let others = self.others.values();
        if !self.is_large() {
            return others.map(|entry| entry.router.clone()).collect();
        }
        let all = others.chain([&self.own]);
        let domains: BTreeSet<&id::Domain> = all.map(|entry| &entry.domain).collect();
        let leaders = domains.into_iter().flat_map(|domain| {
            let ranked = self.ranked(domain).into_iter().take(LEADERS_PER_DOMAIN);
            ranked.map(|entry| entry.router.clone())
        });
        leaders
            .filter(|router| *router != self.own.router)
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
