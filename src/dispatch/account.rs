//! Tokens of a workspace, summed up for the audiences that are told of them.

use super::count::Count;
use crate::id;
use std::collections::HashMap;

/// Tokens of a workspace since this router started, summed up for the audiences that are told.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Of this router and those that follow it.
    pub(super) group: Count,
    /// Of all routers that this one heard of.
    pub(super) all: Count,
    /// What each follower's part of `all` is.
    followers: HashMap<id::Router, Count>,
    /// The other routers were not told the newest values.
    pub(super) changed: bool,
}

impl Account {
    /// Adds tokens of this router.
    pub(super) fn add_own(&mut self, count: Count) {
        self.group += count;
        self.all += count;
        self.changed = true;
    }

    /// Adds tokens that a router told.
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

    /// Returns the tokens of all routers but a follower.
    pub(super) fn rest(&self, follower: &id::Router) -> Count {
        let own = self.followers.get(follower).copied().unwrap_or_default();
        Count {
            asked: self.all.asked - own.asked,
            granted: self.all.granted - own.granted,
        }
    }
}
