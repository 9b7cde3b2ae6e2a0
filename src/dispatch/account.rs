//! Token totals of a workspace.

use super::count::Count;
use crate::id;
use std::collections::HashMap;

/// Token totals of a workspace since this router started, kept separately for each kind of
/// recipient.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Tokens at this router and its followers.
    pub(super) group: Count,
    /// Tokens at all routers that this one received summaries from, and at itself.
    pub(super) all: Count,
    /// Tokens at each follower; included in `all` and `group`.
    followers: HashMap<id::Router, Count>,
    /// The totals changed since they were last sent to other routers.
    pub(super) changed: bool,
}

impl Account {
    /// Adds tokens of a request at this router.
    pub(super) fn add_own(&mut self, count: Count) {
        self.group += count;
        self.all += count;
        self.changed = true;
    }

    /// Adds tokens that another router reported.
    pub(super) fn add(&mut self, router: &id::Router, follows: bool, count: Count) {
        if count == Count::default() {
            return;
        }
        self.all += count;
        self.changed = true;
        if follows {
            self.group += count;
            *self.followers.entry(router.clone()).or_default() += count;
        }
    }

    /// Returns the totals of all routers except one follower.
    pub(super) fn rest(&self, follower: &id::Router) -> Count {
        let own = self.followers.get(follower).copied().unwrap_or_default();
        Count {
            asked: self.all.asked - own.asked,
            granted: self.all.granted - own.granted,
        }
    }
}
