//! `marlrun evacuate`.

use super::{Connection, Exit, Failure, output::Output};
use crate::{
    clock, config, id,
    table::{Fault, Table as _, Verdict, evacuation},
};

/// Result of the command, as JSON.
#[derive(serde::Serialize)]
struct Evacuated<'d> {
    domain: &'d id::Domain,
    evacuated: bool,
}

/// Evacuates a failure domain, or revokes its evacuation if `end` is set.
pub(super) fn run(
    domain: &id::Domain,
    end: bool,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let table = connection.table()?;
    let read = || evacuation::read_one(&table, domain);
    let row = read().map_err(config::store::Error::from)?;
    let was_evacuated = row.as_ref().is_some_and(evacuation::is_in_force);
    if end && !was_evacuated {
        output.progress(format_args!("{domain} is not evacuated"));
        return Ok(Exit::NotFound);
    }
    if !end {
        warn_if_unknown(domain, connection, output)?;
    }
    let write = evacuation::write(domain, !end, clock::unix_millis(), row.as_ref());
    match table.write(&[write]) {
        Ok(Verdict::Committed) => {}
        Ok(Verdict::Conflict(_)) => {
            output.progress(format_args!("another operator changed it at the same time"));
            return Ok(Exit::Conflict);
        }
        Err(fault @ Fault::Lost { .. }) => match read() {
            Ok(row) if row.as_ref().is_some_and(evacuation::is_in_force) != end => {}
            Ok(_) => return Err(config::store::Error::from(fault).into()),
            Err(_) => {
                output.progress(format_args!("{fault}; the change may have taken effect"));
                return Ok(Exit::Unknown);
            }
        },
        Err(fault) => return Err(config::store::Error::from(fault).into()),
    }
    let result = Evacuated {
        domain,
        evacuated: !end,
    };
    output.print(&result, |out| {
        if end {
            writeln!(out, "{domain} is in use again")
        } else {
            writeln!(out, "{domain} is evacuated; what runs there goes on")
        }
    })?;
    Ok(Exit::Done)
}

/// Warns if the stored configuration has neither a site nor a target in a failure domain: the name may be
/// misspelt. Targets that only the platform lists may be there all the same.
fn warn_if_unknown(
    domain: &id::Domain,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    // An evacuation must not depend on the configuration.
    let Ok(stored) = connection.store()?.load() else {
        return Ok(());
    };
    let document = &stored.document;
    let is_site = document.sites.values().any(|site| site.contains(domain));
    let is_known = is_site || document.targets.values().any(|t| t.domain == *domain);
    if !is_known {
        output.progress(format_args!(
            "warning: the stored configuration has nothing in the failure domain {domain}"
        ));
    }
    Ok(())
}
