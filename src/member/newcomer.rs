//! Members that others may not know yet.

use crate::{
    id,
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// Time for which a new member is named in heartbeats.
const NAMED_FOR: Span = Span::from_secs(6);
/// New members that one heartbeat names.
const MAX_NAMED: usize = 3;

/// Members that came lately.
#[derive(Debug, Default)]
pub(super) struct Newcomers(BTreeMap<id::Router, Time>);

impl Newcomers {
    /// Names a member from now on.
    pub(super) fn add(&mut self, now: Time, router: &id::Router) {
        self.0.insert(router.clone(), now + NAMED_FOR);
    }

    /// Ends the naming of those that were named long enough.
    pub(super) fn expire(&mut self, now: Time) {
        self.0.retain(|_, until| *until > now);
    }

    /// Returns some of the newcomers; which ones depends on `choice`.
    pub(super) fn some(&self, choice: u64) -> Vec<&id::Router> {
        let all = self.0.len();
        let skip = (choice % all.max(1) as u64) as usize;
        let turned = self.0.keys().skip(skip).chain(self.0.keys().take(skip));
        turned.take(MAX_NAMED).collect()
    }
}
