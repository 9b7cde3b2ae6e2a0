//! Pace at which one router admits the requests of a workspace beyond its share.

use super::credit::Credit;
use crate::unit::Span;

/// Exponent of the ratio of what the workspace was to get to what it was granted, in the boost. Both
/// are averaged over seconds, which is long against the delay of reports, so that this doesn't oscillate.
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
    /// Tokens that it requests at all routers.
    pub(super) requested: f64,
    /// Tokens that it was granted at all routers in the last seconds.
    pub(super) granted: f64,
    /// Tokens that it was to get in the same time.
    pub(super) due: f64,
}

impl Rates {
    /// Returns a factor on the rate that is above 1 while the workspace has got less than its share:
    /// callers move between routers, and some routers can't use their part. It is below 1 while it has got
    /// more: what a flood takes before the routers know of it is made up for.
    fn boost(&self) -> f64 {
        let ratio = self.due / self.granted.max(1.0);
        ratio.powf(GAIN).clamp(BOOST_RANGE.0, BOOST_RANGE.1)
    }

    /// Returns the fraction of what the workspace requests that a rate is.
    fn fraction(&self, rate: f64) -> f64 {
        (rate / self.requested.max(1.0)).min(1.0)
    }
}

/// Credit for the requests of a workspace at one router. Each request that arrives there adds the fraction
/// that the workspace is to get of all that it requests, also one that is refused at the router's limit.
/// No router has to know what the others admit at this moment, so that delayed reports cause no bursts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacer {
    /// Within the share of the configured capacity.
    pub(super) within: Credit,
    /// Beyond it.
    pub(super) surplus: Credit,
    /// For spare capacity.
    pub(super) spare: Credit,
}

impl Pacer {
    /// Time for which credit is saved up: a router that is short of processor learns of the requests that it
    /// refused unread in groups.
    pub(super) const SAVED_SPAN: Span = Span::from_millis(250);

    /// Opens the pace of a workspace at one router; `seed` differs between routers and workspaces.
    pub(super) fn open(seed: u64) -> Self {
        Self {
            within: Credit::open(seed),
            surplus: Credit::open(!seed),
            spare: Credit::open(seed.rotate_left(32)),
        }
    }

    /// Adds the credit of a number of requests, where `usual` requests arrive at this router in
    /// [`Pacer::SAVED_SPAN`].
    pub(super) fn add(&mut self, requests: f64, usual: f64, rates: &Rates) {
        let boost = rates.boost();
        let add = |credit: &mut Credit, rate: f64| {
            let fraction = rates.fraction(rate);
            credit.add(requests * fraction, usual * fraction);
        };
        add(&mut self.within, (rates.target - rates.surplus) * boost);
        add(&mut self.surplus, rates.surplus * boost);
        add(&mut self.spare, rates.spare);
    }
}
