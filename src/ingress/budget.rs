//! Retry budget.

/// One retry in the budget's unit, thousandths of a retry.
const RETRY: u64 = 1_000;

/// Retry budget: a token bucket that each request refills by a fraction of a retry, up to a burst.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    permille: u64,
    burst: u64,
    saved: u64,
}

impl Budget {
    /// Returns a full budget; each request adds `permille` thousandths of a retry.
    pub(crate) fn new(permille: u32, burst: u32) -> Self {
        let burst = u64::from(burst) * RETRY;
        Self {
            permille: u64::from(permille),
            burst,
            saved: burst,
        }
    }

    /// Changes the burst; a balance beyond it is lost.
    pub(crate) fn limit(&mut self, burst: u32) {
        self.burst = u64::from(burst) * RETRY;
        self.saved = self.saved.min(self.burst);
    }

    /// Adds the fraction of a retry that one request earns.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + self.permille).min(self.burst);
    }

    /// Takes one retry; returns `false` if less than one is left.
    pub(crate) fn spend(&mut self) -> bool {
        match self.saved.checked_sub(RETRY) {
            Some(rest) => {
                self.saved = rest;
                true
            }
            None => false,
        }
    }
}
