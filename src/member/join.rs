//! Members that joined recently.

use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time for which heartbeats list a new member.
const JOIN_LIFETIME: Span = Span::from_secs(6);
/// Maximum number of new members in one heartbeat.
const MAX_JOINS: usize = 3;

/// Members that joined recently and that other routers may not know yet, with the end of the time
/// for which heartbeats list them.
#[derive(Debug, Default)]
pub(super) struct Joins(BTreeMap<id::Router, Time>);

impl Joins {
    /// Adds a member that joined now.
    pub(super) fn add(&mut self, now: Time, router: &id::Router) {
        self.0.insert(router.clone(), now + JOIN_LIFETIME);
    }

    /// Removes the members whose time is over.
    pub(super) fn expire(&mut self, now: Time) {
        self.0.retain(|_, expires| *expires > now);
    }

    /// Returns some of the new members, starting at an index derived from `choice`.
    pub(super) fn select(&self, choice: u64) -> Vec<&id::Router> {
        let count = self.0.len();
        let skip = (choice % count.max(1) as u64) as usize;
        let rotated = self.0.keys().skip(skip).chain(self.0.keys().take(skip));
        rotated.take(MAX_JOINS).collect()
    }
}
