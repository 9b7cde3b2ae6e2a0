//! Estimate of a target's prompt cache.

use super::{Part, source::PREFILLED_AFTER};
use crate::{
    cache_events::{Item, Reset},
    gossip,
    unit::Time,
};
use std::collections::HashMap;

/// Percentage of an engine's memory that is assumed to hold cached prompts; running requests and
/// parts that are not requested again take the rest.
const CACHE_PERCENT: u64 = 60;
/// Percentage of an engine's memory within which a part was used that is cached for certain: half of the above, since
/// the size of the cache varies with the running requests.
const CERTAIN_PERCENT: u64 = 30;
/// Maximum number of parts tracked for a target. Beyond it, parts that the engine has probably
/// evicted are dropped, or all parts if that is not enough.
const MAX_PARTS: usize = 20_000;

/// Estimate of the prompt parts that a target has cached. Engines evict the least recently used
/// parts, so a part counts as cached until the target has processed as many other tokens as its
/// cache holds.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    /// Prompt tokens that the target has processed so far.
    processed: u64,
    parts: HashMap<u64, Use>,
}

/// What is known of a part.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Value of `processed` when the part was last used.
    last: u64,
    /// Time from which on it counts as prefilled; until then, it has only been sent.
    prefilled: Time,
    /// The first event of a request with it has arrived, here or at a router that said so.
    is_confirmed: bool,
    /// Another router reported it.
    is_reported: bool,
    /// The engine reported that it has the part.
    is_listed: bool,
    /// Nothing but events of the engine tells of it.
    is_learned: bool,
    /// The engine has evicted it. The entry stays, so that a second report of the same is recognized.
    is_evicted: bool,
    /// Hash of the model that the engine reported it for; 0 if unknown.
    model: u32,
    /// Time of the last send or first event of a request with it, here or at a router that reported it.
    used: Time,
}

impl Use {
    /// Reports whether the estimate has it as cached.
    fn is_cached(&self, processed: u64, capacity: u64) -> bool {
        !self.is_evicted && processed - self.last < capacity
    }

    /// Reports whether nothing but sends of this router tells of it.
    fn is_only_sent(&self) -> bool {
        !self.is_confirmed && !self.is_reported && !self.is_listed && !self.is_evicted
    }
}

/// Effect of an eviction on the estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eviction {
    /// The part was not tracked.
    Unknown,
    /// The eviction was known.
    Known,
    /// It may be older than the last use of the part.
    Late,
    /// The part counts as evicted from now on.
    New {
        /// The estimate had the part as cached.
        was_cached: bool,
    },
}

/// Leading parts of a prompt that another engine can copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Prefilled {
    /// Tokens of the parts.
    pub(super) tokens: u64,
    /// All of them are known to have been processed, and were used so recently that they are not evicted.
    pub(super) is_certain: bool,
}

impl Cache {
    /// Returns the number of tokens in the leading parts that are probably cached.
    pub(super) fn cached(&self, parts: &[Part], memory: u64) -> u64 {
        let capacity = memory * CACHE_PERCENT / 100;
        let cached = parts.iter().take_while(|part| {
            let part = self.parts.get(&part.id);
            part.is_some_and(|part| part.is_cached(self.processed, capacity))
        });
        cached.map(|part| u64::from(part.tokens)).sum()
    }

    /// Returns the leading parts that the target has finished processing and probably still has.
    pub(super) fn prefilled(&self, now: Time, parts: &[Part], memory: u64) -> Prefilled {
        let capacity = memory * CACHE_PERCENT / 100;
        let certain = memory * CERTAIN_PERCENT / 100;
        let mut found = Prefilled {
            tokens: 0,
            is_certain: true,
        };
        for part in parts {
            let Some(known) = self.parts.get(&part.id) else {
                break;
            };
            let age = self.processed - known.last;
            if known.prefilled > now || !known.is_cached(self.processed, capacity) {
                break;
            }
            found.tokens += u64::from(part.tokens);
            found.is_certain &= known.is_listed || (known.is_confirmed && age < certain);
        }
        found
    }

    /// Records that the target processed tokens of parts that are not tracked.
    pub(super) fn displace(&mut self, tokens: u64) {
        self.processed += tokens;
    }

