//! Thread that makes a registry's calls to the table.

use super::{Action, Event};
use crate::table;
use crossbeam::channel;
use std::{io, sync::Arc, thread};

/// Name of the thread.
const THREAD_NAME: &str = "claims";

/// Thread that makes the blocking calls to the table; dropping the worker waits until the queued
/// calls are made.
#[derive(Debug)]
pub struct Worker {
    actions: Option<channel::Sender<Action>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Worker {
    /// Starts the thread; `sink` receives the result of each call.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot create the thread.
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

    /// Queues a call; ignores actions that are not calls to the table.
    pub fn submit(&self, action: Action) {
        if let Some(actions) = &self.actions {
            // Cannot fail: the thread keeps the receiver until the sender is dropped.
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

/// Makes the table call of an action, if it is one.
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
