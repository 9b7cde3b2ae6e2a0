//! `marlrun router drain`.

use super::{Connection, Exit, Failure, output::Output};
use crate::{
    clock,
    operator::{self, Status},
    unit::Span,
};
use std::thread;

/// Interval between status queries to the router.
const POLL_INTERVAL: Span = Span::from_secs(1);

/// Drains the one router given by `--router`, and waits until it has stopped if `wait` is given.
pub(super) fn run(
    wait: Option<Span>,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let clients = connection.routers()?;
    let [client] = &clients[..] else {
        output.progress(format_args!(
            "`router drain` drains one router: give exactly one by --router or MARLRUN_ROUTERS"
        ));
        return Ok(Exit::Usage);
    };
    let status = client.drain()?;
    output.print(&status, |out| {
        writeln!(
            out,
            "{} is draining: {}",
            status.router,
            requests_left(&status)
        )
    })?;
    match wait {
        Some(limit) => wait_until_stopped(client, &status, limit, output),
        None => Ok(Exit::Done),
    }
}

fn wait_until_stopped(
    client: &operator::Client,
    initial: &Status,
    limit: Span,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let start = clock::now();
    while clock::now().since(start) < limit {
        thread::sleep(POLL_INTERVAL.into());
        match client.status() {
            Ok(status) if status.incarnation == initial.incarnation => {
                output.progress(format_args!(
                    "{}: {}",
                    status.router,
                    requests_left(&status)
                ));
            }
            // The router has stopped, or has been restarted with a new incarnation.
            Ok(_) | Err(operator::Error::Unreachable { .. }) => return Ok(Exit::Done),
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Exit::TimedOut)
}

fn requests_left(status: &Status) -> String {
    format!("{} waiting, {} running", status.waiting, status.running)
}
