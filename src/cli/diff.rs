//! `marlrun config diff`.

use super::{Connection, Exit, Failure, check, files::Files, output::Output};
use crate::{
    config::{Difference, Document},
    unit::Version,
};
use std::io;

/// Differences as JSON.
#[derive(serde::Serialize)]
struct Report {
    version: Version,
    differences: Vec<Difference>,
}

/// Prints the differences between the stored configuration and the files.
pub(super) fn run(
    files: &Files,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let Some(document) = check::load(files, output)? else {
        return Ok(Exit::Findings);
    };
    let stored = connection.store()?.load()?;
    print(stored.version(), &stored.document, &document, output)
}

/// Prints the differences between a stored version and a new document.
pub(super) fn print(
    version: Version,
    old: &Document,
    new: &Document,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let differences = Difference::between(old, new)?;
    let report = Report {
        version,
        differences,
    };
    output.print(&report, |out| {
        write(&self::version(version), &report.differences, out)
    })?;
    Ok(match report.differences.is_empty() {
        true => Exit::Done,
        false => Exit::Different,
    })
}

/// Returns a version as text.
pub(super) fn version(version: Version) -> Box<str> {
    format!("version {version}").into()
}

/// Prints the number of differences and each of them on a line.
pub(super) fn write(
    from: &str,
    differences: &[Difference],
    out: &mut dyn io::Write,
) -> io::Result<()> {
    writeln!(out, "differences from {from}: {}", differences.len())?;
    let mut lines = differences.iter();
    lines.try_for_each(|line| writeln!(out, "  {line}"))
}
