//! Members that joined recently.

use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time for which heartbeats list a new member.
const NAMED_FOR: Span = Span::from_secs(6);
/// Maximum number of new members in one heartbeat.
const MAX_NAMED: usize = 3;

/// Members that joined recently and that other routers may not know yet, with the end of the time
/// for which heartbeats list them.
#[derive(Debug, Default)]
pub(super) struct Newcomers(BTreeMap<id::Router, Time>);

impl Newcomers {
    /// Adds a member that joined now.
    pub(super) fn add(&mut self, now: Time, router: &id::Router) {
        self.0.insert(router.clone(), now + NAMED_FOR);
    }

    /// Removes the members whose time is over.
    pub(super) fn expire(&mut self, now: Time) {
        self.0.retain(|_, until| *until > now);
    }

    /// Returns some of the new members, starting at an index derived from `choice`.
    pub(super) fn some(&self, choice: u64) -> Vec<&id::Router> {
        let all = self.0.len();
        let skip = (choice % all.max(1) as u64) as usize;
        let turned = self.0.keys().skip(skip).chain(self.0.keys().take(skip));
        turned.take(MAX_NAMED).collect()
    }
}