    /// Records that a part was sent to the target.
    pub(super) fn touch(&mut self, now: Time, id: u64, tokens: u32, memory: u64) {
        let capacity = memory * CACHE_PERCENT / 100;
        let known = self.parts.get(&id);
        let known = known.filter(|known| known.is_cached(self.processed, capacity));
        let unknown = Use {
            last: 0,
            prefilled: now + PREFILLED_AFTER,
            is_confirmed: false,
            is_reported: false,
            is_listed: false,
            is_learned: false,
            is_evicted: false,
            model: 0,
            used: now,
        };
        let known_use = known.copied().unwrap_or(unknown);
        if known.is_none() {
            self.processed += u64::from(tokens);
        }
        let touched = Use {
            last: self.processed,
            is_learned: false,
            used: now,
            ..known_use
        };
        self.parts.insert(id, touched);
        if self.parts.len() > MAX_PARTS {
            let oldest = self.processed.saturating_sub(capacity);
            self.parts.retain(|_, known| known.last >= oldest);
            if self.parts.len() > MAX_PARTS {
                self.parts.clear();
            }
        }
    }

    /// Records that another router sent a part to the target, and whether the target has finished processing it.
    pub(super) fn report(&mut self, now: Time, prefill: &gossip::Prefill, memory: u64) {
        self.touch(now, prefill.part, prefill.tokens, memory);
        if let Some(known) = self.parts.get_mut(&prefill.part) {
            known.is_reported = true;
        }
        if prefill.prefilled {
            self.finish(now, prefill.part);
        }
    }

    /// Records that the target has finished processing a part that was sent there.
    pub(super) fn finish(&mut self, now: Time, id: u64) {
        if let Some(known) = self.parts.get_mut(&id) {
            known.prefilled = known.prefilled.min(now);
            known.is_confirmed = true;
            known.used = now;
        }
    }

    /// Records the first event of a request with a part: the target has it, also if it evicted the part while the request
    /// was on its way.
    pub(super) fn finish_own(&mut self, now: Time, part: &Part, memory: u64) {
        if self
            .parts
            .get(&part.id)
            .is_some_and(|known| known.is_evicted)
        {
            self.touch(now, part.id, part.tokens, memory);
        }
        self.finish(now, part.id);
    }

    /// Records that the engine reports a part as cached; returns whether that was not certain before.
    pub(super) fn confirm(&mut self, now: Time, item: &Item, tokens: u32, memory: u64) -> bool {
        let capacity = memory * CACHE_PERCENT / 100;
        let known = self.parts.get(&item.part).copied();
        let known = known.filter(|known| known.is_cached(self.processed, capacity));
        if known.is_none() {
            self.touch(now, item.part, tokens, memory);
        }
        let Some(part) = self.parts.get_mut(&item.part) else {
            return false;
        };
        if known.is_none() {
            part.is_learned = true;
            // The event may be older than an eviction that another reader reports next.
            part.used = Time::default();
        }
        let was_certain = part.is_confirmed || part.is_listed;
        part.prefilled = part.prefilled.min(now);
        part.is_listed = true;
        part.model = item.model;
        !was_certain
    }

    /// Records that the engine evicted a part at some time after `after`, which has no effect if the part may have been
    /// used since. An event names a model; the same part of another one is not meant.
    pub(super) fn evict(
        &mut self,
        after: Time,
        id: u64,
        model: Option<u32>,
        memory: u64,
    ) -> Eviction {
        let capacity = memory * CACHE_PERCENT / 100;
        let Some(known) = self.parts.get_mut(&id) else {
            return Eviction::Unknown;
        };
        if known.is_evicted {
            return Eviction::Known;
        }
        if model.is_some_and(|model| known.model != 0 && known.model != model) {
            return Eviction::Unknown;
        }
        if known.used >= after {
            return Eviction::Late;
        }
        let was_cached = known.is_cached(self.processed, capacity);
        known.is_evicted = true;
        known.is_confirmed = false;
        known.is_reported = false;
        known.is_listed = false;
        known.is_learned = true;
        Eviction::New { was_cached }
    }

    /// Drops what events said, because some are missing or the engine restarted some time after `after`. What requests
    /// showed stays, after a restart only that of requests since then.
    pub(super) fn forget_events(&mut self, after: Time, reset: Reset) {
        self.parts
            .retain(|_, known| !known.is_learned && (reset == Reset::Gap || known.used >= after));
        for known in self.parts.values_mut() {
            known.is_listed = false;
        }
    }

    /// Reports whether the target is known to have finished processing a part.
    pub(super) fn is_prefilled(&self, id: u64) -> bool {
        let known = self.parts.get(&id);
        known.is_some_and(|known| known.is_confirmed || known.is_listed)
    }

    /// Removes a part that only requests of this router brought to the target, if all of them ended before it was
    /// processed.
    pub(super) fn forget_unfinished(&mut self, id: u64) {
        let known = self.parts.get(&id);
        if known.is_some_and(Use::is_only_sent) {
            self.parts.remove(&id);
        }
    }
}
