//! Warm-up of one target: whether it is cold, and what this router may send it meanwhile.
//!
//! For targets that crash above a rate of requests while they are cold, behind many routers of which each sends only
//! a small part of that rate. The rate holds for all routers together, whether or not they hear each other. So it is
//! divided into turns, each of one request in [`WINDOW`], which routers take by their rank among the listed routers
//! (rendezvous hashing): nothing has to be exchanged, and a router that is cut off keeps its turns and takes no
//! others. A quarter of the rate is kept for routers that rank themselves too high because their list lacks others.

use super::cause::Cause;
use crate::{
    catalog, routing,
    unit::{Span, Time},
};
use std::collections::VecDeque;

/// Time in which a turn allows one request: the second that the rate is counted in, and a margin for the time from a
/// decision until its request arrives.
pub(super) const WINDOW: Span = Span::from_millis(1_100);
/// Maximum time from a decision until the request is written to a cold target. With the margin of [`WINDOW`], it
/// leaves 50 ms for the way.
const MAX_SEND_DELAY: Span = Span::from_millis(50);
/// Part of the rate that is divided into turns, in percent; the rest is kept for routers that the others don't know.
const DIVIDED_PERCENT: u32 = 75;
/// Number of routers that probe a target whose state is in doubt: a second one, since the first one may be gone or
/// cut off.
const PROBERS: usize = 2;
/// Interval of the probes of a router while none has told the state.
const PROBE_INTERVAL: Span = Span::from_millis(500);
/// Time from the last failed attempt to reach a target until it may have come back at the latest, without being noticed:
/// two intervals of probes.
const RETURN_SPAN: Span = Span::from_millis(1_000);
/// Time for which a refused connection is reported to other routers: a little more than the interval of probes.
const REPORT_SPAN: Span = Span::from_millis(600);
/// Maximum number of requests that are remembered; a router never has as many turns.
const MAX_SENT: usize = 4_096;

/// What targets of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rule {
    /// Time for which a target that has just started is cold.
    duration: Span,
    /// Requests in a second, of all routers together.
    max_per_s: u32,
}

impl Rule {
    /// Returns the rule of a service for a factor on its rate and a number of requests in addition.
    pub(super) fn new(warm_up: routing::WarmUp, factor: f64, slack: u32) -> Self {
        // A cast of larger values saturates.
        let scaled = (warm_up.rate.per_s() * factor.max(0.0)) as u32;
        Self {
            duration: warm_up.duration,
            max_per_s: scaled.saturating_add(slack).min(MAX_SENT as u32),
        }
    }

    /// Returns the number of turns of all routers together.
    fn all_turns(self) -> u32 {
        let divided = self.max_per_s * DIVIDED_PERCENT / 100;
        divided.max(self.max_per_s.min(1))
    }

    /// Returns the turns of the router of a rank, from 0, among a number of routers.
    ///
    /// A router whose list lacks some of the routers that rank before it ranks itself higher by as many. The turns that
    /// are taken in total stay within the rate while each list has three quarters of the routers, or lacks at
    /// most a quarter of the rate as a number of routers, whichever is less strict.
    pub(super) fn turns(self, rank: usize, routers: usize) -> u32 {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let routers = u32::try_from(routers).unwrap_or(u32::MAX).max(1);
        self.all_turns().saturating_sub(rank).div_ceil(routers)
    }

    /// Returns the requests per second that routers send while they agree.
    fn per_s(self) -> f64 {
        f64::from(self.all_turns()) / WINDOW.as_secs_f64()
    }
}

/// Reason to doubt that a target is warm.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    cause: Cause,
    /// Time of the last evidence.
    since: Time,
    /// Time until which it may be cold.
    until: Time,
    /// It could not be reached, and was not reached since.
    is_unreachable: bool,
}

