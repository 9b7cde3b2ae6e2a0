//! Items that differ between two documents.

use super::{Account, Digest, Document, Overlay, Service, Target};
use crate::id;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Changes to the items of a document; `None` removes an item.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delta {
    /// New capacity.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub capacity: Option<u64>,
    /// Sites.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub sites: BTreeMap<id::Site, Option<BTreeSet<id::Domain>>>,
    /// Workspaces.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<id::Workspace, Option<Account>>,
    /// Services.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<id::Service, Option<Arc<Service>>>,
    /// Slots per target, for services whose targets also come from the platform's list of VMs.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub listed_slots: BTreeMap<id::Service, Option<u32>>,
    /// Targets.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub targets: BTreeMap<id::Target, Option<Arc<Target>>>,
    /// Overlays.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub overlays: BTreeMap<id::Site, Option<Overlay>>,
}

impl Delta {
    /// Returns the delta that turns `old` into `new`.
    pub fn between(old: &Document, new: &Document) -> Self {
        Self {
            capacity: (old.capacity != new.capacity).then_some(new.capacity),
            sites: changes(&old.sites, &new.sites),
            workspaces: changes(&old.workspaces, &new.workspaces),
            services: changes(&old.services, &new.services),
            listed_slots: changes(&old.listed_slots, &new.listed_slots),
            targets: changes(&old.targets, &new.targets),
            overlays: changes(&old.overlays, &new.overlays),
        }
    }

    /// Reports whether the delta changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns a document with only those items of `document` that the delta changes.
    pub fn select(&self, document: &Document) -> Document {
        Document {
            capacity: self.capacity.map_or(0, |_| document.capacity),
            sites: select(&self.sites, &document.sites),
            workspaces: select(&self.workspaces, &document.workspaces),
            services: select(&self.services, &document.services),
            listed_slots: select(&self.listed_slots, &document.listed_slots),
            targets: select(&self.targets, &document.targets),
            overlays: select(&self.overlays, &document.overlays),
        }
    }
}

impl Document {
    /// Applies a delta in place.
    pub fn apply(&mut self, delta: &Delta) {
        self.capacity = delta.capacity.unwrap_or(self.capacity);
        apply(&mut self.sites, &delta.sites);
        apply(&mut self.workspaces, &delta.workspaces);
        apply(&mut self.services, &delta.services);
        apply(&mut self.listed_slots, &delta.listed_slots);
        apply(&mut self.targets, &delta.targets);
        apply(&mut self.overlays, &delta.overlays);
    }

    /// Returns the digest of the contents: the wrapping sum of the items' digests, so that a delta updates it without
    /// a pass over the whole document. It detects corruption, not deliberate forgery.
    pub fn digest(&self) -> Digest {
        Digest::default().plus(&Sum::of(self))
    }

    /// Returns the digest that the document will have after `delta`; `before` is its present digest.
    pub fn digest_after(&self, before: Digest, delta: &Delta) -> Digest {
        let removed = delta.select(self);
        let mut added = removed.clone();
        added.apply(delta);
        before.minus(&Sum::of(&removed)).plus(&Sum::of(&added))
    }
}

/// Wrapping sum of the digests of a document's items.
struct Sum([u64; 4]);

impl Sum {
    fn of(document: &Document) -> Self {
        let mut sum = Self([0; 4]);
        if document.capacity != 0 {
            sum.add("capacity", &document.capacity);
        }
        document
            .sites
            .iter()
            .for_each(|item| sum.add("site", &item));
        let workspaces = document.workspaces.values();
        workspaces.for_each(|item| sum.add("workspace", item));
        let services = document.services.values();
        services.for_each(|item| sum.add("service", item));
        let listed = document.listed_slots.iter();
        listed.for_each(|item| sum.add("listed", &item));
        document
            .targets
            .values()
            .for_each(|item| sum.add("target", item));
        let overlays = document.overlays.iter();
        overlays.for_each(|item| sum.add("overlay", &item));
        sum
    }

    fn add(&mut self, kind: &str, item: &impl serde::Serialize) {
        let body = serde_json::to_vec(&(kind, item)).expect("an item must serialize to JSON");
        let words = Digest::of(&body).words();
        for (sum, word) in self.0.iter_mut().zip(words) {
            *sum = sum.wrapping_add(word);
        }
    }
}

impl Digest {
    fn words(self) -> [u64; 4] {
        let mut words = [0; 4];
        for (word, bytes) in words.iter_mut().zip(self.0.as_chunks().0) {
            *word = u64::from_be_bytes(*bytes);
        }
        words
    }

    fn plus(self, sum: &Sum) -> Self {
        self.combine(sum, u64::wrapping_add)
    }

    fn minus(self, sum: &Sum) -> Self {
        self.combine(sum, u64::wrapping_sub)
    }

    fn combine(self, sum: &Sum, operation: fn(u64, u64) -> u64) -> Self {
        let mut bytes = [0; 32];
        let pairs = self.words().into_iter().zip(sum.0);
        for (chunk, (own, other)) in bytes.as_chunks_mut().0.iter_mut().zip(pairs) {
            *chunk = operation(own, other).to_be_bytes();
        }
        Self(bytes)
    }
}

fn changes<K: Ord + Clone, V: PartialEq + Clone>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> BTreeMap<K, Option<V>> {
    let removed = old.keys().filter(|key| !new.contains_key(key));
    let removed = removed.map(|key| (key.clone(), None));
    let set = new
        .iter()
        .filter(|(key, value)| old.get(key) != Some(value));
    let set = set.map(|(key, value)| (key.clone(), Some(value.clone())));
    removed.chain(set).collect()
}

fn select<K: Ord + Clone, V: Clone, C>(
    changes: &BTreeMap<K, C>,
    items: &BTreeMap<K, V>,
) -> BTreeMap<K, V> {
    let found = changes.keys().filter_map(|key| items.get_key_value(key));
    found
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}

fn apply<K: Ord + Clone, V: Clone>(items: &mut BTreeMap<K, V>, changes: &BTreeMap<K, Option<V>>) {
    for (key, change) in changes {
        match change {
            Some(value) => items.insert(key.clone(), value.clone()),
            None => items.remove(key),
        };
    }
}
