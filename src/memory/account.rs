//! What one connection holds.

use super::{
    Charge, Pool, Stage,
    budget::{Event, Holder, Refusal},
};
use crate::unit::Span;
use futures::task::AtomicWaker;
use std::{
    fmt,
    future::poll_fn,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

/// Interval at which a connection that waits for bytes has the time recorded.
const TICK_INTERVAL: Span = Span::from_millis(100);

/// Decisions on one connection, for its task.
#[derive(Debug, Default)]
pub(super) struct Shared {
    is_shed: AtomicBool,
    result: Mutex<Option<Result<(), Refusal>>>,
    waker: AtomicWaker,
}

impl Shared {
    pub(super) fn set_result(&self, result: Result<(), Refusal>) {
        let mut slot = self.result.lock().unwrap_or_else(PoisonError::into_inner);
        *slot = Some(result);
        drop(slot);
        self.waker.wake();
    }

    pub(super) fn take_result(&self) -> Option<Result<(), Refusal>> {
        let mut slot = self.result.lock().unwrap_or_else(PoisonError::into_inner);
        slot.take()
    }

    pub(super) fn shed(&self) {
        self.is_shed.store(true, Ordering::Relaxed);
        self.waker.wake();
    }
}

/// What one connection holds. Clones share it; the last one that is dropped closes it.
#[derive(Clone)]
pub struct Account(Option<Arc<Inner>>);

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let holder = self.0.as_ref().map(|inner| inner.holder);
        f.debug_tuple("Account").field(&holder).finish()
    }
}

pub(super) struct Inner {
    pool: Pool,
    holder: Holder,
    shared: Arc<Shared>,
    /// The response had no room.
    is_unbuffered: AtomicBool,
}

impl Inner {
    pub(super) fn release(&self, bytes: u64) {
        self.pool.step(Event::Released(self.holder, bytes));
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.pool.step(Event::Closed(self.holder));
    }
}

impl Account {
    pub(super) fn open(pool: Pool, holder: Holder, shared: Arc<Shared>) -> Self {
        Self(Some(Arc::new(Inner {
            pool,
            holder,
            shared,
            is_unbuffered: AtomicBool::new(false),
        })))
    }

    /// Returns an account without a budget.
    pub fn unlimited() -> Self {
        Self(None)
    }

    /// Returns the account of the connection on which a request arrived; one without a budget if its listener has
    /// none.
    pub fn of(extensions: &http::Extensions) -> Self {
        let account = extensions.get::<Self>().cloned();
        account.unwrap_or_else(Self::unlimited)
    }

    /// Records what the connection waits for.
    pub fn enter(&self, stage: Stage) {
        if let Some(inner) = &self.0
            && stage == Stage::Head
        {
            inner.is_unbuffered.store(false, Ordering::Relaxed);
        }
        self.step(|holder| Event::Entered(holder, stage));
    }

    /// Records that the caller did a part of what the connection waits for.
    pub fn record_progress(&self) {
        self.step(Event::Progress);
    }

    /// Waits for bytes.
    ///
    /// # Errors
    ///
    /// Fails if there are too few in time.
    pub async fn hold(&self, bytes: u64) -> Result<Charge, Refusal> {
        let Some(inner) = &self.0 else {
            return Ok(Charge::new(None, bytes));
        };
        inner.pool.step(Event::Asked(inner.holder, bytes));
        let withdrawal = Withdrawal(inner);
        loop {
            let decided = poll_fn(|cx| {
                inner.shared.waker.register(cx.waker());
                let result = inner.shared.take_result();
                result.map_or(Poll::Pending, Poll::Ready)
            });
            match tokio::time::timeout(Duration::from(TICK_INTERVAL), decided).await {
                Ok(result) => {
                    std::mem::forget(withdrawal);
                    return result.map(|()| Charge::new(Some(inner.clone()), bytes));
                }
                Err(_) => inner.pool.step(Event::Tick),
            }
        }
    }

    /// Takes bytes for a response, if there are enough.
    pub fn try_hold(&self, bytes: u64) -> Option<Charge> {
        let Some(inner) = &self.0 else {
            return Some(Charge::new(None, bytes));
        };
        inner.pool.step(Event::Offered(inner.holder, bytes));
        let granted = inner.shared.take_result() == Some(Ok(()));
        if !granted {
            inner.is_unbuffered.store(true, Ordering::Relaxed);
        }
        granted.then(|| Charge::new(Some(inner.clone()), bytes))
    }

    /// Reports whether the response had no room, so that its target waits for the caller to read it.
    pub fn is_unbuffered(&self) -> bool {
        let inner = self.0.as_ref();
        inner.is_some_and(|inner| inner.is_unbuffered.load(Ordering::Relaxed))
    }

    /// Completes when the connection is to be closed.
    pub fn poll_shed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(inner) = &self.0 else {
            return Poll::Pending;
        };
        inner.shared.waker.register(cx.waker());
        if inner.shared.is_shed.load(Ordering::Relaxed) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    fn step(&self, event: impl FnOnce(Holder) -> Event) {
        if let Some(inner) = &self.0 {
            inner.pool.step(event(inner.holder));
        }
    }
}

/// Withdraws the question for bytes if its future is dropped, and returns bytes that came too late.
struct Withdrawal<'a>(&'a Arc<Inner>);

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        self.0.pool.step(Event::Withdrawn(self.0.holder));
    }
}
