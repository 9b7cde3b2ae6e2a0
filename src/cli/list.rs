//! `list` commands for workspaces, services, targets and routers.

use super::{Connection, Exit, Failure, output::Output, table::Table};
use crate::{id, operator, unit::Weight};

/// Workspace in the stored configuration, as JSON.
#[derive(serde::Serialize)]
struct Workspace<'d> {
    workspace: &'d id::Workspace,
    weight: Weight,
    keys: usize,
}

/// Lists the workspaces in the stored configuration.
pub(super) fn workspaces(
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let document = connection.store()?.load()?.document;
    let accounts = document.workspaces.iter();
    let rows = accounts.map(|(workspace, account)| Workspace {
        workspace,
        weight: account.workspace.weight,
        keys: account.keys.len(),
    });
    let rows: Vec<_> = rows.collect();
    let mut table = Table::new(&["WORKSPACE", "WEIGHT", "KEYS"]);
    for row in &rows {
        table.row(vec![
            row.workspace.to_string(),
            row.weight.to_string(),
            row.keys.to_string(),
        ]);
    }
    output.print(&rows, |out| table.print(out))?;
    Ok(Exit::Done)
}

/// Lists the services in the stored configuration.
pub(super) fn services(connection: &Connection, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let document = connection.store()?.load()?.document;
    let rows: Vec<_> = document.services.values().collect();
    let mut table = Table::new(&[
        "SERVICE",
        "KIND",
        "TARGETS",
        "REPEATABLE",
        "TIMEOUT",
        "HOSTS",
    ]);
    for service in &rows {
        let targets = document.targets.values();
        let targets = targets.filter(|target| target.service == service.name);
        let repeatable = if service.idempotent { "yes" } else { "no" };
        table.row(vec![
            service.name.to_string(),
            service.kind.to_string(),
            targets.count().to_string(),
            repeatable.to_owned(),
            service.timeout.to_string(),
            service.hosts.join(","),
        ]);
    }
    output.print(&rows, |out| table.print(out))?;
    Ok(Exit::Done)
}

/// Lists the targets known to the first router that responds.
pub(super) fn targets(connection: &Connection, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let rows = connection.any_router(operator::Client::targets)?;
    let mut table = Table::new(&[
        "TARGET", "SERVICE", "DOMAIN", "ADDRESS", "OWNER", "SLOTS", "FREE", "FIT",
    ]);
    for target in &rows {
        let owner = target.owner.as_ref();
        let fit = if target.fit { "yes" } else { "no" };
        table.row(vec![
            target.target.to_string(),
            target.service.to_string(),
            target.domain.to_string(),
            target.address.to_string(),
            owner.map_or_else(|| "-".to_owned(), ToString::to_string),
            target.slots.to_string(),
            target.free.to_string(),
            fit.to_owned(),
        ]);
    }
    output.print(&rows, |out| table.print(out))?;
    Ok(Exit::Done)
}

/// Lists the routers known to those given by `--router`.
pub(super) fn routers(connection: &Connection, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let rows = connection.known_routers(output)?;
    let mut table = Table::new(&["ROUTER", "DOMAIN", "ADDRESS", "VERSION", "STATE"]);
    for router in &rows {
        let state = match (router.alive, router.leaving) {
            (false, _) => "not heard",
            (true, true) => "leaving",
            (true, false) => "alive",
        };
        table.row(vec![
            router.router.to_string(),
            router.domain.to_string(),
            router.address.to_string(),
            router.version.to_string(),
            state.to_owned(),
        ]);
    }
    output.print(&rows, |out| table.print(out))?;
    Ok(Exit::Done)
}
