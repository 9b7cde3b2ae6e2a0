//! `marlrun config check`.

use super::{Exit, Failure, files::Files, output::Output};
use crate::config;
use std::{fmt, io};

/// Numbers of entries in a valid configuration, as JSON.
#[derive(serde::Serialize)]
struct Summary {
    findings: [(); 0],
    sites: usize,
    overlays: usize,
    workspaces: usize,
    services: usize,
    targets: usize,
}

/// Findings as JSON.
#[derive(serde::Serialize)]
struct Report<'f> {
    findings: &'f [config::Finding],
}

/// Prints the findings in the files, or the numbers of entries if there are none.
pub(super) fn run(files: &Files, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let Some(document) = load(files, output)? else {
        return Ok(Exit::Findings);
    };
    let summary = Summary {
        findings: [],
        sites: document.sites.len(),
        overlays: document.overlays.len(),
        workspaces: document.workspaces.len(),
        services: document.services.len(),
        targets: document.targets.len(),
    };
    output.print(&summary, |out| {
        writeln!(
            out,
            "valid: sites {}, overlays {}, workspaces {}, services {}, targets {}",
            summary.sites, summary.overlays, summary.workspaces, summary.services, summary.targets
        )
    })?;
    Ok(Exit::Done)
}

/// Reads and checks files; prints the findings and returns `None` if there are any.
pub(super) fn load(
    files: &Files,
    output: &mut Output<'_>,
) -> Result<Option<config::Document>, Failure> {
    let (base, overlays) = files.open()?;
    let findings = match config::check(&base, &overlays) {
        Ok(document) => return Ok(Some(document)),
        Err(findings) => findings,
    };
    let report = Report {
        findings: &findings.0,
    };
    output.print(&report, |out| write(&findings.0, out))?;
    Ok(None)
}

/// Prints findings, one a line.
pub(super) fn write(findings: &[impl fmt::Display], out: &mut dyn io::Write) -> io::Result<()> {
    let mut lines = findings.iter();
    lines.try_for_each(|finding| writeln!(out, "{finding}"))
}
