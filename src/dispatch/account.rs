//! Token totals of a workspace.

use super::tokens::Tokens;
use crate::id;
use std::collections::HashMap;

/// Token totals of a workspace since this router started, kept separately for each kind of
/// recipient.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Tokens at this router and its followers.
    pub(super) group: Tokens,
    /// Tokens at all routers that this one received summaries from, and at itself.
    pub(super) all: Tokens,
    /// Tokens at each follower; included in `all` and `group`.
    followers: HashMap<id::Router, Tokens>,
    /// The totals changed since they were last sent to other routers.
    pub(super) changed: bool,
}

impl Account {
    /// Adds tokens at this router.
    pub(super) fn add_own(&mut self, tokens: Tokens) {
        self.group += tokens;
        self.all += tokens;
        self.changed = true;
    }

    /// Adds tokens that another router reported.
    pub(super) fn add(&mut self, router: &id::Router, is_follower: bool, tokens: Tokens) {
        if tokens == Tokens::default() {
            return;
        }
        self.all += tokens;
        self.changed = true;
        if is_follower {
            self.group += tokens;
            *self.followers.entry(router.clone()).or_default() += tokens;
        }
    }

    /// Returns the totals of all routers except one follower.
    pub(super) fn except(&self, follower: &id::Router) -> Tokens {
        let at_follower = self.followers.get(follower).copied().unwrap_or_default();
        Tokens {
            requested: self.all.requested - at_follower.requested,
            granted: self.all.granted - at_follower.granted,
        }
    }
}
