//! Retry budget.

/// One retry in the budget's unit, thousandths of a retry.
const UNITS_PER_RETRY: u64 = 1_000;
/// Divisor of what a request earns while the burst is below one retry. Then, earned retries of one
/// window may be spent in the next one beside those earned there; halved, both together stay within
/// what one window allows.
const SAVING_DIVISOR: u64 = 2;

/// Retry budget: a token bucket that each request refills by a fraction of a retry, up to a burst.
///
/// A part of the budget of a fleet may have a burst below one retry. It saves up earned fractions
/// beyond the burst, up to one retry, until [`Budget::expire`].
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    permille: u64,
    burst: u64,
    /// Maximum of `saved`.
    max_saved: u64,
    /// At most `burst`.
    balance: u64,
    /// Earned beyond `burst`.
    saved: u64,
}

impl Budget {
    /// Returns a full budget; each request adds `permille` thousandths of a retry.
    pub(crate) fn new(permille: u32, burst: u32) -> Self {
        let burst = u64::from(burst) * UNITS_PER_RETRY;
        Self {
            permille: u64::from(permille),
            burst,
            max_saved: 0,
            balance: burst,
            saved: 0,
        }
    }

    /// Returns one of `count` parts of a budget.
    pub(crate) fn part(permille: u32, burst: u32, count: u32) -> Self {
        let mut budget = Self::new(permille, burst);
        budget.divide(burst, count);
        budget
    }

    /// Changes the burst to one of `count` parts of `burst`; a balance beyond it is lost.
    pub(crate) fn divide(&mut self, burst: u32, count: u32) {
        self.burst = u64::from(burst) * UNITS_PER_RETRY / u64::from(count.max(1));
        self.max_saved = UNITS_PER_RETRY.saturating_sub(self.burst);
        self.balance = self.balance.min(self.burst);
        self.saved = self.saved.min(self.max_saved);
    }

    /// Adds the fraction of a retry that one request earns.
    pub(crate) fn deposit(&mut self) {
        let earned = if self.max_saved > 0 {
            self.permille / SAVING_DIVISOR
        } else {
            self.permille
        };
        let balance = self.balance + earned;
        self.balance = balance.min(self.burst);
        self.saved = (self.saved + balance - self.balance).min(self.max_saved);
    }

    /// Drops what was saved beyond the burst; to be called once in each window that the budget is
    /// measured over.
    pub(crate) fn expire(&mut self) {
        self.saved = 0;
    }

    /// Takes one retry; returns `false` if less than one is left.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = (self.balance + self.saved).checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.saved = self.saved.saturating_sub(UNITS_PER_RETRY);
        self.balance = remaining - self.saved;
        true
    }
}
