//! Credit that one router has for a workspace, in requests.

/// Credit in requests that is saved up at least: requests come in pairs.
const MIN_SAVED: f64 = 2.0;

/// Credit that one router has for a workspace, in requests.
///
/// Each whole unit admits one request, at a random point of the unit. In a large fleet, a router gets a
/// unit of a workspace every few seconds; if all admitted a request at the beginning of their first
/// one, a workspace would get the share of seconds at once. Requests have the same chance whatever
/// their size.
#[derive(Clone, Copy, Debug)]
pub(super) struct Credit {
    /// Credit beyond the units that were used.
    saved: f64,
    /// Point of the current unit at which a request is admitted.
    point: f64,
    /// Number of the current unit, mixed with a seed.
    unit: u64,
}

impl Credit {
    pub(super) fn open(seed: u64) -> Self {
        Self {
            saved: 0.0,
            point: fraction(seed),
            unit: seed,
        }
    }

    /// Adds credit; saves up at most `most`.
    pub(super) fn add(&mut self, requests: f64, most: f64) {
        let most = most.max(MIN_SAVED).max(self.saved);
        self.saved = (self.saved + requests).min(most);
    }

    /// Admits a request; returns whether there is credit for it.
    pub(super) fn admit(&mut self) -> bool {
        let is_admitted = self.saved > self.point;
        if is_admitted {
            self.saved -= 1.0;
            self.unit = self.unit.wrapping_add(1);
            self.point = fraction(self.unit);
        }
        is_admitted
    }

    /// Gives back the credit of a request that was admitted and found no target.
    pub(super) fn give_back(&mut self) {
        self.saved += 1.0;
    }

    /// Returns the credit that is missing for the next request.
    pub(super) fn missing(&self) -> f64 {
        (self.point - self.saved).max(0.0)
    }
}

/// Maps a number to a fraction, evenly for any series of numbers: the finalizer of splitmix64.
fn fraction(number: u64) -> f64 {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}
