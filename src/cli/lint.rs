//! `marlrun check`.

use super::{
    Connection, Exit, Failure, arguments::Check, check, diff, files::Files, output::Output,
};
use crate::{
    config::{self, Difference, Document, Source},
    id,
    lint::{self, Context, Level, Plan},
    platform::{self, InForce},
    table::evacuation::{self, Evacuations},
};
use std::{collections::BTreeSet, net::SocketAddr};

/// Bytes of a megabyte, as in the settings of routers.
const BYTES_PER_MB: u64 = 1_000_000;

/// Findings and differences of all files, as JSON.
#[derive(Default, serde::Serialize)]
struct Report {
    findings: Vec<lint::Finding>,
    differences: Vec<Compared>,
}

/// Differences of a file.
#[derive(serde::Serialize)]
struct Compared {
    file: Box<str>,
    /// What it was compared with.
    from: Box<str>,
    differences: Vec<Difference>,
}

/// Prints the findings of files, and their differences from what is in force if a platform or a file is named.
pub(super) fn run(
    arguments: &Check,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let sources = arguments.files.iter().map(|path| Source::open(path));
    let sources = sources.collect::<Result<Vec<_>, _>>()?;
    let bases = sources.iter().filter(|source| !is_json(source)).count();
    if bases != 1 && !arguments.overlays.is_empty() {
        return Err(Failure::Overlays);
    }
    let context = context(arguments)?;
    let mut report = Report::default();
    let mut failure = None;
    for source in &sources {
        let against = match &arguments.against {
            Some(path) => Some(Source::open(path)?),
            None => None,
        };
        if against
            .as_ref()
            .is_some_and(|other| is_json(other) != is_json(source))
        {
            return Err(Failure::Kinds);
        }
        let checked = match is_json(source) {
            true => check_json(source, against, &context, connection, &mut report),
            false => check_base(
                source,
                against,
                arguments,
                &context,
                connection,
                &mut report,
            ),
        };
        failure = failure.or(checked.err());
    }
    print(&report, output)?;
    let has_errors = report
        .findings
        .iter()
        .any(|finding| finding.level == Level::Error);
    match failure {
        _ if has_errors => Ok(Exit::Findings),
        Some(failure) => Err(failure),
        None => Ok(Exit::Done),
    }
}

/// Reports whether a file holds JSON: no TOML file begins with a brace.
fn is_json(source: &Source) -> bool {
    source.name.ends_with(".json") || source.text.trim_start().starts_with('{')
}

/// Returns what the arguments tell of the fleet.
fn context(arguments: &Check) -> Result<Context, Failure> {
    let mut context = Context {
        evacuated: arguments.evacuated.iter().cloned().collect(),
        prompt_tokens: arguments.prompt_tokens,
        ..Context::default()
    };
    if let Some(path) = &arguments.settings {
        let settings = platform::Settings::read(path)?;
        if !settings.regions.is_empty() {
            context.domains = Some(settings.regions.keys().cloned().collect());
            context.regions = Some(settings.regions);
        }
        context.memory_bytes = settings.memory_bytes;
    }
    let megabytes = arguments.ram_mb;
    context.memory_bytes = megabytes
        .map(|mb| mb * BYTES_PER_MB)
        .or(context.memory_bytes);
    Ok(context)
}

/// Checks the JSON document that the users' platform holds.
fn check_json(
    source: &Source,
    against: Option<Source>,
    context: &Context,
    connection: &Connection,
    report: &mut Report,
) -> Result<(), Failure> {
    let in_force = connection
        .platform
        .map(|address| read_in_force(connection, address));
    let in_force = in_force.transpose();
    let mut context = context.clone();
    if let Ok(Some(read)) = &in_force {
        context.evacuated.extend(read.evacuated.iter().cloned());
        context.target_domains = Some(read.target_domains.clone());
    }
    let reader = config::Reader::new(source);
    let found = lint::Report::new(&reader);
    let plan = platform::plan(&source.text, &reader, &found);
    let is_valid = plan.is_some();
    finish(plan, &context, found, report);
    let (from, old) = match (against, in_force?) {
        (Some(against), _) => (against.name, against.text),
        (None, Some(read)) => ("the platform".into(), read.configuration),
        (None, None) => return Ok(()),
    };
    if is_valid {
        let differences = platform::differences(&old, &source.text);
        report.differences.push(Compared {
            file: source.name.clone(),
            differences: differences.map_err(|cause| Failure::Against {
                name: from.clone(),
                cause,
            })?,
            from,
        });
    }
    Ok(())
}

fn read_in_force(connection: &Connection, address: SocketAddr) -> Result<InForce, Failure> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build()?;
    Ok(runtime.block_on(InForce::read(address, connection.timeout))?)
}

/// Checks a base file with its overlays.
fn check_base(
    source: &Source,
    against: Option<Source>,
    arguments: &Check,
    context: &Context,
    connection: &Connection,
    report: &mut Report,
) -> Result<(), Failure> {
    let overlays = Files::open_all(&arguments.overlays)?;
    let document = match config::check(source, &overlays) {
        Ok(document) => document,
        Err(findings) => {
            let findings = findings.0.into_iter().map(lint::Finding::error);
            report.findings.extend(findings);
            return Ok(());
        }
    };
    let mut context = context.clone();
    let evacuated = connection.platform.map(|_| read_evacuated(connection));
    let evacuated = evacuated.transpose();
    if let Ok(Some(domains)) = &evacuated {
        context.evacuated.extend(domains.iter().cloned());
    }
    let reader = config::Reader::new(source);
    let found = lint::Report::new(&reader);
    let plan = config::plan(&reader, &document, &mut context);
    finish(Some(plan), &context, found, report);
    let (from, old) = match (against, evacuated?) {
        (Some(against), _) => {
            let overlays = Files::open_all(&arguments.against_overlays)?;
            match config::check(&against, &overlays) {
                Ok(old) => (against.name, old),
                Err(findings) => return Err(Failure::Invalid(findings)),
            }
        }
        (None, Some(_)) => {
            let stored = connection.store()?.load()?;
            (diff::version(stored.version()), stored.document)
        }
        (None, None) => return Ok(()),
    };
    report
        .differences
        .push(compare(source, from, &old, &document)?);
    Ok(())
}

fn read_evacuated(connection: &Connection) -> Result<BTreeSet<id::Domain>, Failure> {
    let rows = evacuation::read(&connection.table()?).map_err(config::store::Error::from)?;
    let mut evacuations = Evacuations::default();
    evacuations.apply(&rows);
    Ok(evacuations.domains())
}

fn compare(
    source: &Source,
    from: Box<str>,
    old: &Document,
    new: &Document,
) -> Result<Compared, Failure> {
    Ok(Compared {
        file: source.name.clone(),
        from,
        differences: Difference::between(old, new)?,
    })
}

/// Checks the entries of a file, if it has no error, and adds its findings to the report.
fn finish(plan: Option<Plan>, context: &Context, found: lint::Report<'_>, report: &mut Report) {
    if let Some(plan) = plan {
        lint::check(&plan, context, &found);
    }
    report.findings.extend(found.finish());
}

fn print(report: &Report, output: &mut Output<'_>) -> Result<(), Failure> {
    output.print(report, |out| {
        check::write(&report.findings, out)?;
        if report.findings.is_empty() {
            writeln!(out, "no findings")?;
        }
        let mut compared = report.differences.iter();
        compared.try_for_each(|compared| diff::write(&compared.from, &compared.differences, out))
    })?;
    Ok(())
}
