//! The known routers and their order.

use super::Entry;
use crate::{id, placement::hash};
use std::{cmp::Reverse, collections::BTreeMap};

/// Routers of a failure domain that read the platform's lists for all of it: one that does and one
/// that is ready to take its place. Each one costs calls of the platform.
const LEADERS: usize = 2;

/// The known routers. All routers that know the same ones agree on who leads.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Entry,
    others: BTreeMap<id::Router, Entry>,
}

impl Roster {
    /// Returns a roster that knows only its own router.
    pub fn open(own: Entry) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
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
    pub fn knows(&self, router: &id::Router) -> bool {
        *router == self.own.router || self.others.contains_key(router)
    }

    /// Takes an entry; returns whether it changed anything.
    pub fn add(&mut self, entry: Entry) -> bool {
        if entry.router == self.own.router {
            return false;
        }
        let router = entry.router.clone();
        self.others.insert(router, entry.clone()) != Some(entry)
    }

    /// Forgets a router; returns whether it was known.
    pub fn remove(&mut self, router: &id::Router) -> bool {
        self.others.remove(router).is_some()
    }

    /// Returns the routers that lead this router's failure domain, the first one first.
    pub fn leaders(&self) -> Vec<&Entry> {
        let all = self.others.values().chain([&self.own]);
        let mut near: Vec<&Entry> = all.filter(|e| e.domain == self.own.domain).collect();
        near.sort_by_key(|entry| (Reverse(entry.millicores), hash(entry.router.as_str())));
        near.truncate(LEADERS);
        near
    }

    /// Reports whether this router is one of those that lead its failure domain.
    pub fn leads(&self) -> bool {
        let leaders = self.leaders();
        leaders.iter().any(|entry| entry.router == self.own.router)
    }
}
