//! Collection of findings.

use super::{Finding, Level};
use crate::config;
use std::{
    cell::{Cell, RefCell},
    fmt,
};

/// Collects the findings of one file, and counts the entries that the checks look at.
pub struct Report<'r> {
    reader: &'r config::Reader<'r>,
    findings: RefCell<Vec<Finding>>,
    visits: Cell<u64>,
}

impl<'r> Report<'r> {
    /// Returns a report without findings.
    pub fn new(reader: &'r config::Reader<'r>) -> Self {
        Self {
            reader,
            findings: RefCell::default(),
            visits: Cell::default(),
        }
    }

    /// Records a finding at a byte offset.
    pub fn add(&self, level: Level, offset: usize, message: impl fmt::Display) {
        self.push(level, self.reader.position(offset), message);
    }

    /// Records a finding about something that no file has; `name` takes the place of the file's.
    pub(super) fn add_outside(&self, level: Level, name: &str, message: impl fmt::Display) {
        let position = config::Position {
            file: name.into(),
            line: 1,
            column: 1,
        };
        self.push(level, position, message);
    }

    /// Returns the line and column of a byte offset, for a message that refers to another entry.
    pub(super) fn place(&self, offset: usize) -> String {
        let config::Position { line, column, .. } = self.reader.position(offset);
        format!("{line}:{column}")
    }

    /// Returns the items, each of which counts as a visit.
    pub fn visit<T>(&self, items: impl IntoIterator<Item = T>) -> impl Iterator<Item = T> {
        let items = items.into_iter();
        items.inspect(|_| self.visits.set(self.visits.get() + 1))
    }

    /// Returns the number of visits.
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    /// Reports whether there is an error.
    pub fn has_errors(&self) -> bool {
        let findings = self.findings.borrow();
        findings.iter().any(|finding| finding.level == Level::Error)
    }

    /// Returns the findings in the order of their positions.
    pub fn finish(self) -> Vec<Finding> {
        let mut findings = self.findings.into_inner();
        findings.sort();
        findings
    }

    fn push(&self, level: Level, position: config::Position, message: impl fmt::Display) {
        let message = message.to_string().into();
        self.findings.borrow_mut().push(Finding {
            finding: config::Finding { position, message },
            level,
        });
    }
}
