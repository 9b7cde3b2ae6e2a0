//! In-memory platform for tests and for the platform stand-in.

use super::{
    Directory, Fault, Objects, Row, Script, Stats, Table, Verdict, Vm, Write, store::Store,
};
use crate::{clock, unit::Span};
use std::{
    sync::{Mutex, MutexGuard},
    thread,
};

/// In-memory platform with fault injection; nothing is persisted.
#[derive(Debug, Default)]
pub struct Memory {
    store: Mutex<Store>,
}

impl Memory {
    /// Returns an empty platform without faults.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the injected faults.
    pub fn script(&self) -> Script {
        self.store().script().clone()
    }

    /// Replaces the injected faults.
    pub fn set_script(&self, script: Script) {
        self.store().set_script(script);
    }

    /// Replaces the list of VMs; readers see it after `lag`.
    pub fn set_vms(&self, vms: Vec<Vm>, lag: Span) {
        self.store().set_vms(clock::now(), lag, vms);
    }

    /// Returns the counters of calls.
    pub fn stats(&self) -> Stats {
        self.store().stats()
    }

    /// Locks the contents, without the injected delay.
    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sleeps for the injected delay, then locks the contents.
    fn store_after_delay(&self) -> MutexGuard<'_, Store> {
        let delay = self.store().script().delay;
        if delay > Span(0) {
            thread::sleep(delay.into());
        }
        self.store()
    }
}

impl Table for Memory {
    fn read(&self, keys: &[Box<str>]) -> Result<Vec<Row>, Fault> {
        self.store_after_delay().read(clock::now(), keys)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Fault> {
        self.store_after_delay()
            .scan(clock::now(), prefix, after, limit)
    }

    fn write(&self, writes: &[Write]) -> Result<Verdict, Fault> {
        self.store_after_delay().write(clock::now(), writes)
    }
}

impl Objects for Memory {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        self.store_after_delay().get(clock::now(), name)
    }

    fn put(&self, name: &str, body: &[u8]) -> Result<(), Fault> {
        self.store_after_delay().put(clock::now(), name, body)
    }
}

impl Directory for Memory {
    fn list(&self) -> Result<Vec<Vm>, Fault> {
        self.store_after_delay().list(clock::now())
    }
}
