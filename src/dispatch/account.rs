//! Token totals of a workspace.

use super::tokens::Tokens;
use crate::{id, unit::Time};
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
    /// Time of the last change.
    pub(super) changed_at: Time,
}

impl Account {
    /// Adds tokens at this router.
    pub(super) fn add_own(&mut self, now: Time, tokens: Tokens) {
        self.group += tokens;
        self.all += tokens;
        self.changed_at = now;
    }

    /// Adds tokens that another router reported.
    pub(super) fn add(
        &mut self,
        now: Time,
        router: &id::Router,
        is_follower: bool,
        tokens: Tokens,
    ) {
        if tokens == Tokens::default() {
            return;
        }
        self.all += tokens;
        self.changed_at = now;
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
