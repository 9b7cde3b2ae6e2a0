//! Loads last sent to one set of recipients.

use crate::{
    gossip,
    unit::{Span, Time},
};
use std::{cmp::Reverse, collections::HashMap};

/// Time after which a load that did not change is sent again, since datagrams may be lost.
const REFRESH_INTERVAL: Span = Span::from_millis(500);
/// Prompt tokens that weigh as much as one running request in the difference of two loads.
const TOKENS_PER_REQUEST: u64 = 500;
/// Tokens of memory that weigh as much as one prompt token in the difference of two loads.
const MEMORY_PER_TOKEN: u64 = 4;
/// Time after which a limit that did not change is sent again, for the same reason.
const LIMIT_REFRESH_INTERVAL: Span = Span::from_millis(500);

/// Load as it was last sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    load: gossip::Load,
    at: Time,
}

/// Loads last sent to one set of recipients, so that only changes are sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Baseline {
    loads: HashMap<u64, Sent>,
    limits: HashMap<u64, (Time, gossip::Limit)>,
    builds: (Time, Vec<gossip::Build>),
    /// Time of the last summary.
    pub(super) last_sent: Time,
    /// Time at which usages were last sent.
    pub(super) usages_sent: Time,
    /// Time at which all usages were last sent.
    pub(super) usages_complete: Time,
}

impl Baseline {
    /// Returns up to `limit` loads to send now: those that differ from what was last sent, and those
    /// that were not sent for [`REFRESH_INTERVAL`]. The largest differences and the oldest loads go
    /// first. A target whose load was never sent counts as idle.
    pub(super) fn select(
        &mut self,
        now: Time,
        loads: impl Iterator<Item = gossip::Load>,
        limit: usize,
    ) -> Vec<gossip::Load> {
        let mut due: Vec<(u64, gossip::Load)> = Vec::new();
        for load in loads {
            let Some(sent) = self.loads.get(&load.target) else {
                if load.running > 0 || load.suspect {
                    due.push((u64::MAX, load));
                }
                continue;
            };
            let age = now.since(sent.at);
            if sent.load != load || age >= REFRESH_INTERVAL {
                let urgency = difference(&sent.load, &load).saturating_mul(1 + age.as_millis());
                due.push((urgency, load));
            }
        }
        if due.len() > limit {
            due.sort_by_key(|(urgency, _)| Reverse(*urgency));
            due.truncate(limit);
        }
        let loads = due.into_iter().map(|(_, load)| {
            self.loads.insert(load.target, Sent { load, at: now });
            load
        });
        loads.collect()
    }

    /// Returns the limits to send now: those that differ from what was last sent, and those that were not sent
    /// for [`LIMIT_REFRESH_INTERVAL`].
    pub(super) fn select_limits(
        &mut self,
        now: Time,
        mut limits: Vec<gossip::Limit>,
    ) -> Vec<gossip::Limit> {
        limits.retain(|limit| {
            let sent = self.limits.get(&limit.target);
            let is_due = sent.is_none_or(|(at, sent)| {
                let said = |limit: &gossip::Limit| (limit.limit, limit.quota, limit.slots);
                said(sent) != said(limit) || now.since(*at) >= LIMIT_REFRESH_INTERVAL
            });
            if is_due {
                self.limits.insert(limit.target, (now, *limit));
            }
            is_due
        });
        limits
    }

    /// Returns the builds to send now, by the same rule as limits.
    pub(super) fn select_builds(
        &mut self,
        now: Time,
        builds: Vec<gossip::Build>,
    ) -> Vec<gossip::Build> {
        let (at, sent) = &self.builds;
        if *sent == builds && now.since(*at) < REFRESH_INTERVAL {
            return Vec::new();
        }
        self.builds = (now, builds.clone());
        builds
    }

    /// Sends all limits again, since a recipient has just started.
    pub(super) fn forget_limits(&mut self) {
        self.limits.clear();
    }

    /// Removes the loads and limits of unknown targets.
    pub(super) fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.loads.retain(|target, _| is_known(*target));
        self.limits.retain(|target, _| is_known(*target));
    }
}

/// Returns how much two loads of a target differ, in prompt tokens; at least 1.
fn difference(before: &gossip::Load, after: &gossip::Load) -> u64 {
    if before.suspect != after.suspect {
        return u64::MAX;
    }
    1 + u64::from(before.running.abs_diff(after.running)) * TOKENS_PER_REQUEST
        + before.backlog.abs_diff(after.backlog)
        + before.memory.abs_diff(after.memory) / MEMORY_PER_TOKEN
}
