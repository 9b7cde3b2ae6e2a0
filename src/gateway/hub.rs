//! The dispatcher behind a lock, and the requests that wait for its orders.

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

/// The dispatcher behind a lock, and the requests that wait for its orders.
///
/// All tasks share one thread, so the lock is never contended; it lets the types cross threads.
pub struct Hub {
    state: Mutex<State>,
    log: slog::Logger,
}

struct State {
    dispatcher: Dispatcher,
    callers: HashMap<u64, Caller>,
}

struct Caller {
    /// Identifier that the caller gave the request, for the log.
    request: Box<str>,
    orders: mpsc::UnboundedSender<Order>,
}

impl Hub {
    /// Returns a hub around a dispatcher.
    pub fn open(dispatcher: Dispatcher, log: slog::Logger) -> Self {
        Self {
            state: Mutex::new(State {
                dispatcher,
                callers: HashMap::new(),
            }),
            log,
        }
    }

    /// Hands a request to the dispatcher; its orders come through the ticket.
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

    /// Gives back the place of a request.
    pub(super) fn leave(&self, number: u64) {
        self.step(Event::Closed { number });
        self.state().callers.remove(&number);
    }

    /// Passes an event to the dispatcher and its orders to the requests.
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
            // The request may have ended; its `Closed` follows.
            drop(caller.orders.send(order));
        }
    }

    /// Returns what the other routers are to be told.
    pub fn tell(&self, leaving: bool) -> Vec<Batch> {
        let mut state = self.state();
        let (waiting, running) = (state.dispatcher.waiting(), state.dispatcher.running());
        metrics::gauge!(metric::WAITING).set(waiting as f64);
        metrics::gauge!(metric::RUNNING).set(running as f64);
        state.dispatcher.summarize(clock::now(), leaving)
    }

    /// Returns the newest configuration version that another router told.
    pub fn newest_version(&self) -> Version {
        self.state().dispatcher.newest_version()
    }

    /// Returns the loads of all targets: this router's part and the others'.
    pub fn views(&self) -> HashMap<id::Target, (View, View)> {
        self.state().dispatcher.views()
    }

    /// Returns the log.
    pub(super) fn log(&self) -> &slog::Logger {
        &self.log
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
