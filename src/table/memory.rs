//! A platform in this process, for tests and the stand-in.

use super::{
    Directory, Fault, Objects, Row, Script, Stats, Table, Verdict, Vm, Write, store::Store,
};
use crate::{clock, unit::Span};
use std::{
    sync::{Mutex, MutexGuard},
    thread,
};

/// A platform in this process; it forgets everything when it is dropped.
#[derive(Debug, Default)]
pub struct Memory {
    store: Mutex<Store>,
}

impl Memory {
    /// Opens an empty platform without faults.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the faults in force.
    pub fn script(&self) -> Script {
        self.store().script().clone()
    }

    /// Sets the faults in force.
    pub fn set_script(&self, script: Script) {
        self.store().set_script(script);
    }

    /// Replaces the list of VMs; readers see it after `lag`.
    pub fn set_vms(&self, vms: Vec<Vm>, lag: Span) {
        self.store().set_vms(clock::now(), lag, vms);
    }

    /// Returns the calls carried out so far.
    pub fn stats(&self) -> Stats {
        self.store().stats()
    }

    /// Returns the contents, which no delay holds up.
    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits for the delay in force and returns the contents.
    fn delayed(&self) -> MutexGuard<'_, Store> {
        let delay = self.store().script().delay;
        if delay > Span(0) {
            thread::sleep(delay.into());
        }
        self.store()
    }
}

impl Table for Memory {
    fn read(&self, keys: &[Box<str>]) -> Result<Vec<Row>, Fault> {
        self.delayed().read(clock::now(), keys)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Fault> {
        self.delayed().scan(clock::now(), prefix, after, limit)
    }

    fn write(&self, writes: &[Write]) -> Result<Verdict, Fault> {
        self.delayed().write(clock::now(), writes)
    }
}

impl Objects for Memory {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        self.delayed().get(clock::now(), name)
    }

    fn put(&self, name: &str, body: &[u8]) -> Result<(), Fault> {
        self.delayed().put(clock::now(), name, body)
    }
}

impl Directory for Memory {
    fn list(&self) -> Result<Vec<Vm>, Fault> {
        self.delayed().list(clock::now())
    }
}
