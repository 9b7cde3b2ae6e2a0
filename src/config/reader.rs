//! Collection of the findings of one file.

use super::{Finding, Position, Source};
use std::{cell::RefCell, fmt};
use toml::de::DeTable;

/// Collects the findings of one file and converts byte offsets to lines and columns.
pub(super) struct Reader<'s> {
    source: &'s Source,
    line_starts: Vec<usize>,
    findings: RefCell<Vec<Finding>>,
}

impl<'s> Reader<'s> {
    pub(super) fn new(source: &'s Source) -> Self {
        let newlines = source.text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let after = newlines.map(|(index, _)| index + 1);
        Self {
            source,
            line_starts: std::iter::once(0).chain(after).collect(),
            findings: RefCell::default(),
        }
    }

    /// Parses the file as TOML and reports syntax errors; returns the entries that could be parsed.
    pub(super) fn parse(&self) -> DeTable<'s> {
        let (table, errors) = DeTable::parse_recoverable(&self.source.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            self.report(offset, error.message());
        }
        table.into_inner()
    }

    /// Records a finding at a byte offset.
    pub(super) fn report(&self, offset: usize, message: impl fmt::Display) {
        self.findings.borrow_mut().push(Finding {
            position: self.position(offset),
            message: message.to_string().into(),
        });
    }

    /// Returns the findings.
    pub(super) fn finish(self) -> Vec<Finding> {
        self.findings.into_inner()
    }

    fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let before = self.source.text.get(self.line_starts[line - 1]..offset);
        Position {
            file: self.source.name.clone(),
            line,
            column: before.map_or(0, |text| text.chars().count()) + 1,
        }
    }
}

/// Returns `; did you mean ...?` if a known name resembles the given one, or nothing.
pub(super) fn suggestion<'n>(name: &str, known: impl IntoIterator<Item = &'n str>) -> String {
    /// Similarity above which a known name is suggested; 1 means equal.
    const MIN_SIMILARITY: f64 = 0.5;
    let mut best = None;
    let mut similarity = MIN_SIMILARITY;
    for candidate in known {
        let score = strsim::normalized_damerau_levenshtein(name, candidate);
        if score > similarity {
            (best, similarity) = (Some(candidate), score);
        }
    }
    best.map_or_else(String::new, |best| format!("; did you mean {best}?"))
}
