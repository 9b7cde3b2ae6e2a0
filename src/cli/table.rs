//! Text tables with aligned columns.

use std::io;

/// Text table with a heading.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with a heading.
    pub(super) fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|cell| (*cell).to_owned());
        Self {
            rows: vec![heading.collect()],
        }
    }

    /// Adds a row.
    pub(super) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table.
    pub(super) fn print(&self, out: &mut dyn io::Write) -> io::Result<()> {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: String = cells
                .map(|(cell, width)| format!("{cell:<width$}  "))
                .collect();
            writeln!(out, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
