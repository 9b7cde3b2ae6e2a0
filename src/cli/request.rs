//! `marlrun request`.

use super::{Connection, Exit, Failure, output::Output};

/// Queries the given routers in turn until one knows the request.
pub(super) fn run(
    id: &str,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let mut unreachable = None;
    for client in connection.routers()? {
        let request = match client.request(id) {
            Ok(Some(request)) => request,
            Ok(None) => continue,
            Err(error) => {
                output.progress(format_args!("{error}"));
                unreachable = Some(error);
                continue;
            }
        };
        let target = request.target.as_ref();
        let target = target.map_or_else(|| "no target".to_owned(), |t| format!("target {t}"));
        let trace = request.trace.as_deref().unwrap_or("-");
        output.print(&request, |out| {
            writeln!(out, "{}: {}", request.id, request.phase)?;
            writeln!(
                out,
                "  workspace {}, service {}",
                request.workspace, request.service
            )?;
            writeln!(
                out,
                "  {target}, cost {}, hops {}",
                request.cost, request.hops
            )?;
            writeln!(
                out,
                "  age {} ms, trace {trace}, router {}",
                request.age_ms,
                client.address()
            )
        })?;
        return Ok(Exit::Done);
    }
    match unreachable {
        Some(error) => Err(error.into()),
        None => {
            output.progress(format_args!(
                "none of the given routers knows request {id}; it may be at another router"
            ));
            Ok(Exit::NotFound)
        }
    }
}
