//! Which parts of prompts a target probably keeps.

use super::Part;
use std::collections::HashMap;

/// Part of an engine's memory that cached prompts are counted on to fill, in percent; running
/// requests and parts that nobody asks for again take the rest.
const KEPT_PERCENT: u64 = 60;
/// Parts remembered at most, per target; the oldest half is forgotten beyond.
const MAX_PARTS: usize = 20_000;

/// Which parts of prompts a target probably keeps: those that were read or used within the last
/// tokens that fit its memory, since the least recently used ones yield.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    /// Tokens that the target has read.
    read: u64,
    /// Value of `read` when each part was used last.
    parts: HashMap<u64, u64>,
}

impl Cache {
    /// Returns the tokens of the leading parts that are probably kept.
    pub(super) fn kept(&self, parts: &[Part], memory: u64) -> u64 {
        let reach = memory * KEPT_PERCENT / 100;
        let kept = parts.iter().take_while(|part| {
            let used = self.parts.get(&part.id);
            used.is_some_and(|used| self.read - used < reach)
        });
        kept.map(|part| u64::from(part.tokens)).sum()
    }

    /// Notes that a part was sent to the target.
    pub(super) fn touch(&mut self, id: u64, tokens: u32, memory: u64) {
        let reach = memory * KEPT_PERCENT / 100;
        let used = self.parts.get(&id);
        if used.is_none_or(|used| self.read - used >= reach) {
            self.read += u64::from(tokens);
        }
        self.parts.insert(id, self.read);
        if self.parts.len() > MAX_PARTS {
            let bound = self.read.saturating_sub(reach);
            self.parts.retain(|_, used| *used >= bound);
            if self.parts.len() > MAX_PARTS {
                self.parts.clear();
            }
        }
    }
}
