//! Requests of the callers of one workspace.

use std::ops::Range;

/// Requests of the callers of one workspace.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub(crate) workspace: usize,
    pub(crate) requests_per_s: u64,
    /// Time in which they arrive, in milliseconds.
    pub(crate) during: Range<u64>,
    /// Routers that they reach, one for each period of [`Flow::PERIOD_MS`]; all in each period if empty.
    pub(crate) routers: Vec<usize>,
    /// Prompt tokens that no other request shares.
    pub(crate) own_tokens: Range<u64>,
    /// Requests per second that the router which they reach accepts before its limit; all if `None`.
    pub(crate) accepted_per_s: Option<u64>,
    /// The others are refused unread, in groups.
    pub(crate) refused_unread: bool,
}

impl Flow {
    /// Time after which all callers move to the next router, as with a balancer that goes by a hash of
    /// the caller and leaves out routers that aren't ready.
    const PERIOD_MS: u64 = 3_000;

    /// Requests that are spread over all routers, for the whole time.
    pub(crate) fn spread(workspace: usize, requests_per_s: u64) -> Self {
        Self {
            workspace,
            requests_per_s,
            during: 0..u64::MAX,
            routers: Vec::new(),
            own_tokens: 300..1_800,
            accepted_per_s: None,
            refused_unread: false,
        }
    }

    /// Returns the router that all requests reach now; `None` if they are spread.
    pub(crate) fn router(&self, now_ms: u64) -> Option<usize> {
        let period = (now_ms / Self::PERIOD_MS) as usize;
        let count = self.routers.len();
        (count > 0).then(|| self.routers[period % count])
    }
}
