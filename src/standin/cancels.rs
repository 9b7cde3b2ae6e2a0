//! Running attempts that can be cancelled by name.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio_util::sync::CancellationToken;

type Key = (Box<str>, u64);

/// Running attempts; one attempt may run several times.
#[derive(Debug, Default)]
pub(super) struct Cancels {
    running: Mutex<(u64, BTreeMap<Key, CancellationToken>)>,
}

impl Cancels {
    /// Registers an attempt until the result is dropped.
    pub(super) fn register(self: &Arc<Self>, attempt: &str) -> Registration {
        let token = CancellationToken::new();
        let (next, running) = &mut *self.lock();
        *next += 1;
        let key = (attempt.into(), *next);
        running.insert(key.clone(), token.clone());
        Registration {
            cancels: Arc::clone(self),
            key,
            token,
        }
    }

    /// Cancels all runs of an attempt; returns their number.
    pub(super) fn cancel(&self, attempt: &str) -> usize {
        let (_, running) = &*self.lock();
        let first = (Box::from(attempt), 0);
        let runs = running.range(first..).take_while(|(k, _)| &*k.0 == attempt);
        runs.inspect(|(_, token)| token.cancel()).count()
    }

    /// Cancels all attempts.
    pub(super) fn cancel_all(&self) {
        let (_, running) = &*self.lock();
        running.values().for_each(CancellationToken::cancel);
    }

    fn lock(&self) -> MutexGuard<'_, (u64, BTreeMap<Key, CancellationToken>)> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running attempt.
#[derive(Debug)]
pub(super) struct Registration {
    cancels: Arc<Cancels>,
    key: Key,
    token: CancellationToken,
}

impl Registration {
    /// Returns the token that is cancelled with the attempt.
    pub(super) fn token(&self) -> &CancellationToken {
        &self.token
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.cancels.lock().1.remove(&self.key);
    }
}
