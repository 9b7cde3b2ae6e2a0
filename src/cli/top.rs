//! `marlrun top`.

use super::{Connection, Exit, Failure, arguments, output::Output, table::Table};
use crate::{
    clock, id, operator,
    unit::{Cost, Span, Time, Weight},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::IsTerminal as _,
    net::SocketAddr,
    thread,
};

/// Escape sequence that moves the cursor to the top left and clears the terminal.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// Service and workspace of an entry.
type Key = (id::Service, id::Workspace);

/// Row of the table.
#[derive(serde::Serialize)]
struct Line {
    workspace: id::Workspace,
    service: id::Service,
    weight: Weight,
    /// Cost served per second since the previous table, `None` in the first one.
    rate: Option<f64>,
    served: Cost,
    waiting: u32,
    running: u32,
    /// Cost per unit of weight by which the workspace lags behind the backlogged workspace of the
    /// service with the highest level; `None` if it has no backlog.
    gap: Option<u64>,
}

/// One table as JSON.
#[derive(serde::Serialize)]
struct Report {
    lines: Vec<Line>,
    /// Routers whose usage could not be fetched; the rows do not include it.
    unreachable: Vec<SocketAddr>,
}

/// Usage fetched from all routers at one time.
#[derive(Default)]
struct Sample {
    at: Time,
    entries: BTreeMap<Key, Entry>,
    unreachable: Vec<SocketAddr>,
}

/// Usage of one service by a workspace, summed over the routers.
struct Entry {
    weight: Weight,
    served: BTreeMap<SocketAddr, Cost>,
    level: u64,
    waiting: u32,
    running: u32,
}

/// Prints tables until the requested number is reached.
pub(super) fn run(
    arguments: &arguments::Top,
    connection: &Connection,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let clients = connection.routers()?;
    let clear = !output.json && arguments.count != 1 && std::io::stdout().is_terminal();
    let mut previous = None;
    let mut printed = 0;
    loop {
        let sample = Sample::take(&clients, output)?;
        let report = sample.report(previous.as_ref(), arguments.limit);
        output.print(&report, |out| {
            if clear {
                write!(out, "{CLEAR_SCREEN}")?;
            }
            report.table().print(out)
        })?;
        printed += 1;
        if printed == arguments.count {
            return Ok(Exit::Done);
        }
        previous = Some(sample);
        thread::sleep(arguments.interval.into());
    }
}

impl Sample {
    /// Queries all routers; fails only if every query fails.
    fn take(clients: &[operator::Client], output: &mut Output<'_>) -> Result<Self, Failure> {
        let mut sample = Self {
            at: clock::now(),
            ..Self::default()
        };
        for client in clients {
            match client.workspaces() {
                Ok(workspaces) => sample.add(client.address(), workspaces),
                Err(error) if sample.unreachable.len() + 1 == clients.len() => {
                    return Err(error.into());
                }
                Err(error) => {
                    output.progress(format_args!("{error}"));
                    sample.unreachable.push(client.address());
                }
            }
        }
        Ok(sample)
    }

    fn add(&mut self, router: SocketAddr, workspaces: Vec<operator::Workspace>) {
        for usage in workspaces {
            let key = (usage.service, usage.workspace);
            let entry = self.entries.entry(key).or_insert_with(|| Entry {
                weight: usage.weight,
                served: BTreeMap::new(),
                level: 0,
                waiting: 0,
                running: 0,
            });
            entry.served.insert(router, usage.served);
            entry.level = entry.level.max(usage.level);
            entry.waiting += usage.waiting;
            entry.running += usage.running;
        }
    }

    fn report(&self, previous: Option<&Sample>, limit: usize) -> Report {
        let services: BTreeSet<_> = self.entries.keys().map(|(service, _)| service).collect();
        let highest = |service: &id::Service| {
            let of_service = self.entries.iter().filter(|((s, _), _)| s == service);
            let backlogged = of_service.filter(|(_, entry)| entry.waiting > 0);
            backlogged.map(|(_, entry)| entry.level).max()
        };
        let highest: BTreeMap<_, _> = services.into_iter().map(|s| (s, highest(s))).collect();
        let lines = self.entries.iter().map(|(key, entry)| {
            let (service, workspace) = key;
            let highest_level = highest[service].filter(|_| entry.waiting > 0);
            Line {
                workspace: workspace.clone(),
                service: service.clone(),
                weight: entry.weight,
                rate: previous.map(|previous| self.rate(key, entry, previous)),
                served: entry.served.values().copied().sum(),
                waiting: entry.waiting,
                running: entry.running,
                gap: highest_level.map(|highest_level| (highest_level - entry.level) / 1_000),
            }
        });
        let mut lines: Vec<_> = lines.collect();
        lines.sort_by_key(|line| std::cmp::Reverse((line.gap, line.waiting, line.running)));
        lines.truncate(limit);
        Report {
            lines,
            unreachable: self.unreachable.clone(),
        }
    }

    /// Returns the cost served per second since an earlier sample. If a router's counter went down, the router has
    /// restarted and its whole count is new.
    fn rate(&self, key: &Key, entry: &Entry, previous: &Sample) -> f64 {
        let earlier = previous.entries.get(key);
        let since = |router: &SocketAddr, served: Cost| {
            let before = earlier.and_then(|earlier| earlier.served.get(router));
            let before = before.copied().filter(|before| *before <= served);
            served.saturating_sub(before.unwrap_or_default())
        };
        let served = entry
            .served
            .iter()
            .map(|(router, served)| since(router, *served));
        let served: Cost = served.sum();
        let seconds = self.at.since(previous.at).max(Span(1)).as_secs_f64();
        served.0 as f64 / seconds
    }
}

impl Report {
    fn table(&self) -> Table {
        let mut table = Table::new(&[
            "WORKSPACE",
            "SERVICE",
            "WEIGHT",
            "SERVED/S",
            "SERVED",
            "WAITING",
            "RUNNING",
            "GAP",
        ]);
        for line in &self.lines {
            let rate = line
                .rate
                .map_or_else(|| "-".to_owned(), |rate| format!("{rate:.1}"));
            let gap = line
                .gap
                .map_or_else(|| "-".to_owned(), |gap| gap.to_string());
            table.row(vec![
                line.workspace.to_string(),
                line.service.to_string(),
                line.weight.to_string(),
                rate,
                line.served.to_string(),
                line.waiting.to_string(),
                line.running.to_string(),
                gap,
            ]);
        }
        table
    }
}
