//! Pace at which one router admits the requests of a workspace beyond its share.

use super::meter::seconds;
use crate::unit::{Span, Time};

/// Credit that is kept while no request arrives, as time at the router's part of the rate.
const BURST: Span = Span::from_millis(250);
/// Exponent of the ratio of the rate to what the workspace is granted, in the boost. What it is granted
/// is averaged over seconds, which is long against the delay of reports, so that this doesn't oscillate.
const GAIN: f64 = 2.0;
/// Range of the boost.
const BOOST_RANGE: (f64, f64) = (0.5, 4.0);

/// What a workspace is to get, and gets, in the whole fleet, in tokens per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rates {
    /// Rate that it is to get.
    pub(super) target: f64,
    /// Part of that rate that is beyond its share of the configured capacity.
    pub(super) surplus: f64,
    /// Rate of spare capacity that it may take in addition.
    pub(super) spare: f64,
    /// Tokens that it requests at this router.
    pub(super) own: f64,
    /// Tokens that it requests at all routers, averaged over the same time.
    pub(super) all: f64,
    /// Tokens that it is granted at all routers.
    pub(super) granted: f64,
}

impl Rates {
    /// Returns a factor on the rate that is above 1 while the workspace gets less than its rate: callers
    /// move between routers, and some routers can't use their part.
    fn boost(&self) -> f64 {
        let ratio = self.target / self.granted.max(1.0);
        ratio.powf(GAIN).clamp(BOOST_RANGE.0, BOOST_RANGE.1)
    }
}

/// Token bucket that is filled at this router's part of the workspace's rate: the part of the workspace's
/// demand that arrives here. No router has to know what the others admit at this moment, so that
/// delayed reports cause no bursts.
///
/// A request is admitted while the credit isn't negative, whatever its size; it then leaves a debt. Large
/// requests therefore have the same chance as small ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacer {
    at: Time,
    /// Tokens within the share of the configured capacity.
    credit: f64,
    /// Tokens beyond it.
    surplus: f64,
    /// Tokens of spare capacity.
    spare: f64,
    /// Tokens per second that it requested here at the last update.
    own: f64,
}

impl Pacer {
    pub(super) fn open(now: Time, rates: &Rates) -> Self {
        Self {
            at: now,
            credit: 0.0,
            surplus: 0.0,
            spare: 0.0,
            own: rates.own,
        }
    }

    /// Adds the credit since the last request, whose demand is averaged over `span`.
    pub(super) fn fill(&mut self, now: Time, span: Span, rates: &Rates) {
        let elapsed = now.since(self.at);
        // The average of the decaying demand since the last request.
        let decays = seconds(elapsed) / seconds(span);
        let own = if decays > 0.0 {
            self.own * (1.0 - (-decays).exp()) / decays
        } else {
            self.own
        };
        let part = (own / rates.all.max(1.0)).min(1.0);
        let fill = |credit: f64, rate: f64, boost: f64| {
            let filled = credit + rate * part * boost * seconds(elapsed);
            filled.min(rate * part * seconds(BURST))
        };
        self.credit = fill(self.credit, rates.target - rates.surplus, rates.boost());
        self.surplus = fill(self.surplus, rates.surplus, rates.boost());
        self.spare = fill(self.spare, rates.spare, 1.0);
        self.at = now;
        self.own = rates.own;
    }

    /// Admits a request within the share of the configured capacity; returns whether there is credit for
    /// it.
    pub(super) fn admit(&mut self, cost: u64) -> bool {
        let admitted = self.credit >= 0.0;
        if admitted {
            self.credit -= cost as f64;
        }
        admitted
    }

    /// Admits a request beyond that share; returns whether there is credit for it.
    pub(super) fn admit_surplus(&mut self, cost: u64) -> bool {
        let admitted = self.surplus >= 0.0;
        if admitted {
            self.surplus -= cost as f64;
        }
        admitted
    }

    /// Gives back the credit of a request that found no target.
    pub(super) fn return_surplus(&mut self, cost: u64) {
        self.surplus += cost as f64;
    }

    /// Admits a request to spare capacity; returns whether there is credit for it.
    pub(super) fn admit_spare(&mut self, cost: u64) -> bool {
        let admitted = self.spare >= 0.0;
        if admitted {
            self.spare -= cost as f64;
        }
        admitted
    }

    /// Gives back the credit of a request that found no spare capacity.
    pub(super) fn return_spare(&mut self, cost: u64) {
        self.spare += cost as f64;
    }

    /// Returns the time until there is credit at a rate in tokens per second.
    pub(super) fn time_to_credit(&self, rate: f64) -> Span {
        Span((-self.credit.min(0.0) / rate.max(1.0) * 1e6) as u64)
    }
}
