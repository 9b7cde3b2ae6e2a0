//! What a command prints.

use std::io;

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
