//! `marlrun explain`: the history of one request, from the logs of routers.

use super::{Exit, Failure, output::Output};
use serde_json::{Map, Value};
use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::PathBuf,
};

/// Lines read between progress messages.
const PROGRESS_INTERVAL_LINES: u64 = 1_000_000;
/// Keys of a log line that are printed at the front of the output line or omitted.
const PREFIX_KEYS: [&str; 6] = ["ts_ms", "level", "msg", "router", "incarnation", "request"];

/// Arguments of `explain`.
#[derive(clap::Args, Clone, Debug)]
pub struct Explain {
    /// Request ID that the caller sent
    pub request: Box<str>,
    /// Log files of routers; `-` reads standard input
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
}

/// A parsed log line.
struct Line {
    at: u64,
    fields: Map<String, Value>,
}

/// Prints all log lines about a request in order of time, with the health changes that routers
/// logged for the targets that it was sent to.
pub(super) fn run(explain: &Explain, output: &mut Output<'_>) -> Result<Exit, Failure> {
    let mut lines = Vec::new();
    let mut health_changes = Vec::new();
    let mut unreadable = 0;
    for path in &explain.files {
        let name = path.display().to_string();
        let reader: Box<dyn BufRead> = if name == "-" {
            Box::new(BufReader::new(io::stdin()))
        } else {
            let file = File::open(path).map_err(|cause| Failure::Log {
                file: name.as_str().into(),
                cause,
            })?;
            Box::new(BufReader::new(file))
        };
        let mut count = 0_u64;
        for line in reader.lines() {
            count += 1;
            if count.is_multiple_of(PROGRESS_INTERVAL_LINES) {
                output.progress(format_args!("{name}: {count} lines read"));
            }
            match parse(&line?) {
                Some(line) if string_field(&line, "request") == explain.request.as_ref() => {
                    lines.push(line);
                }
                Some(line) if string_field(&line, "msg") == "target believed" => {
                    health_changes.push(line)
                }
                Some(_) => {}
                None => unreadable += 1,
            }
        }
    }
    if unreadable > 0 {
        output.progress(format_args!(
            "{unreadable} lines skipped: not JSON log lines"
        ));
    }
    if lines.is_empty() {
        output.progress(format_args!(
            "no log line has request {}; check the ID and the files",
            explain.request
        ));
        return Ok(Exit::NotFound);
    }
    // Keep earlier health changes of the targets too: they influenced which target was chosen.
    let targets: Vec<String> = lines
        .iter()
        .map(|l| string_field(l, "target").to_owned())
        .collect();
    let end = lines.iter().map(|line| line.at).max().unwrap_or_default();
    health_changes.retain(|line| {
        line.at <= end
            && targets
                .iter()
                .any(|target| target == string_field(line, "target"))
    });
    lines.extend(health_changes);
    lines.sort_by_key(|line| line.at);
    let start = lines.first().map_or(0, |line| line.at);
    for line in &lines {
        output.print(&line.fields, |out| {
            let after = line.at - start;
            let (router, msg) = (string_field(line, "router"), string_field(line, "msg"));
            write!(out, "{after:>8} ms  {router}  {msg}")?;
            for (name, value) in &line.fields {
                if !PREFIX_KEYS.contains(&name.as_str()) {
                    write!(out, " {name}={value}")?;
                }
            }
            writeln!(out)
        })?;
    }
    Ok(Exit::Done)
}

/// Parses a log line; skips text that a log collector put in front of the JSON object.
fn parse(line: &str) -> Option<Line> {
    let json = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let at = fields.get("ts_ms")?.as_u64()?;
    Some(Line { at, fields })
}

fn string_field<'l>(line: &'l Line, name: &str) -> &'l str {
    let value = line.fields.get(name).and_then(Value::as_str);
    value.unwrap_or_default()
}
