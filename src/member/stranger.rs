//! Addresses to contact in search of routers.

use crate::unit::{Span, Time};
use std::{collections::BTreeMap, net::SocketAddr};

/// Backoff after the first attempt at an address; it doubles with each attempt.
const MIN_WAIT: Span = Span::from_millis(250);
/// Maximum backoff; the end of a network partition is noticed within this time.
const MAX_WAIT: Span = Span::from_secs(16);
/// Retention of an address that is neither listed by the platform nor a seed.
const KEPT_UNLISTED: Span = Span::from_secs(600);
/// Maximum number of addresses; further ones are not added.
const MAX_KEPT: usize = 4_096;

/// Schedule of the attempts at one address.
#[derive(Clone, Copy, Debug)]
struct Try {
    due: Time,
    wait: Span,
    /// Time at which the address is dropped; `None` while it is listed or a seed.
    ends: Option<Time>,
}

/// Addresses at which no live router is known, to be contacted with exponential backoff.
#[derive(Debug, Default)]
pub(super) struct Strangers(BTreeMap<SocketAddr, Try>);

impl Strangers {
    /// Adds an address to contact from `due` on; the schedule of a known address is kept.
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

    /// Adds an address to contact from `due` on; the backoff of a known address starts over.
    pub(super) fn hasten(&mut self, address: SocketAddr, due: Time) {
        self.0.remove(&address);
        self.add(address, due);
    }

    /// Removes an address at which a router was found.
    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.0.remove(&address);
    }

    /// Sets an expiry for the addresses that are not `wanted` and clears it for the others.
    pub(super) fn limit(&mut self, now: Time, wanted: impl Fn(SocketAddr) -> bool) {
        for (address, entry) in &mut self.0 {
            let ends = entry.ends.unwrap_or(now + KEPT_UNLISTED);
            entry.ends = (!wanted(*address)).then_some(ends);
        }
    }

    /// Returns at most `limit` addresses to contact now, and schedules their next attempts.
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
