//! Budget that the connections of a process share.

use super::{
    Account, Settings,
    account::Shared,
    budget::{Action, Budget, Event, Holder, Refusal},
};
use crate::{
    clock, metric,
    unit::{Span, Time},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Part of the memory that is used for callers, as a divisor: the rest is for the lists, the connections to
/// targets, the buffers of the system, and what the allocator can't use.
const MEMORY_DIVISOR: u64 = 3;
/// Memory of a process whose limit is not known.
const DEFAULT_MEMORY_BYTES: u64 = 512 << 20;
/// Bytes of an open connection beside the buffer for a request head: the write buffer of the HTTP implementation, its
/// task and its timers.
const CONNECTION_BYTES: u64 = 12 << 10;
/// Size of a connection's receive buffer as requested; the system takes twice as much.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Size of a connection's send buffer as requested.
pub(crate) const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Minimum time between two log lines.
const LOG_INTERVAL: Span = Span::from_secs(1);

/// Budget that the connections of a process share; clones share it.
#[derive(Clone)]
pub struct Pool(Arc<Mutex<State>>);

struct State {
    budget: Budget,
    total: u64,
    accounts: BTreeMap<Holder, Arc<Shared>>,
    next: u64,
    log: slog::Logger,
    next_log: Time,
    /// Refused and closed since the last log line.
    refused: u64,
    shed: u64,
}

impl Pool {
    /// Opens the budget of a process that may use this memory, and whose request heads have at most `head_bytes`.
    pub fn open(memory_bytes: Option<u64>, head_bytes: usize, log: slog::Logger) -> Self {
        let settings = Self::settings(memory_bytes, head_bytes);
        let memory = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        slog::info!(log, "memory for callers"; "budget_bytes" => settings.total, "memory_bytes" => memory);
        Self(Arc::new(Mutex::new(State {
            budget: Budget::new(settings),
            total: settings.total,
            accounts: BTreeMap::new(),
            next: 1,
            log,
            next_log: Time::default(),
            refused: 0,
            shed: 0,
        })))
    }

    /// Returns the sizes of the budget of a process that may use this memory.
    pub fn settings(memory_bytes: Option<u64>, head_bytes: usize) -> Settings {
        Settings {
            total: memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES) / MEMORY_DIVISOR,
            connection: CONNECTION_BYTES + head_bytes as u64,
            unread: u64::from(RECEIVE_BUFFER_BYTES) * 2,
        }
    }

    /// Opens the account of a connection; `None` if there is no room for it.
    pub fn connect(&self) -> Option<Account> {
        let mut state = self.state();
        let holder = Holder(state.next);
        state.next += 1;
        let shared = Arc::<Shared>::default();
        state.accounts.insert(holder, shared.clone());
        state.step(Event::Opened(holder));
        if shared.take_result() == Some(Ok(())) {
            return Some(Account::open(self.clone(), holder, shared));
        }
        state.accounts.remove(&holder);
        None
    }

    /// Records an event.
    pub(super) fn step(&self, event: Event) {
        self.state().step(event);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn step(&mut self, event: Event) {
        let now = clock::now();
        let mut actions = Vec::new();
        self.budget.step(now, event, &mut actions);
        if let Event::Closed(holder) = event {
            self.accounts.remove(&holder);
        }
        for action in actions {
            match action {
                Action::Grant(holder) => self.notify(holder, |shared| shared.set_result(Ok(()))),
                Action::Refuse(holder, refusal) => {
                    if refusal != Refusal::Unavailable || matches!(event, Event::Opened(_)) {
                        self.refused += 1;
                        metrics::counter!(metric::REFUSED_MEMORY).increment(1);
                    }
                    self.notify(holder, |shared| shared.set_result(Err(refusal)));
                }
                Action::Shed(holder) => {
                    self.shed += 1;
                    metrics::counter!(metric::SHED).increment(1);
                    self.notify(holder, Shared::shed);
                }
            }
        }
        metrics::gauge!(metric::HELD_BYTES).set(self.budget.held() as f64);
        if (self.refused > 0 || self.shed > 0) && now >= self.next_log {
            slog::warn!(self.log, "short of memory for callers";
                "refused" => self.refused, "closed" => self.shed,
                "held_bytes" => self.budget.held(), "budget_bytes" => self.total,
                "waiting" => self.budget.waiting());
            (self.refused, self.shed) = (0, 0);
            self.next_log = now + LOG_INTERVAL;
        }
    }

    fn notify(&self, holder: Holder, notify: impl FnOnce(&Shared)) {
        if let Some(shared) = self.accounts.get(&holder) {
            notify(shared);
        }
    }
}
