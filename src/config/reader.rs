//! Collection of the findings of one file.

use super::{Finding, Position, Source};
use std::{cell::RefCell, fmt};
use toml::de::DeTable;

/// Bytes between two offsets whose numbers of characters are kept, so that a column costs the same in a file of one
/// long line.
const BLOCK_BYTES: usize = 1 << 10;

/// Collects the findings of one file and converts byte offsets to lines and columns.
pub struct Reader<'s> {
    source: &'s Source,
    line_starts: Vec<usize>,
    /// Number of characters before each block.
    block_starts: Vec<usize>,
    findings: RefCell<Vec<Finding>>,
}

impl<'s> Reader<'s> {
    /// Returns a reader of a file without findings.
    pub fn new(source: &'s Source) -> Self {
        let newlines = source.text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let after = newlines.map(|(index, _)| index + 1);
        let blocks = source.text.as_bytes().chunks(BLOCK_BYTES);
        let block_starts = blocks.scan(0, |characters, block| {
            let start = *characters;
            *characters += count_characters(block);
            Some(start)
        });
        Self {
            source,
            line_starts: std::iter::once(0).chain(after).collect(),
            block_starts: block_starts.collect(),
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

    /// Returns the line and column of a byte offset.
    pub fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        Position {
            file: self.source.name.clone(),
            line,
            column: self.characters_before(offset) - self.characters_before(start) + 1,
        }
    }

    /// Returns the byte offset of a column in bytes, from 1, of a line.
    pub(crate) fn offset(&self, line: usize, column: usize) -> usize {
        let start = self.line_starts.get(line.saturating_sub(1));
        let start = start.copied().unwrap_or(self.source.text.len());
        start + column.saturating_sub(1)
    }

    fn characters_before(&self, offset: usize) -> usize {
        let offset = offset.min(self.source.text.len());
        let block = offset / BLOCK_BYTES;
        let rest = &self.source.text.as_bytes()[block * BLOCK_BYTES..offset];
        let before = self.block_starts.get(block).copied();
        // An offset at the end of a full last block is in no block.
        before.unwrap_or_else(|| self.source.text.chars().count()) + count_characters(rest)
    }
}

/// Returns the number of characters that begin in the bytes of a text.
fn count_characters(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte & 0xc0 != 0x80).count()
}

/// Returns `; did you mean ...?` if a known name resembles the given one, or nothing.
pub(crate) fn suggestion<'n>(name: &str, known: impl IntoIterator<Item = &'n str>) -> String {
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