/// Warm-up of one target.
#[derive(Clone, Debug)]
pub(super) struct WarmUp {
    rule: Rule,
    /// Time until which the target is cold as it says itself.
    cold_until: Time,
    /// What it said so in.
    source: Cause,
    doubt: Option<Doubt>,
    /// Requests that this router may send in a [`WINDOW`].
    turns: u32,
    /// This router probes the target while its state is in doubt.
    is_prober: bool,
    /// Time of this router's last probe.
    probed: Option<Time>,
    /// Time at which it last refused a connection or did not answer a probe.
    refused: Option<Time>,
    /// Times of the latest requests of this router.
    sent: VecDeque<Time>,
    /// What was last logged.
    logged: bool,
}

impl WarmUp {
    pub(super) fn new(rule: Rule) -> Self {
        Self {
            rule,
            cold_until: Time::default(),
            source: Cause::Listed,
            doubt: None,
            turns: 0,
            is_prober: false,
            probed: None,
            refused: None,
            sent: VecDeque::new(),
            logged: false,
        }
    }

    /// Sets the rule; what is known of the target stays.
    pub(super) fn set_rule(&mut self, rule: Rule) {
        self.rule = rule;
    }

    /// Counts the requests to the run before: a list that is late shows a restart when the new run has already got
    /// some of them, and a router must not take its turns twice.
    pub(super) fn keep_sent(&mut self, previous: &Self) {
        self.sent = previous.sent.clone();
    }

    /// Sets the rank of this router for the target, from 0, among a number of routers; `None` while it may send nothing.
    pub(super) fn set_rank(&mut self, rank: Option<usize>, routers: usize) {
        self.turns = rank.map_or(0, |rank| self.rule.turns(rank, routers));
        self.is_prober = self.turns > 0 && rank.is_some_and(|rank| rank < PROBERS);
    }

    /// Records the remaining time that the target's list entry says.
    pub(super) fn read_entry(&mut self, now: Time, left: Span) {
        if left == catalog::Target::UNKNOWN_WARM_UP {
            return self.doubt(now, Cause::Unreadable);
        }
        if left.0 == 0 {
            return;
        }
        self.record_cold(now, left, Cause::Listed);
        // The entry is that of the run, and tells what was in doubt.
        self.doubt.take_if(|doubt| doubt.cause.ends_with_entry());
    }

    /// Records the remaining time that a health response says; `asked` is the time at which it was asked for.
    pub(super) fn read_probe(&mut self, now: Time, asked: Time, left: Span) {
        self.refused = None;
        if left.0 > 0 {
            self.record_cold(now, left, Cause::Probe);
        } else if self.cold_until > now {
            self.cold_until = now;
        }
        self.doubt.take_if(|doubt| doubt.since <= asked);
    }

    fn record_cold(&mut self, now: Time, left: Span, source: Cause) {
        let until = now + left;
        if until > self.cold_until {
            self.cold_until = until;
            self.source = source;
        }
    }

    /// Records a reason to treat the target as cold.
    pub(super) fn doubt(&mut self, now: Time, cause: Cause) {
        let is_away = matches!(
            cause,
            Cause::Unreachable | Cause::Interrupted | Cause::Suspected
        );
        let delay = if is_away { RETURN_SPAN } else { Span(0) };
        if cause == Cause::Unreachable {
            self.refused = Some(now);
        }
        let end = now + self.rule.duration + delay;
        let known = self.doubt.filter(|doubt| doubt.until > now);
        let is_unreachable = known.is_some_and(|doubt| doubt.is_unreachable);
        // What a list settles must not end a doubt that it doesn't settle.
        let lasting = known.map(|doubt| doubt.cause);
        let lasting = lasting.filter(|known| cause.ends_with_entry() && !known.ends_with_entry());
        self.doubt = Some(Doubt {
            cause: lasting.unwrap_or(cause),
            since: now,
            until: known.map_or(end, |doubt| doubt.until.max(end)),
            is_unreachable: is_unreachable || (is_away && cause != Cause::Suspected),
        });
    }

