//! Part of a target's limit, and its division among routers.
//!
//! For limits of about a request a second, or less, in fleets of many routers. In equal parts, each router
//! could send a request every few minutes, and what each of them has saved up adds up to many times the
//! limit. So a limit has a number of slots, each of about a request a second. If there are more routers than
//! slots, rendezvous hashing assigns the slots, by demand, and the other routers send nothing.

use super::member::Member;
use crate::{placement::mix, unit::Rate};

/// Lowest rate that limits are taken for, so that their end is noticed: a request in five seconds of all
/// routers together.
const MIN_PER_S: f64 = 0.2;
/// Slots beyond one for each request a second: if the router of one is cut off from the target, others still
/// notice the end of the limit.
const EXTRA_SLOTS: u32 = 2;
/// Maximum number of slots. Beyond it what their routers save up hardly matters beside the limit.
const MAX_SLOTS: u32 = 32;
/// Spreads consecutive numbers over all bits: the fraction of the golden ratio.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// Part of a target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Quota {
    /// Requests per second.
    pub(super) per_s: f64,
    /// Number of routers that may use it.
    pub(super) slots: u32,
}

impl Quota {
    /// Returns the whole limit of a target.
    pub(super) fn whole(limit: Rate) -> Self {
        let per_s = limit.per_s().max(MIN_PER_S);
        Self {
            per_s,
            slots: (per_s as u32).saturating_add(EXTRA_SLOTS).min(MAX_SLOTS),
        }
    }

    /// Reports whether a limit is so low that requests under it only find out whether it has ended.
    pub(super) fn is_trial(limit: Rate) -> bool {
        limit.per_s() < MIN_PER_S
    }

    /// Divides the part among members, in their order. Members that know the same of each other agree.
    pub(super) fn divide(self, seed: u64, members: &[Member]) -> Vec<Quota> {
        let demands = members.iter().map(|member| f64::from(member.demand));
        let mut demands: Vec<f64> = demands.collect();
        if demands.iter().all(|demand| *demand == 0.0) {
            demands.fill(1.0);
        }
        let active = demands.iter().filter(|demand| **demand > 0.0).count();
        if active <= self.slots as usize {
            let total: f64 = demands.iter().sum();
            let parts = demands.iter().map(|demand| self.part(demand / total));
            return parts.collect();
        }
        let mut parts = vec![Quota::default(); members.len()];
        for slot in 0..self.slots {
            let winner = winner(
                mix(seed ^ u64::from(slot).wrapping_mul(GOLDEN)),
                members,
                &demands,
            );
            if let Some(part) = winner.and_then(|winner| parts.get_mut(winner)) {
                part.per_s += self.per_s / f64::from(self.slots);
                part.slots += 1;
            }
        }
        parts
    }

    fn part(self, fraction: f64) -> Quota {
        if fraction == 0.0 {
            return Quota::default();
        }
        Quota {
            per_s: self.per_s * fraction,
            slots: ((f64::from(self.slots) * fraction) as u32).max(1),
        }
    }
}

/// Returns the index of the member that rendezvous hashing chooses: each with a probability in proportion to its
/// demand.
fn winner(seed: u64, members: &[Member], demands: &[f64]) -> Option<usize> {
    let scores = members.iter().zip(demands).map(|(member, demand)| {
        let draw = (mix(seed ^ member.key) >> 11) as f64 + 0.5;
        let draw = draw / (1_u64 << 53) as f64;
        if *demand > 0.0 {
            draw.ln() / demand
        } else {
            f64::NEG_INFINITY
        }
    });
    let best = scores
        .enumerate()
        .max_by(|one, other| one.1.total_cmp(&other.1));
    best.map(|(index, _)| index)
}
