//! Requests that one router may send to a target with a limit.

use super::meter::seconds;
use crate::unit::{Span, Time};

/// Most credit that is saved up, in requests. What is beyond one isn't lost while the router looks for the
/// request that gains most.
const MAX_CREDIT: f64 = 2.0;
/// Most credit that is kept while the router has no part of the limit.
const MAX_KEPT_CREDIT: f64 = 0.9;

/// Requests that one router may send to a target with a limit: a token bucket for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    /// Requests per second.
    per_s: f64,
    /// Requests that may be sent now.
    credit: f64,
    /// Time of the credit.
    at: Time,
}

impl Allowance {
    /// Opens an allowance with a part of a request, from 0 to 1; it differs between routers, so that they
    /// don't all send their first request at once.
    pub(super) fn open(now: Time, credit: f64) -> Self {
        Self {
            per_s: 0.0,
            credit,
            at: now,
        }
    }

    /// Sets the requests per second.
    pub(super) fn set_rate(&mut self, now: Time, per_s: f64) {
        self.credit = self.credit(now);
        self.at = self.at.max(now);
        self.per_s = per_s;
        if per_s == 0.0 {
            self.credit = self.credit.min(MAX_KEPT_CREDIT);
        }
    }

    /// Returns the requests per second.
    pub(super) fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Returns the requests that may be sent now.
    pub(super) fn credit(&self, now: Time) -> f64 {
        let earned = self.per_s * seconds(now.since(self.at));
        (self.credit + earned).min(MAX_CREDIT.max(self.credit))
    }

    /// Reports whether a request may be sent.
    pub(super) fn allows_send(&self, now: Time) -> bool {
        self.per_s > 0.0 && self.credit(now) >= 1.0
    }

    /// Returns how much of the credit that can be saved up beyond one request is missing, from 0 to 1.
    pub(super) fn scarcity(&self, now: Time) -> f64 {
        ((MAX_CREDIT - self.credit(now)) / (MAX_CREDIT - 1.0)).clamp(0.0, 1.0)
    }

    /// Records that a request was sent.
    pub(super) fn record_send(&mut self, now: Time) {
        self.credit = self.credit(now) - 1.0;
        self.at = self.at.max(now);
    }

    /// Returns the number of requests that may be sent within some time.
    pub(super) fn within(&self, now: Time, span: Span) -> usize {
        (self.credit(now) + self.per_s * seconds(span)) as usize
    }
}
