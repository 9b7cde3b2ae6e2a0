//! Addresses at which a router may be found.

use crate::unit::{Span, Time};
use std::{collections::BTreeMap, net::SocketAddr};

/// Wait after the first try at an address; it doubles with each try.
const MIN_WAIT: Span = Span::from_millis(250);
/// Longest wait between two tries; a healed cut is noticed within this time.
const MAX_WAIT: Span = Span::from_secs(16);
/// Time for which an address is tried that the platform does not list.
const KEPT_UNLISTED: Span = Span::from_secs(600);
/// Addresses that are kept; beyond it learned ones are not added.
const MAX_KEPT: usize = 4_096;

/// One address and its tries.
#[derive(Clone, Copy, Debug)]
struct Try {
    due: Time,
    wait: Span,
    /// When the address is forgotten.
    ends: Option<Time>,
}

/// Addresses at which no live router is known.
#[derive(Debug, Default)]
pub(super) struct Strangers(BTreeMap<SocketAddr, Try>);

impl Strangers {
    /// Adds an address to be tried from `due` on; one that is known stays as it is.
    pub(super) fn add(&mut self, address: SocketAddr, due: Time) {
        if self.0.len() >= MAX_KEPT {
            return;
        }
        let fresh = Try {
            due,
            wait: MIN_WAIT,
            ends: None,
        };
        self.0.entry(address).or_insert(fresh);
    }

    /// Adds an address or tries a known one again, at once.
    pub(super) fn hasten(&mut self, address: SocketAddr, due: Time) {
        self.0.remove(&address);
        self.add(address, due);
    }

    /// Removes an address at which a router was found.
    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.0.remove(&address);
    }

    /// Forgets, after a time, the addresses that are not wanted; keeps the others.
    pub(super) fn limit(&mut self, now: Time, wanted: impl Fn(SocketAddr) -> bool) {
        for (address, entry) in &mut self.0 {
            let ends = entry.ends.unwrap_or(now + KEPT_UNLISTED);
            entry.ends = (!wanted(*address)).then_some(ends);
        }
    }

    /// Returns at most `limit` addresses to try now.
    pub(super) fn due(&mut self, now: Time, limit: usize) -> Vec<SocketAddr> {
        self.0
            .retain(|_, entry| entry.ends.is_none_or(|end| end > now));
        let due = self.0.iter_mut().filter(|(_, entry)| entry.due <= now);
        let mut tried = Vec::new();
        for (address, entry) in due.take(limit) {
            entry.due = now + entry.wait;
            entry.wait = Span((2 * entry.wait.0).min(MAX_WAIT.0));
            tried.push(*address);
        }
        tried
    }
}
