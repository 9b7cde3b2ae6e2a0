//! `marlrun config show`.

use super::{Connection, Exit, Failure, arguments::Show, output::Output};

/// Prints a stored configuration version as TOML.
pub(super) fn run(
    arguments: &Show,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let store = connection.store()?;
    let stored = match arguments.version {
        Some(version) => store.load_version(version)?,
        None => Some(store.load()?).filter(|stored| stored.head.is_some()),
    };
    let Some(stored) = stored else {
        output.progress(format_args!(
            "the platform has no such version; list the versions with `marlrun config history`"
        ));
        return Ok(Exit::NotFound);
    };
    let table = match &arguments.site {
        Some(site) => stored.document.overlay_table(site)?,
        None => Some(stored.document.base_table()?),
    };
    let Some(table) = table else {
        output.progress(format_args!(
            "version {} has no overlay for this site; check the name given by --site",
            stored.version()
        ));
        return Ok(Exit::NotFound);
    };
    let text = toml::to_string(&table)?;
    output.print(&table, |out| {
        write!(out, "# Version {}\n\n{text}", stored.version())
    })?;
    Ok(Exit::Done)
}
