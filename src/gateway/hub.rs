//! Driver of the dispatcher: feeds it events and delivers its actions.

use super::{
    logbook::Entry,
    ticket::{Order, Ticket},
};
use crate::{
    clock,
    dispatch::{Action, Batch, Dispatcher, Event, Request, View},
    id, metric,
    unit::Version,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::mpsc;

/// Feeds events to the dispatcher and delivers its actions to the requests that wait for them.
///
/// All tasks run on one thread, so the lock is never contended; it only makes the type `Sync`.
pub struct Hub {
    state: Mutex<State>,
    log: slog::Logger,
}

struct State {
    dispatcher: Dispatcher,
    callers: HashMap<u64, Caller>,
}

struct Caller {
    /// Request ID chosen by the client, for the log.
    request: Box<str>,
    orders: mpsc::UnboundedSender<Order>,
}

impl Hub {
    /// Wraps a dispatcher.
    pub fn open(dispatcher: Dispatcher, log: slog::Logger) -> Self {
        Self {
            state: Mutex::new(State {
                dispatcher,
                callers: HashMap::new(),
            }),
            log,
        }
    }

    /// Registers a request at the dispatcher; its decisions arrive through the returned handle.
    pub(super) fn arrive(self: &Arc<Self>, name: &str, request: Request) -> Ticket {
        let (orders, inbox) = mpsc::unbounded_channel();
        let number = request.number;
        let caller = Caller {
            request: name.into(),
            orders,
        };
        self.state().callers.insert(number, caller);
        self.step(Event::Arrived(request));
        Ticket::new(number, self.clone(), inbox)
    }

    /// Removes a request from the dispatcher.
    pub(super) fn leave(&self, number: u64) {
        self.step(Event::Closed { number });
        self.state().callers.remove(&number);
    }

    /// Passes an event to the dispatcher and executes the resulting actions.
    pub fn step(&self, event: Event) {
        let now = clock::now();
        let mut state = self.state();
        let mut actions = Vec::new();
        state.dispatcher.step(now, event, &mut actions);
        for action in actions {
            self.act(&state, action);
        }
    }

    fn act(&self, state: &State, action: Action) {
        let (number, order) = match action {
            Action::Send {
                number,
                estimate,
                earlier,
                waited,
            } => {
                if let Some(caller) = state.callers.get(&number) {
                    let entry = Entry::Sent {
                        request: &caller.request,
                        estimate: &estimate,
                        earlier,
                        waited,
                    };
                    entry.write(&self.log);
                }
                (number, Order::Send { estimate, earlier })
            }
            Action::Refuse { number, refusal } => (number, Order::Refuse(refusal)),
            Action::Abandon { number } => (number, Order::Abandon),
            Action::HealthChanged {
                target,
                suspect,
                failures,
                answers,
            } => {
                let entry = Entry::Target {
                    target: &target,
                    suspect,
                    failures,
                    answers,
                };
                return entry.write(&self.log);
            }
        };
        if let Some(caller) = state.callers.get(&number) {
            // The receiver is closed if the request has just ended; its `Closed` event follows.
            drop(caller.orders.send(order));
        }
    }

    /// Returns the load summaries due to other routers, and updates the gauges of requests.
    pub fn tell(&self, leaving: bool) -> Vec<Batch> {
        let mut state = self.state();
        let (waiting, running) = (state.dispatcher.waiting(), state.dispatcher.running());
        metrics::gauge!(metric::WAITING).set(waiting as f64);
        metrics::gauge!(metric::RUNNING).set(running as f64);
        state.dispatcher.summarize(clock::now(), leaving)
    }

    /// Returns the newest configuration version reported by another router.
    pub fn newest_version(&self) -> Version {
        self.state().dispatcher.newest_version()
    }

    /// Returns the loads of all targets: this router's share and the other routers'.
    pub fn views(&self) -> HashMap<id::Target, (View, View)> {
        self.state().dispatcher.views()
    }

    /// Returns the logger.
    pub(super) fn log(&self) -> &slog::Logger {
        &self.log
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
