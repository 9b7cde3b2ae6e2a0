//! Copy-on-write map that is cheap to clone.

use std::{
    borrow::Borrow,
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher as _},
    ops::Index,
    sync::Arc,
};

/// Number of shards: a write copies one shard, which has about 190 items in a map of 49,000.
const SHARDS: usize = 256;

/// A sharded map whose clones share their shards; a write copies the shard of its key if that is shared. Iteration
/// goes shard by shard, in the same order for the same keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Map<K, V>(Box<[Arc<BTreeMap<K, V>>]>);

impl<K, V> Default for Map<K, V> {
    fn default() -> Self {
        let empty = Arc::new(BTreeMap::new());
        Self(vec![empty; SHARDS].into())
    }
}

impl<K: Ord + Hash + Clone, V: Clone> Map<K, V> {
    /// Returns the value of a key.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Ord + Hash + ?Sized,
    {
        self.0[shard_index(key)].get(key)
    }

    /// Returns the items in the shard of a key.
    pub(super) fn shard_items<Q: Hash + ?Sized>(&self, key: &Q) -> impl Iterator<Item = (&K, &V)> {
        self.0[shard_index(key)].iter()
    }

    /// Sets the value of a key and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        Arc::make_mut(&mut self.0[shard_index(&key)]).insert(key, value)
    }

    /// Removes a key and returns its value.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
        Q: Ord + Hash + ?Sized,
    {
        Arc::make_mut(&mut self.0[shard_index(key)]).remove(key)
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.0.iter().map(|shard| shard.len()).sum()
    }

    /// Reports whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|shard| shard.is_empty())
    }

    /// Returns all items.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.0.iter().flat_map(|shard| shard.iter())
    }
}

impl<K, V, Q> Index<&Q> for Map<K, V>
where
    K: Ord + Hash + Clone + Borrow<Q>,
    V: Clone,
    Q: Ord + Hash + ?Sized,
{
    type Output = V;

    /// Returns the value of a key.
    ///
    /// # Panics
    ///
    /// Panics if there is no such key.
    fn index(&self, key: &Q) -> &V {
        self.get(key).expect("the map must hold the key")
    }
}

impl<K: Ord + Hash + Clone, V: Clone> FromIterator<(K, V)> for Map<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(items: I) -> Self {
        let mut map = Self::default();
        map.extend(items);
        map
    }
}

impl<K: Ord + Hash + Clone, V: Clone> Extend<(K, V)> for Map<K, V> {
    fn extend<I: IntoIterator<Item = (K, V)>>(&mut self, items: I) {
        for (key, value) in items {
            self.insert(key, value);
        }
    }
}

/// Returns the shard index of a key; it is the same in every process.
fn shard_index<Q: Hash + ?Sized>(key: &Q) -> usize {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish() as usize % SHARDS
}
