//! Latest state that another router reported.

use super::{View, baseline::Baseline, quota::Quota, tokens::Tokens};
use crate::{
    gossip::{self, Scope},
    id,
    unit::{Span, Time, Version},
};
use std::collections::HashMap;

/// Time after a router's first summary by which it has reported every workspace that it has served;
/// the tokens of one that it reports later are counted from zero. One and a half periods of the
/// full update, to allow for lost datagrams.
const COMPLETE_AFTER: Span = Span::from_millis(750);

/// Latest state that another router reported.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) incarnation: id::Incarnation,
    pub(super) scope: Scope,
    pub(super) sequence: u64,
    /// Time of the router's first summary.
    first_heard: Time,
    pub(super) last_heard: Time,
    pub(super) version: Version,
    /// Number of routers whose load it reports.
    pub(super) router_count: u32,
    /// Age of the oldest report in its last summary, when that was sent.
    pub(super) reported_age: Span,
    /// Thousandths of the engines that are crowded, as it reported.
    pub(super) crowded_permille: Option<u16>,
    /// Requests per second that targets are sought for at the routers whose load it reports.
    pub(super) demand: u32,
    /// Parts of the targets' limits that it may use, if it follows this router.
    pub(super) quotas: HashMap<u64, Quota>,
    pub(super) loads: HashMap<u64, gossip::Load>,
    usages: HashMap<u64, gossip::Usage>,
    /// Loads last sent to it, if it follows this router.
    pub(super) baseline: Baseline,
    /// Streams that it has not been told of since it started, the latest last.
    pub(super) untold: Vec<gossip::Origin>,
}

impl Peer {
    pub(super) fn new(summary: &gossip::Summary, now: Time) -> Self {
        Self {
            incarnation: summary.incarnation,
            scope: summary.scope,
            sequence: 0,
            first_heard: now,
            last_heard: now,
            version: summary.version,
            router_count: summary.router_count,
            reported_age: summary.age,
            crowded_permille: None,
            demand: summary.demand,
            quotas: HashMap::new(),
            loads: HashMap::new(),
            usages: HashMap::new(),
            baseline: Baseline::default(),
            untold: Vec::new(),
        }
    }

    /// Returns the current age of the oldest report that it passed on.
    pub(super) fn age(&self, now: Time) -> Span {
        Span(now.since(self.last_heard).0 + self.reported_age.0)
    }

    /// Returns the time of the oldest report that it passed on.
    pub(super) fn reported(&self, now: Time) -> Time {
        Time(now.0.saturating_sub(self.age(now).0))
    }

    /// Reports whether it follows this router.
    pub(super) fn is_follower(&self) -> bool {
        self.scope == Scope::Follower
    }

    /// Takes up to `limit` streams that it has not been told of, the latest first.
    pub(super) fn take_untold(&mut self, limit: usize) -> Vec<gossip::Origin> {
        let rest = self.untold.len().saturating_sub(limit);
        self.untold.split_off(rest)
    }

    /// Stores a load; returns the view before and after.
    pub(super) fn set_load(&mut self, load: &gossip::Load) -> (View, View) {
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
    pub(super) fn set_usage(&mut self, usage: &gossip::Usage) -> Tokens {
        let reported = self.usages.insert(usage.workspace, *usage);
        let is_new =
            reported.is_none() && self.last_heard.since(self.first_heard) >= COMPLETE_AFTER;
        let old = reported.unwrap_or(if is_new {
            gossip::Usage::default()
        } else {
            *usage
        });
        Tokens {
            requested: usage.requested.saturating_sub(old.requested),
            granted: usage.granted.saturating_sub(old.granted),
        }
    }
}
