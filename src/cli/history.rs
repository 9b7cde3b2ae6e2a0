//! `marlrun config history` and `marlrun config status`.

use super::{Connection, Exit, Failure, output::Output, table::Table};
use crate::{
    clock,
    config::Head,
    operator,
    unit::{Span, Version},
};

/// Status as JSON.
#[derive(serde::Serialize)]
struct Status {
    /// Head of the configuration stored in the platform.
    head: Option<Head>,
    /// Routers with the versions in force at them.
    routers: Vec<operator::Router>,
}

/// Lists the latest configuration versions.
pub(super) fn run(
    limit: usize,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let heads = connection.store()?.history(limit)?;
    let mut table = Table::new(&["VERSION", "AGE", "AUTHOR", "CHANGE", "NOTE"]);
    for head in &heads {
        table.row(vec![
            head.entry.version.to_string(),
            age(head),
            head.author.to_string(),
            head.entry.change.to_string(),
            head.note.to_string(),
        ]);
    }
    output.print(&heads, |out| table.print(out))?;
    Ok(Exit::Done)
}

/// Prints the stored configuration version and the version in force at each router.
pub(super) fn status(connection: &Connection, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let head = connection.store()?.head()?;
    let routers = match connection.routers.is_empty() {
        true => Vec::new(),
        false => connection.known_routers(output)?,
    };
    let status = Status { head, routers };
    let version = status
        .head
        .as_ref()
        .map_or(Version(0), |head| head.entry.version);
    let mut table = Table::new(&["ROUTER", "DOMAIN", "VERSION", "STATE"]);
    for router in &status.routers {
        let state = match (router.alive, router.version >= version) {
            (false, _) => "not heard",
            (true, true) => "in force",
            (true, false) => "behind",
        };
        table.row(vec![
            router.router.to_string(),
            router.domain.to_string(),
            router.version.to_string(),
            state.to_owned(),
        ]);
    }
    output.print(&status, |out| {
        match &status.head {
            Some(head) => writeln!(
                out,
                "version {version} by {}, {} ago",
                head.author,
                age(head)
            )?,
            None => writeln!(out, "the platform has no stored configuration")?,
        }
        if status.routers.is_empty() {
            return Ok(());
        }
        table.print(out)
    })?;
    Ok(Exit::Done)
}

fn age(head: &Head) -> String {
    let millis = clock::unix_millis().saturating_sub(head.at);
    Span::from_secs(millis / 1_000).to_string()
}
