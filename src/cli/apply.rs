//! `marlrun config apply`.

use super::{
    Connection, Exit, Failure,
    arguments::Apply,
    check,
    output::Output,
    wait::{self, Wait},
};
use crate::{
    clock,
    config::{
        Change, Difference, Document, Head, Store,
        store::{Outcome, Proposal, Stored},
    },
    random,
    table::Fault,
    unit::{Span, Version},
};
use rand_chacha::rand_core::Rng as _;
use std::thread;

/// Delay before the first retry of a call to the platform; doubles with each retry.
const FIRST_RETRY_DELAY: Span = Span::from_millis(200);

/// Result of the command as JSON.
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
enum Report<'r> {
    Unchanged {
        version: Version,
    },
    Accepted {
        version: Version,
        differences: &'r [Difference],
        superseded_by: Option<&'r Head>,
    },
    Conflict {
        winner: Option<&'r Head>,
        /// Changes made by the winning version.
        differences: &'r [Difference],
    },
    Unknown {
        change: Change,
        cause: Box<str>,
    },
}

/// Checks files and stores them as a new version of the configuration.
pub(super) fn run(
    arguments: &Apply,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let Some(document) = check::load(&arguments.files, output)? else {
        return Ok(Exit::Findings);
    };
    let store = connection.store()?;
    let stored = store.load()?;
    let base = arguments.from.unwrap_or(stored.version());
    if base != stored.version() {
        let old = store.load_version(base)?.unwrap_or_default();
        return print_conflict(&old.document, Some(&stored), output);
    }
    let differences = Difference::between(&stored.document, &document)?;
    let floor = highest_version(connection, output)?;
    let proposal = Proposal {
        change: Change(random::seeded().next_u64()),
        base,
        current: stored.document,
        document,
        floor,
        author: arguments.author.clone(),
        note: arguments.note.clone(),
        at: clock::unix_millis(),
    };
    let mut delay = FIRST_RETRY_DELAY;
    let outcome = store.apply(&proposal, &mut |fault| {
        output.progress(format_args!("{fault}; retrying in {delay}"));
        thread::sleep(retry_delay(fault, delay).into());
        delay = Span(delay.0 * 2);
    })?;
    match outcome {
        Outcome::Unchanged => {
            let version = base;
            output.print(&Report::Unchanged { version }, |out| {
                writeln!(
                    out,
                    "unchanged: version {version} already has these contents"
                )
            })?;
            Ok(Exit::Done)
        }
        Outcome::Accepted { head, superseded } => {
            print_accepted(&head, superseded.as_ref(), &differences, output)?;
            match arguments.wait {
                Some(limit) => wait_until_in_force(head.entry.version, limit, connection, output),
                None => Ok(Exit::Done),
            }
        }
        Outcome::Conflict { winner } => {
            load_winner_and_print(&proposal.current, winner, &store, output)
        }
        Outcome::Unknown { fault } => print_unknown(proposal.change, &fault, output),
    }
}

/// Returns the highest version in force at any router, or 0 if no router is given or reachable. New versions are
/// numbered above it, so that version numbers are not reused after the platform's table is restored from a backup.
fn highest_version(connection: &Connection, output: &mut Output<'_>) -> Result<Version, Failure> {
    if connection.routers.is_empty() {
        return Ok(Version(0));
    }
    match connection.known_routers(output) {
        Ok(routers) => {
            let versions = routers.into_iter().map(|router| router.version);
            Ok(versions.max().unwrap_or_default())
        }
        Err(Failure::Router(_)) => Ok(Version(0)),
        Err(failure) => Err(failure),
    }
}

fn retry_delay(fault: &Fault, delay: Span) -> Span {
    match fault {
        Fault::Limited { retry_after, .. } => delay.max(*retry_after),
        _ => delay,
    }
}

fn print_accepted(
    head: &Head,
    superseded: Option<&Head>,
    differences: &[Difference],
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let version = head.entry.version;
    let report = Report::Accepted {
        version,
        differences,
        superseded_by: superseded,
    };
    output.print(&report, |out| {
        writeln!(out, "accepted: version {version}")?;
        differences
            .iter()
            .try_for_each(|line| writeln!(out, "  {line}"))?;
        if let Some(later) = superseded {
            let (version, author) = (later.entry.version, &later.author);
            writeln!(
                out,
                "version {version} by {author} has already superseded it"
            )?;
        }
        Ok(())
    })?;
    Ok(())
}

fn load_winner_and_print(
    old: &Document,
    winner: Option<Head>,
    store: &Store,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let stored = winner.map(|head| store.load_version(head.entry.version));
    let stored = stored.transpose()?.flatten();
    print_conflict(old, stored.as_ref(), output)
}

/// Prints which version was accepted first and what it changed.
fn print_conflict(
    old: &Document,
    winner: Option<&Stored>,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let differences = match winner {
        Some(stored) => Difference::between(old, &stored.document)?,
        None => Vec::new(),
    };
    let winner = winner.and_then(|stored| stored.head.as_ref());
    let report = Report::Conflict {
        winner,
        differences: &differences,
    };
    output.print(&report, |out| {
        match winner {
            Some(head) => writeln!(
                out,
                "not accepted: version {} by {} was accepted first ({:?}) and changed",
                head.entry.version, head.author, head.note
            )?,
            None => writeln!(out, "not accepted: the platform has no stored configuration; run `config apply` again without --from")?,
        }
        differences
            .iter()
            .try_for_each(|line| writeln!(out, "  {line}"))
    })?;
    Ok(Exit::Conflict)
}

fn print_unknown(change: Change, fault: &Fault, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let cause = fault.to_string().into();
    let report = Report::Unknown { change, cause };
    output.print(&report, |out| {
        writeln!(out, "outcome unknown: {fault}")?;
        writeln!(
            out,
            "run `marlrun config history`: if it lists change {change}, the change was accepted"
        )
    })?;
    Ok(Exit::Unknown)
}

/// Waits until a version is in force at every live router.
fn wait_until_in_force(
    version: Version,
    limit: Span,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    match wait::in_force(version, limit, connection, output)? {
        Wait::Complete => Ok(Exit::Done),
        Wait::Incomplete => Ok(Exit::TimedOut),
    }
}
