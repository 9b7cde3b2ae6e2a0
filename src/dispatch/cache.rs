//! Estimate of a target's prompt cache.

use super::Part;
use std::collections::HashMap;

/// Percentage of an engine's memory that is assumed to hold cached prompts; running requests and
/// parts that are not requested again take the rest.
const CACHE_PERCENT: u64 = 60;
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
    /// Value of `processed` when each part was last used.
    parts: HashMap<u64, u64>,
}

impl Cache {
    /// Returns the number of tokens in the leading parts that are probably cached.
    pub(super) fn cached(&self, parts: &[Part], memory: u64) -> u64 {
        let capacity = memory * CACHE_PERCENT / 100;
        let cached = parts.iter().take_while(|part| {
            let last_used = self.parts.get(&part.id);
            last_used.is_some_and(|last_used| self.processed - last_used < capacity)
        });
        cached.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that the target processed tokens of parts that are not tracked.
    pub(super) fn displace(&mut self, tokens: u64) {
        self.processed += tokens;
    }

    /// Records that a part was sent to the target.
    pub(super) fn touch(&mut self, id: u64, tokens: u32, memory: u64) {
        let capacity = memory * CACHE_PERCENT / 100;
        let last_used = self.parts.get(&id);
        if last_used.is_none_or(|last_used| self.processed - last_used >= capacity) {
            self.processed += u64::from(tokens);
        }
        self.parts.insert(id, self.processed);
        if self.parts.len() > MAX_PARTS {
            let oldest = self.processed.saturating_sub(capacity);
            self.parts.retain(|_, last_used| *last_used >= oldest);
            if self.parts.len() > MAX_PARTS {
                self.parts.clear();
            }
        }
    }
}