    /// Reports whether the target refused a connection of this router a moment ago, and was not reached since.
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        let refused = self.refused;
        refused.is_some_and(|refused| now.since(refused) < REPORT_SPAN)
    }

    /// Records that the target was reached: if it could not be reached before, it may have started just now.
    pub(super) fn record_reached(&mut self, now: Time) {
        let duration = self.rule.duration;
        self.refused = None;
        if let Some(doubt) = &mut self.doubt
            && doubt.is_unreachable
        {
            doubt.is_unreachable = false;
            doubt.until = now + duration;
            doubt.since = now;
        }
    }

    /// Ends the doubt if it has a certain cause.
    pub(super) fn settle(&mut self, cause: Cause) {
        self.doubt.take_if(|doubt| doubt.cause == cause);
    }

    /// Reports whether the target is treated as cold.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        self.end() > now
    }

    fn is_in_doubt(&self, now: Time) -> bool {
        self.doubt.is_some_and(|doubt| doubt.until > now)
    }

    /// Returns the time until which the target is treated as cold, which may have passed.
    fn end(&self) -> Time {
        let doubt = self.doubt.map_or(Time::default(), |doubt| doubt.until);
        doubt.max(self.cold_until)
    }

    fn sent_in_window(&self, now: Time) -> usize {
        let sent = self.sent.iter().rev();
        sent.take_while(|at| now.since(**at) < WINDOW).count()
    }

    /// Reports whether a further request may be sent.
    pub(super) fn allows_send(&self, now: Time) -> bool {
        !self.is_cold(now) || self.sent_in_window(now) < self.turns as usize
    }

    /// Records that a request is sent.
    pub(super) fn record_send(&mut self, now: Time) {
        let last = self.sent.back().copied().unwrap_or_default();
        self.sent.push_back(last.max(now));
        while self.sent.len() > MAX_SENT
            || self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.sent.pop_front();
        }
    }

    /// Reports whether a request that was decided on at a time may be written now.
    pub(super) fn allows_write(&self, now: Time, decided: Time) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let ahead = self.sent.iter().rev();
        let ahead = ahead.filter(|at| **at <= decided && now.since(**at) < WINDOW);
        now.since(decided) <= MAX_SEND_DELAY && ahead.count() <= self.turns as usize
    }

    /// Returns the number of requests that may be sent within some time, and per second; `None` if the target is warm by
    /// then.
    pub(super) fn within(&self, now: Time, span: Span) -> Option<(usize, f64)> {
        if self.end() <= now + span {
            return None;
        }
        let per_s = f64::from(self.turns) / WINDOW.as_secs_f64();
        let free = (self.turns as usize).saturating_sub(self.sent_in_window(now));
        let turns = free + (per_s * span.as_secs_f64()) as usize;
        Some((turns, per_s))
    }

    /// Returns the requests per second that all routers together send while the target is cold; `None` while it is not.
    pub(super) fn limit_per_s(&self, now: Time) -> Option<f64> {
        self.is_cold(now).then(|| self.rule.per_s())
    }

    /// Reports whether a probe is due, and counts it as a request.
    pub(super) fn take_probe(&mut self, now: Time) -> bool {
        let probed = self.probed;
        let is_due = self.is_prober
            && self.is_in_doubt(now)
            && self.cold_until <= now
            && probed.is_none_or(|probed| now.since(probed) >= PROBE_INTERVAL)
            && self.allows_send(now);
        if is_due {
            self.probed = Some(now);
            self.record_send(now);
        }
        is_due
    }

    /// Returns what is to be logged if the target turned cold or warm: why it is treated as cold, and for how long
    /// at least.
    pub(super) fn take_change(&mut self, now: Time) -> Option<Option<(Cause, Span)>> {
        let is_cold = self.is_cold(now);
        if self.logged == is_cold {
            return None;
        }
        self.logged = is_cold;
        let cause = match self.doubt {
            Some(doubt) if self.is_in_doubt(now) => doubt.cause,
            Some(_) | None => self.source,
        };
        Some(is_cold.then(|| (cause, self.end().since(now))))
    }
}
