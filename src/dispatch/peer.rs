//! State that another router reported.

use super::{View, count::Count, ledger::Ledger};
use crate::{
    gossip::{self, Scope},
    id,
    unit::{Span, Time, Version},
};
use std::collections::HashMap;

/// Time after a router's first summary from which it is known to have reported every workspace; one
/// that it reports later starts at zero. One and a half periods of the full update, to allow for
/// lost datagrams.
const ALL_TOLD: Span = Span::from_millis(750);

/// State that another router reported, latest values.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) incarnation: id::Incarnation,
    pub(super) scope: Scope,
    pub(super) sequence: u64,
    /// Time of the router's first summary.
    since: Time,
    pub(super) heard: Time,
    pub(super) version: Version,
    /// Number of routers whose load it reports.
    pub(super) routers: u32,
    /// Age of the oldest report in its last summary, when that was sent.
    pub(super) age: Span,
    pub(super) loads: HashMap<u64, gossip::Load>,
    usages: HashMap<u64, gossip::Usage>,
    /// Loads last sent to it, if it follows this router.
    pub(super) ledger: Ledger,
}

impl Peer {
    pub(super) fn new(summary: &gossip::Summary, now: Time) -> Self {
        Self {
            incarnation: summary.incarnation,
            scope: summary.scope,
            sequence: 0,
            since: now,
            heard: now,
            version: summary.version,
            routers: summary.routers,
            age: summary.age,
            loads: HashMap::new(),
            usages: HashMap::new(),
            ledger: Ledger::default(),
        }
    }

    /// Returns the current age of the oldest report that it passed on.
    pub(super) fn age(&self, now: Time) -> Span {
        Span(now.since(self.heard).0 + self.age.0)
    }

    /// Reports whether it follows this router.
    pub(super) fn follows(&self) -> bool {
        self.scope == Scope::Follower
    }

    /// Stores a load; returns the view before and after.
    pub(super) fn take_load(&mut self, load: &gossip::Load) -> (View, View) {
        let old = self.loads.insert(load.target, *load);
        (
            old.as_ref().map(View::from).unwrap_or_default(),
            load.into(),
        )
    }

    /// Stores a usage; returns the tokens requested and granted since the previous one.
    ///
    /// Tokens from before the router's first summary are ignored, because it is unknown when they
    /// were used.
    pub(super) fn take_usage(&mut self, usage: &gossip::Usage) -> Count {
        let told = self.usages.insert(usage.workspace, *usage);
        let is_new = told.is_none() && self.heard.since(self.since) >= ALL_TOLD;
        let old = told.unwrap_or(if is_new {
            gossip::Usage::default()
        } else {
            *usage
        });
        Count {
            asked: usage.asked.saturating_sub(old.asked),
            granted: usage.granted.saturating_sub(old.granted),
        }
    }
}
