//! Report as a table for people.

use super::{
    Gap, Latency,
    report::{Run, Service, Target, Workspace},
};
use std::fmt;

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let route = match self.routers.len() {
            0 => String::from("straight to the targets"),
            1 => String::from("through 1 router"),
            count => format!("through {count} routers"),
        };
        writeln!(
            f,
            "{} s {route}, seed {}, {} s of them warmup",
            self.duration_secs, self.seed, self.warmup_secs
        )?;
        write_counts(f, self)?;
        writeln!(f)?;
        writeln!(
            f,
            "times in ms        count      p50      p95      p99      max"
        )?;
        write_latency(f, "first byte", &self.first_byte)?;
        write_latency(f, "between tokens", &self.between)?;
        write_latency(f, "token transit", &self.transit)?;
        write_latency(f, "quick wait", &self.quick_wait)?;
        self.services
            .iter()
            .try_for_each(|service| write_service(f, self, service))?;
        write_workspaces(f, &self.workspaces)?;
        write_targets(f, &self.targets)
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, report: &Run) -> fmt::Result {
    let counts = &report.counts;
    writeln!(
        f,
        "requests: {} sent, {} answered, {} refused ({} without Retry-After), {} unknown, \
         {} broken, {} unreachable, {} rejected, {} unfinished",
        counts.sent,
        counts.answered,
        counts.refused,
        counts.refused_without_retry_after,
        counts.unknown,
        counts.broken,
        counts.unreachable,
        counts.rejected,
        counts.unfinished,
    )?;
    writeln!(
        f,
        "must be 0: {} wrong answers, {} ran twice, {} refused but ran",
        counts.wrong, report.ran_twice, report.refused_but_ran
    )?;
    let mut wrong = report.wrong.iter();
    wrong.try_for_each(|wrong| writeln!(f, "  wrong: {wrong}"))
}

fn write_latency(f: &mut fmt::Formatter<'_>, name: &str, latency: &Latency) -> fmt::Result {
    writeln!(
        f,
        "{name:<15} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>8.2}",
        latency.count, latency.p50_ms, latency.p95_ms, latency.p99_ms, latency.max_ms
    )
}

fn write_service(f: &mut fmt::Formatter<'_>, report: &Run, service: &Service) -> fmt::Result {
    writeln!(f)?;
    writeln!(
        f,
        "{}: {} slots, {:.2} % held; while work waits ({:.1} s) {:.2} %, {:.1} slot-s idle",
        service.service,
        service.slots,
        service.utilisation * 100.0,
        service.backlogged_secs,
        service.utilisation_backlogged * 100.0,
        service.idle_slot_secs,
    )?;
    let mut gaps = service.gaps.iter().filter(|gap| gap.windows > 0);
    gaps.try_for_each(|gap| write_gap(f, report.sample_ms, gap))
}

fn write_gap(f: &mut fmt::Formatter<'_>, sample_ms: u64, gap: &Gap) -> fmt::Result {
    let window = match gap.samples {
        0 => String::from("any window, by pair"),
        samples => format!(
            "windows of {:.1} s",
            samples as f64 * sample_ms as f64 / 1e3
        ),
    };
    writeln!(
        f,
        "  gap, {window:<20} max {:>9.1}  median {:>9.1}  ({})",
        gap.max, gap.median, gap.windows
    )
}

fn write_workspaces(f: &mut fmt::Formatter<'_>, workspaces: &[Workspace]) -> fmt::Result {
    writeln!(f)?;
    writeln!(
        f,
        "workspace            service         weight   served /weight  waits%     sent answered  \
         refused   other quick p50      p99"
    )?;
    workspaces.iter().try_for_each(|w| write_workspace(f, w))
}

fn write_workspace(f: &mut fmt::Formatter<'_>, workspace: &Workspace) -> fmt::Result {
    let weight = workspace.weight.get();
    let counts = &workspace.counts;
    let other = counts.sent - counts.answered - counts.refused;
    for (service, served) in &workspace.served {
        let backlogged = workspace.backlogged.get(service).copied().unwrap_or(0.0);
        writeln!(
            f,
            "{:<20} {:<15} {weight:>6} {:>8} {:>7.0} {:>7.1} {:>8} {:>8} {:>8} {:>7} {:>9.1} {:>8.1}",
            workspace.workspace.as_str(),
            service.as_str(),
            served.0,
            served.0 as f64 / f64::from(weight),
            backlogged * 100.0,
            workspace.counts.sent,
            workspace.counts.answered,
            workspace.counts.refused,
            other,
            workspace.quick_wait.p50_ms,
            workspace.quick_wait.p99_ms,
        )?;
    }
    Ok(())
}

fn write_targets(f: &mut fmt::Formatter<'_>, targets: &[Target]) -> fmt::Result {
    if targets.is_empty() {
        return Ok(());
    }
    writeln!(f)?;
    writeln!(
        f,
        "target                service          slots   held%  queued s  started cancelled   tokens"
    )?;
    for target in targets {
        writeln!(
            f,
            "{:<21} {:<15} {:>6} {:>7.2} {:>9.1} {:>8} {:>9} {:>8}",
            target.address.to_string(),
            target.service.as_str(),
            target.slots,
            target.utilisation * 100.0,
            target.queued_secs,
            target.started,
            target.cancelled,
            target.tokens,
        )?;
    }
    Ok(())
}
