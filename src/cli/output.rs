//! Output of commands.

use std::{fmt, io};

/// Output streams and format of a command.
pub struct Output<'w> {
    /// Print results as JSON instead of text.
    pub json: bool,
    /// Stream for results.
    pub out: &'w mut dyn io::Write,
    /// Stream for progress and errors.
    pub err: &'w mut dyn io::Write,
}

impl Output<'_> {
    /// Prints a progress or error message.
    pub(super) fn progress(&mut self, line: fmt::Arguments<'_>) {
        // An error on standard error cannot be reported anywhere.
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
