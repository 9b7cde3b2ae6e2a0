//! Addresses to contact in search of routers.

use crate::unit::{Span, Time};
use std::{collections::BTreeMap, net::SocketAddr};

/// Backoff after the first attempt at an address; it doubles with each attempt.
const MIN_BACKOFF: Span = Span::from_millis(250);
/// Maximum backoff; the end of a network partition is noticed within this time.
const MAX_BACKOFF: Span = Span::from_secs(16);
/// Retention of an address that is neither listed by the platform nor a seed.
const UNLISTED_RETENTION: Span = Span::from_secs(600);
/// Maximum number of addresses; further ones are not added.
const MAX_ADDRESSES: usize = 4_096;

/// Schedule of the attempts at one address.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    due: Time,
    backoff: Span,
    /// Time at which the address is dropped; `None` while it is listed or a seed.
    expires: Option<Time>,
}

/// Addresses at which no live router is known, to be contacted with exponential backoff.
#[derive(Debug, Default)]
pub(super) struct Discovery(BTreeMap<SocketAddr, Schedule>);

impl Discovery {
    /// Adds an address to contact from `due` on; the schedule of a known address is kept.
    pub(super) fn add(&mut self, address: SocketAddr, due: Time) {
        if self.0.len() >= MAX_ADDRESSES {
            return;
        }
        let schedule = Schedule {
            due,
            backoff: MIN_BACKOFF,
            expires: None,
        };
        self.0.entry(address).or_insert(schedule);
    }

    /// Adds an address to contact from `due` on; the backoff of a known address starts over.
    pub(super) fn restart(&mut self, address: SocketAddr, due: Time) {
        self.0.remove(&address);
        self.add(address, due);
    }

    /// Removes an address at which a router was found.
    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.0.remove(&address);
    }

    /// Sets an expiry for the addresses that are not `wanted` and clears it for the others.
    pub(super) fn set_expiry(&mut self, now: Time, wanted: impl Fn(SocketAddr) -> bool) {
        for (address, schedule) in &mut self.0 {
            let expires = schedule.expires.unwrap_or(now + UNLISTED_RETENTION);
            schedule.expires = (!wanted(*address)).then_some(expires);
        }
    }

    /// Returns at most `limit` addresses to contact now, and schedules their next attempts.
    pub(super) fn take_due(&mut self, now: Time, limit: usize) -> Vec<SocketAddr> {
        self.0
            .retain(|_, schedule| schedule.expires.is_none_or(|end| end > now));
        let due = self
            .0
            .iter_mut()
            .filter(|(_, schedule)| schedule.due <= now);
        let mut addresses = Vec::new();
        for (address, schedule) in due.take(limit) {
            schedule.due = now + schedule.backoff;
            schedule.backoff = Span((2 * schedule.backoff.0).min(MAX_BACKOFF.0));
            addresses.push(*address);
        }
        addresses
    }
}
