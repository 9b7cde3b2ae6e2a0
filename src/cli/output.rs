//! What a command prints.

use std::{fmt, io};

/// Where a command prints to, as text or JSON.
pub struct Output<'w> {
    /// Print JSON in place of text.
    pub json: bool,
    /// Results.
    pub out: &'w mut dyn io::Write,
    /// Progress and errors.
    pub err: &'w mut dyn io::Write,
}

impl Output<'_> {
    /// Prints a line about progress or an error.
    pub(super) fn progress(&mut self, line: fmt::Arguments<'_>) {
        // Nothing is left to tell when standard error is gone too.
        let _ = writeln!(self.err, "marlrun: {line}");
    }

    /// Prints a result as one line of JSON or as text.
    pub(super) fn print(
        &mut self,
        value: &impl serde::Serialize,
        text: impl FnOnce(&mut dyn io::Write) -> io::Result<()>,
    ) -> io::Result<()> {
        if !self.json {
            return text(self.out);
        }
        serde_json::to_writer(&mut *self.out, value)?;
        writeln!(self.out)
    }
}
