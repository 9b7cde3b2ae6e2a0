//! Prompt parts that several requests may share.

use crate::unit::{Span, Time};
use std::collections::HashMap;

/// Time after which a part is forgotten that no request named; engines evict it in about that time.
const RETENTION: Span = Span::from_secs(60);
/// Maximum number of parts; a deployment has some hundred.
const MAX_PARTS: usize = 8_192;

/// Prompt parts that several requests may share, as requests at this router or reports of others named them. Only changes of
/// these are passed on to other routers.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedParts {
    /// Tokens of each part, and the time at which it was last named.
    parts: HashMap<u64, (u32, Time)>,
}

impl SharedParts {
    /// Records that a part was named.
    pub(super) fn record(&mut self, now: Time, id: u64, tokens: u32) {
        if self.parts.len() < MAX_PARTS || self.parts.contains_key(&id) {
            self.parts.insert(id, (tokens, now));
        }
    }

    /// Returns the tokens of a part; `None` if it isn't known to be shared.
    pub(super) fn tokens(&self, id: u64) -> Option<u32> {
        self.parts.get(&id).map(|(tokens, _)| *tokens)
    }

    /// Forgets parts that were not named for a while.
    pub(super) fn expire(&mut self, now: Time) {
        self.parts
            .retain(|_, (_, named)| now.since(*named) < RETENTION);
    }

    /// Forgets all parts.
    pub(super) fn clear(&mut self) {
        self.parts = HashMap::new();
    }
}
