//! Generation of one answer at the engine stand-in.

use super::{
    cancels::Registration,
    reply::{self, Dropped},
    run::Run,
    slots::{Place, Slots},
};
use crate::unit::Span;
use std::sync::Arc;
use tokio::{
    select,
    time::{Interval, interval, sleep},
};

/// Pace of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Time from the place in the batch to the first token.
    pub(super) first_token: Span,
    /// Time between tokens.
    pub(super) token_interval: Span,
}

/// Generation of one answer; dropping it cancels what is left.
pub(super) struct Generation {
    pub(super) slots: Arc<Slots>,
    pub(super) registration: Registration,
    pub(super) run: Run,
    pub(super) pace: Pace,
    /// Tokens that the caller has.
    pub(super) done: u64,
    /// Number of the last token.
    pub(super) last: u64,
    /// Number of tokens that are made before the answer is cut off.
    pub(super) cut_after: Option<u64>,
    /// Place in the batch with the clock of the tokens, once there is one.
    pub(super) batch: Option<(Place, Interval)>,
}

impl Generation {
    /// Makes a token and returns its number, or `None` after the last one.
    pub(super) async fn next(&mut self) -> Result<Option<u64>, Dropped> {
        let cancelled = self.registration.token().clone();
        select! {
            biased;
            () = cancelled.cancelled() => Err(Dropped),
            next = self.advance() => next,
        }
    }

    async fn advance(&mut self) -> Result<Option<u64>, Dropped> {
        if self.batch.is_none() && self.done < self.last {
            self.enter().await;
        }
        if self.done >= self.last {
            self.run.finish();
            self.batch = None;
            return Ok(None);
        }
        if let Some((_, ticks)) = &mut self.batch {
            ticks.tick().await;
        }
        if self.cut_after == Some(0) {
            sleep(reply::FLUSH_TIME.into()).await;
            return Err(Dropped);
        }
        self.cut_after = self.cut_after.map(|left| left - 1);
        self.done += 1;
        self.run.token();
        Ok(Some(self.done))
    }

    /// Waits for a place in the batch and reads the request.
    async fn enter(&mut self) {
        let place = Arc::clone(&self.slots).take().await;
        self.run.start();
        sleep(self.pace.first_token.into()).await;
        // An interval of zero is not allowed; the timer rounds up to milliseconds and catches up.
        let period = self.pace.token_interval.max(Span(1));
        self.batch = Some((place, interval(period.into())));
    }
}
