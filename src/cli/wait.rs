//! Waits until a configuration version is in force at every live router.

use super::{Connection, Failure, output::Output};
use crate::{
    clock, id, operator,
    unit::{Span, Version},
};
use std::{collections::BTreeSet, thread};

/// Interval between queries to the routers.
const POLL_INTERVAL: Span = Span::from_millis(250);

/// Maximum number of routers named in a progress message.
const MAX_NAMED_ROUTERS: usize = 10;

/// Result of the wait.
pub(super) enum Wait {
    /// The version is in force at every live router.
    Complete,
    /// The time limit expired first.
    Incomplete,
}

/// Router at which the version is in force, as JSON.
#[derive(serde::Serialize)]
struct Reached<'r> {
    router: &'r id::Router,
    version: Version,
    after_ms: u64,
}

/// Routers at which the version is not in force, as JSON.
#[derive(serde::Serialize)]
struct Missing<'r> {
    missing: Vec<&'r id::Router>,
}

/// Waits until a version is in force at every live router, and reports each router that reaches it.
pub(super) fn in_force(
    version: Version,
    limit: Span,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Wait, Failure> {
    let start = clock::now();
    let mut reached = BTreeSet::new();
    let mut reported = usize::MAX;
    loop {
        let age = clock::now().since(start);
        let routers = match connection.known_routers(output) {
            Ok(routers) => routers,
            Err(Failure::Router(_)) if age < limit => Vec::new(),
            Err(failure) => return Err(failure),
        };
        let live: Vec<_> = routers.iter().filter(|router| router.alive).collect();
        for router in &live {
            if router.version >= version && reached.insert(router.router.clone()) {
                report_reached(router, age, output)?;
            }
        }
        let behind = live.iter().filter(|router| router.version < version);
        let missing: Vec<_> = behind.map(|router| &router.router).collect();
        if !live.is_empty() && missing.is_empty() {
            return Ok(Wait::Complete);
        }
        report_missing(&missing, &mut reported, output);
        if age >= limit {
            output.print(
                &Missing {
                    missing: missing.clone(),
                },
                |out| {
                    let mut routers = missing.iter();
                    routers.try_for_each(|router| {
                        writeln!(out, "{router}: not in force after {limit}")
                    })
                },
            )?;
            return Ok(Wait::Incomplete);
        }
        thread::sleep(POLL_INTERVAL.into());
    }
}

/// Prints the routers that the command still waits for whenever their number has dropped.
fn report_missing(missing: &[&id::Router], reported: &mut usize, output: &mut Output<'_>) {
    if missing.len() >= *reported || missing.is_empty() {
        return;
    }
    *reported = missing.len();
    let names: Vec<_> = missing
        .iter()
        .take(MAX_NAMED_ROUTERS)
        .map(|router| router.as_str())
        .collect();
    let more = if missing.len() > MAX_NAMED_ROUTERS {
        ", ..."
    } else {
        ""
    };
    output.progress(format_args!(
        "version not yet in force at {} routers: {}{more}",
        missing.len(),
        names.join(", ")
    ));
}

fn report_reached(
    router: &operator::Router,
    age: Span,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let (version, name, domain) = (router.version, &router.router, &router.domain);
    let after_ms = age.as_millis();
    let reached = Reached {
        router: name,
        version,
        after_ms,
    };
    output.print(&reached, |out| {
        writeln!(
            out,
            "{name} ({domain}): version {version} in force after {after_ms} ms"
        )
    })?;
    Ok(())
}
