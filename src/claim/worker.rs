//! Thread that calls the table for a registry.

use super::{Action, Event};
use crate::table;
use crossbeam::channel;
use std::{io, sync::Arc, thread};

/// Name of the thread.
const THREAD_NAME: &str = "claims";

/// Thread that calls the table, since its calls block; it ends when the worker is dropped.
#[derive(Debug)]
pub struct Worker {
    actions: Option<channel::Sender<Action>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Worker {
    /// Starts the thread; `sink` gets an event for each call.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn spawn(
        table: Arc<dyn table::Table>,
        sink: Box<dyn Fn(Event) + Send>,
    ) -> io::Result<Self> {
        let (sender, receiver) = channel::unbounded();
        let thread = thread::Builder::new().name(THREAD_NAME.into());
        let thread = thread.spawn(move || {
            for action in receiver {
                if let Some(event) = call(&*table, action) {
                    sink(event);
                }
            }
        })?;
        Ok(Self {
            actions: Some(sender),
            thread: Some(thread),
        })
    }

    /// Makes a call; actions that are not calls to the table are left out.
    pub fn submit(&self, action: Action) {
        if let Some(actions) = &self.actions {
            // The thread ends only after the sender.
            let _ = actions.send(action);
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.actions = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Calls the table for one action.
fn call(table: &dyn table::Table, action: Action) -> Option<Event> {
    match action {
        Action::Write { call, writes } => {
            let result = table.write(&writes);
            Some(Event::Written { call, result })
        }
        Action::Read { call, keys } => {
            let result = table.read(&keys);
            Some(Event::Read { call, result })
        }
        Action::Scan {
            call,
            prefix,
            after,
            limit,
        } => {
            let result = table.scan(&prefix, &after, limit);
            Some(Event::Read { call, result })
        }
        Action::Send(_) | Action::Verdict { .. } => None,
    }
}
