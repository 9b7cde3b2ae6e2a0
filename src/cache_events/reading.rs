//! State of the reading of one engine.

use super::{Applied, Batch, Call, Engine, Fault, Item, Report, Reset};
use crate::unit::{Span, Time};
use std::collections::HashMap;

/// Time for which an engine may wait for events, the longest that engines allow.
const WAIT: Span = Span::from_millis(1_000);
/// Minimum time between two calls of a reader. Together with those of the standby, an engine gets less than two calls a second,
/// and what happens in between arrives in one response.
pub(super) const INTERVAL: Span = Span::from_millis(750);
/// The same for the standby, which only has to notice that the reader doesn't pass evictions on.
const STANDBY_INTERVAL: Span = Span::from_millis(3_000);
/// Time by which events arrive late at most, as far as the platform says ("some hundred ms").
const EVENT_DELAY: Span = Span::from_millis(1_000);
/// Backoff after a failed call, doubled with each further one, and its maximum.
const BACKOFF: (Span, Span) = (Span::from_millis(1_500), Span::from_secs(30));
/// Minimum number of evictions in a response from which the standby judges the reader.
const MIN_JUDGED: u64 = 2;
/// Responses in a row with more unknown than known evictions after which the standby takes over. Between two calls of the
/// standby, a reader reports about three quarters of the evictions in time.
const TAKEOVER_RESPONSES: u32 = 2;
/// Time for which the standby takes over; then it finds out again whether the reader reports.
const TAKEOVER: Span = Span::from_secs(12);

/// State of the reading of one engine.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    pub(super) engine: Engine,
    /// It reads only to notice that the reader fails.
    pub(super) is_standby: bool,
    /// Epoch and next position; `None` before the first response.
    position: Option<(u64, u64)>,
    /// Time of the last response.
    answered: Time,
    due: Time,
    is_waiting: bool,
    failures: u32,
    pub(super) fault: Option<Fault>,
    /// Responses in a row whose evictions were mostly unknown.
    unknown: u32,
    /// Time until which the standby reads like the reader.
    takes_over: Time,
}

impl Reading {
    pub(super) fn new(engine: Engine, is_standby: bool, due: Time) -> Self {
        Self {
            engine,
            is_standby,
            position: None,
            answered: Time::default(),
            due,
            is_waiting: false,
            failures: 0,
            fault: None,
            unknown: 0,
            takes_over: Time::default(),
        }
    }

    /// Changes its rank; a standby that becomes the reader calls at `due` at the latest.
    pub(super) fn set_rank(&mut self, is_standby: bool, due: Time) {
        if self.is_standby && !is_standby && self.failures == 0 {
            self.due = self.due.min(due);
        }
        self.is_standby = is_standby;
    }

    /// Returns the call that is due, if any. `interval` is the time between two calls of a reader.
    pub(super) fn take_call(&mut self, now: Time, interval: Span) -> Option<Call> {
        if self.is_waiting || now < self.due {
            return None;
        }
        self.is_waiting = true;
        let is_slow = self.is_standby && now >= self.takes_over;
        self.due = now
            + if is_slow {
                interval.max(STANDBY_INTERVAL)
            } else {
                interval
            };
        Some(Call {
            run: self.engine.run.clone(),
            address: self.engine.address,
            since: self.position.map_or(0, |(_, next)| next),
            wait: WAIT,
        })
    }

    /// Records how a call ended; returns what it brought. `jitter` spreads the calls of many routers after failures.
    pub(super) fn end(
        &mut self,
        now: Time,
        result: Result<Batch, Fault>,
        jitter: Span,
    ) -> Option<Report> {
        self.is_waiting = false;
        let batch = match result {
            Ok(batch) => batch,
            Err(fault) => {
                self.fail(now, fault, jitter);
                return None;
            }
        };
        self.failures = 0;
        self.fault = None;
        let answered = std::mem::replace(&mut self.answered, now);
        let position = self.position.replace((batch.epoch, batch.next));
        // The first response has events of any age, which may be older than what this router knows.
        let (epoch, next) = position?;
        let reset = if batch.epoch != epoch {
            Some(Reset::Restart)
        } else if batch.lost || batch.next < next {
            Some(Reset::Gap)
        } else {
            None
        };
        let items = if reset == Some(Reset::Restart) {
            Vec::new()
        } else {
            last_of_each(batch.items)
        };
        (reset.is_some() || !items.is_empty()).then(|| Report {
            run: self.engine.run.clone(),
            after: Time(answered.0.saturating_sub(EVENT_DELAY.0)),
            reset,
            items,
        })
    }

    fn fail(&mut self, now: Time, fault: Fault, jitter: Span) {
        let backoff = match fault {
            Fault::Missing => BACKOFF.1,
            _ => Span((BACKOFF.0.0 << self.failures.min(8)).min(BACKOFF.1.0)),
        };
        self.failures += 1;
        self.fault = Some(fault);
        self.due = now + backoff + jitter;
    }

    /// Records what a report changed: a standby finds out whether the reader passes evictions on.
    pub(super) fn judge(&mut self, now: Time, applied: &Applied) {
        if !self.is_standby || applied.evicted + applied.known < MIN_JUDGED {
            return;
        }
        if applied.evicted <= applied.known {
            self.unknown = 0;
            return;
        }
        self.unknown += 1;
        if self.unknown >= TAKEOVER_RESPONSES && now >= self.takes_over {
            self.unknown = 0;
            self.takes_over = now + TAKEOVER;
            self.due = self.due.min(now + INTERVAL);
        }
    }
}

/// Returns the last event of each part.
fn last_of_each(mut items: Vec<Item>) -> Vec<Item> {
    items.sort_by_key(|item| item.number);
    let numbers = items.iter().map(|item| (item.part, item.number));
    let last: HashMap<u64, u64> = numbers.collect();
    items.retain(|item| last[&item.part] == item.number);
    items
}
