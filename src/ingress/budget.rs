//! Retry budget.

/// One retry in the budget's unit, thousandths of a retry.
const UNITS_PER_RETRY: u64 = 1_000;

/// Retry budget: a token bucket that each request refills by a fraction of a retry, up to a burst.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    permille: u64,
    burst: u64,
    balance: u64,
}

impl Budget {
    /// Returns a full budget; each request adds `permille` thousandths of a retry.
    pub(crate) fn new(permille: u32, burst: u32) -> Self {
        let burst = u64::from(burst) * UNITS_PER_RETRY;
        Self {
            permille: u64::from(permille),
            burst,
            balance: burst,
        }
    }

    /// Changes the burst; a balance beyond it is lost.
    pub(crate) fn limit(&mut self, burst: u32) {
        self.burst = u64::from(burst) * UNITS_PER_RETRY;
        self.balance = self.balance.min(self.burst);
    }

    /// Adds the fraction of a retry that one request earns.
    pub(crate) fn earn(&mut self) {
        self.balance = (self.balance + self.permille).min(self.burst);
    }

    /// Takes one retry; returns `false` if less than one is left.
    pub(crate) fn spend(&mut self) -> bool {
        match self.balance.checked_sub(UNITS_PER_RETRY) {
            Some(remaining) => {
                self.balance = remaining;
                true
            }
            None => false,
        }
    }
}
