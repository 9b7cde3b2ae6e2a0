//! Budget of retries.

/// Thousandths of a retry in one retry.
const RETRY: u64 = 1_000;

/// Budget of retries: each request adds a fraction of one, up to a burst.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    permille: u64,
    burst: u64,
    saved: u64,
}

impl Budget {
    /// Returns a full budget.
    pub(crate) fn new(permille: u32, burst: u32) -> Self {
        let burst = u64::from(burst) * RETRY;
        Self {
            permille: u64::from(permille),
            burst,
            saved: burst,
        }
    }

    /// Changes the burst; what was saved beyond it is lost.
    pub(crate) fn limit(&mut self, burst: u32) {
        self.burst = u64::from(burst) * RETRY;
        self.saved = self.saved.min(self.burst);
    }

    /// Adds the share of one request.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + self.permille).min(self.burst);
    }

    /// Takes one retry; returns false if none is left.
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
