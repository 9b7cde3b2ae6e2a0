//! Checks of the entries of a configuration.

use super::{
    Context, Field, Fields, Key, Level,
    Level::{Contradiction, Error, NeverMatches},
    Plan, Report, Route, Service, Workspace,
};
use crate::{config, config::Digest, id, memory::Pool, routing::Limits, unit::Span};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
};

/// Unknown names for which a similar known one is looked for; each search compares all known names.
const MAX_SUGGESTIONS: usize = 10;

/// Regions of a route or a workspace that is restricted, in order and without duplicates.
type Regions = BTreeSet<id::Region>;

/// Checks the entries of a configuration and reports what is found.
///
/// For files of thousands of routes and workspaces, as generated ones have: each check looks at each entry a
/// bounded number of times, through maps by name. Only different lists of allowed regions are compared with each
/// other, of which a fleet has few.
pub fn check(plan: &Plan, context: &Context, report: &Report<'_>) {
    check_services(plan, context, report);
    check_workspaces(plan, context, report);
    check_routes(plan, context, report);
    check_prefixes(plan, report);
    check_allowed_regions(plan, report);
    check_limits(plan, context, report);
    check_evacuations(context, report);
}

fn check_services(plan: &Plan, context: &Context, report: &Report<'_>) {
    let names = plan.services.iter().map(|s| (s.name.as_str(), &s.fields));
    check_names("service", names, report);
    let mut used = HashSet::new();
    for route in report.visit(&plan.routes) {
        let splits = report.visit(&route.route.splits);
        used.extend(splits.map(|split| &split.service));
    }
    for service in report.visit(&plan.services) {
        let name = &service.name;
        let (is_used, reason) = match &plan.served {
            Some(served) => (served.contains(name), "has no target"),
            None => (used.contains(name), "is in no route"),
        };
        if !is_used {
            let offset = service.fields.offset(Field::Name);
            report.add(NeverMatches, offset, format!("service {name} {reason}"));
        }
        check_warm_up(service, report);
        check_engine(service, context, report);
    }
}

fn check_warm_up(service: &Service, report: &Report<'_>) {
    let Service { name, fields, .. } = service;
    let (has, lacks) = match (fields.has(Field::ColdTime), fields.has(Field::ColdRate)) {
        (true, false) => (Field::ColdTime, "a warm-up time but no rate"),
        (false, true) => (Field::ColdRate, "a warm-up rate but no time"),
        _ => return,
    };
    let message = format!("service {name} has {lacks}, so that its targets are never cold");
    report.add(Contradiction, fields.offset(has), message);
}

fn check_engine(service: &Service, context: &Context, report: &Report<'_>) {
    let Service { name, fields, .. } = service;
    let Some(engine) = &service.engine else {
        return;
    };
    if engine.slots == 0 {
        let message = format!("an engine of service {name} has 0 slots, so that it runs nothing");
        report.add(Contradiction, fields.offset(Field::Slots), message);
    }
    // Without a size, any prompt has a token.
    let prompt = context.prompt_tokens.unwrap_or(1);
    let memory = engine.memory_tokens;
    if memory < prompt {
        let message = format!(
            "an engine of service {name} has memory for {memory} tokens, less than a prompt of {prompt}"
        );
        report.add(Contradiction, fields.offset(Field::Memory), message);
    }
}

fn check_workspaces(plan: &Plan, context: &Context, report: &Report<'_>) {
    let names = plan.workspaces.iter();
    let names = names.map(|workspace| (workspace.name.as_str(), &workspace.fields));
    check_names("workspace", names, report);
    check_keys(&plan.workspaces, report);
    for workspace in report.visit(&plan.workspaces) {
        let Workspace { name, fields, .. } = workspace;
        if plan.requires_key && workspace.keys.is_empty() {
            let message = format!("workspace {name} has no key, and requests need one");
            report.add(NeverMatches, fields.offset(Field::Name), message);
        }
        let regions = workspace.allowed_regions.as_deref();
        check_regions("workspace", name, fields, regions, context, report);
    }
}

/// Reports keys that occur more than once; the last one counts.
fn check_keys(workspaces: &[Workspace], report: &Report<'_>) {
    let mut owners = HashMap::<Digest, (&id::Workspace, &Key)>::new();
    for workspace in report.visit(workspaces) {
        for key in report.visit(&workspace.keys) {
            let Some((other, earlier)) = owners.insert(key.digest, (&workspace.name, key)) else {
                continue;
            };
            let (name, place) = (&workspace.name, report.place(key.offset));
            let message = if other == name {
                format!("workspace {name} has the key again at {place}")
            } else {
                format!(
                    "the key of workspace {other} belongs to workspace {name}, too; that at {place} counts"
                )
            };
            report.add(NeverMatches, earlier.offset, message);
        }
    }
}

/// Reports names that occur more than once.
fn check_names<'p>(
    kind: &str,
    names: impl Iterator<Item = (&'p str, &'p Fields)>,
    report: &Report<'_>,
) {
    let mut known = HashMap::new();
    for (name, fields) in report.visit(names) {
        let offset = fields.offset(Field::Name);
        if let Some(first) = known.get(name) {
            let place = report.place(*first);
            let message = format!("{kind} {name} already is at {place}");
            report.add(Error, offset, message);
        } else {
            known.insert(name, offset);
        }
    }
}

fn check_routes(plan: &Plan, context: &Context, report: &Report<'_>) {
    let services = report.visit(&plan.services);
    let known: HashSet<_> = services.map(|service| service.name.as_str()).collect();
    let mut unknown = 0;
    for entry in report.visit(&plan.routes) {
        let Route { route, fields, .. } = entry;
        let at_splits = || route.splits.iter().zip(&entry.splits);
        for (split, offset) in report.visit(at_splits()) {
            if known.contains(split.service.as_str()) {
                continue;
            }
            unknown += 1;
            let hint = if unknown <= MAX_SUGGESTIONS {
                config::suggestion(split.service.as_str(), report.visit(known.iter().copied()))
            } else {
                String::new()
            };
            let message = format!(
                "route {} has the unknown service {}{hint}",
                route.name, split.service
            );
            report.add(Error, *offset, message);
        }
        check_splits(entry, report);
        check_times(entry, report);
        if route.max_attempts > 1 && !route.kind.is_repeatable() {
            let message = format!(
                "route {} has {} attempts, but its requests must not run again: a further attempt follows \
                 only if no target has run the request",
                route.name, route.max_attempts
            );
            report.add(Contradiction, fields.offset(Field::Attempts), message);
        }
        let regions = route.allowed_regions.as_deref();
        check_regions("route", &route.name, fields, regions, context, report);
    }
}

fn check_splits(entry: &Route, report: &Report<'_>) {
    let Route { route, fields, .. } = entry;
    let name = &route.name;
    if fields.has(Field::Service) {
        let message = format!("route {name} is split, so that this service is not used");
        report.add(NeverMatches, fields.offset(Field::Service), message);
    }
    let Some(first) = route.splits.first() else {
        report.add(Error, fields.entry, format!("route {name} has no service"));
        return;
    };
    let has_weight = report.visit(&route.splits).any(|split| split.weight > 0);
    if !has_weight {
        let message = format!(
            "all weights of route {name} are 0: each of its requests goes to service {}",
            first.service
        );
        let offset = entry.splits.first().copied();
        report.add(NeverMatches, offset.unwrap_or(fields.entry), message);
        return;
    }
    for (split, offset) in report.visit(route.splits.iter().zip(&entry.splits)) {
        let service = &split.service;
        if split.weight == 0 {
            let message = format!("service {service} has the weight 0 in route {name}");
            report.add(NeverMatches, *offset, message);
        }
        if split.weight == u32::MAX {
            let message = format!(
                "the weight of service {service} in route {name} is above the largest that is told apart"
            );
            report.add(Contradiction, *offset, message);
        }
    }
}

fn check_times(entry: &Route, report: &Report<'_>) {
    let Route { route, fields, .. } = entry;
    let (name, timeout) = (&route.name, route.timeout);
    if timeout == Span(0) {
        let message = format!("route {name} has a timeout of 0, in which no response arrives");
        report.add(Contradiction, fields.offset(Field::Timeout), message);
    } else if route.slo > timeout {
        let message = format!(
            "the latency objective of route {name}, {}, is above its timeout of {timeout}",
            route.slo
        );
        report.add(Contradiction, fields.offset(Field::Objective), message);
    }
}

/// Reports allowed regions in which there is no failure domain.
fn check_regions(
    kind: &str,
    name: &dyn fmt::Display,
    fields: &Fields,
    regions: Option<&[id::Region]>,
    context: &Context,
    report: &Report<'_>,
) {
    let Some(regions) = regions else {
        return;
    };
    let offset = fields.offset(Field::Regions);
    if regions.is_empty() {
        let message =
            format!("{kind} {name} allows no region, so that no target may run its requests");
        report.add(NeverMatches, offset, message);
    }
    let Some(known) = &context.regions else {
        return;
    };
    // A fleet has few failure domains.
    let is_known = |region: &id::Region| report.visit(known.values()).any(|known| known == region);
    for region in report.visit(regions).filter(|region| !is_known(region)) {
        let message =
            format!("{kind} {name} allows region {region}, which no failure domain is in");
        report.add(NeverMatches, offset, message);
    }
}

/// Reports routes that no request can reach, whatever its path.
///
/// The longest prefix wins, so that a longer or shorter prefix of the same host never hides a route.
fn check_prefixes(plan: &Plan, report: &Report<'_>) {
    let mut last = HashMap::new();
    for entry in report.visit(&plan.routes) {
        let host = entry.route.host.to_ascii_lowercase();
        let Some(earlier) = last.insert((host, &entry.route.prefix), entry) else {
            continue;
        };
        let message = format!(
            "route {} has the host and prefix of route {} at {}, which replaces it",
            earlier.route.name,
            entry.route.name,
            report.place(entry.fields.entry)
        );
        report.add(NeverMatches, earlier.fields.offset(Field::Prefix), message);
    }
    for Route { route, fields, .. } in report.visit(&plan.routes) {
        let (name, host, prefix) = (&route.name, &route.host, &route.prefix);
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let message =
                format!("route {name}: the prefix {prefix:?} must begin and end with a slash");
            report.add(NeverMatches, fields.offset(Field::Prefix), message);
        } else if !prefix
            .bytes()
            .all(|b| b.is_ascii_graphic() && !b"?#".contains(&b))
        {
            let message = format!("route {name}: no path of a request has the prefix {prefix:?}");
            report.add(NeverMatches, fields.offset(Field::Prefix), message);
        }
        // The port of a request is removed before its host is looked up.
        let has_port = host.contains(':') && !host.ends_with(']');
        if has_port || !host.bytes().all(|b| b.is_ascii_graphic()) {
            let message = format!("route {name}: no request is looked up under the host {host:?}");
            report.add(NeverMatches, fields.offset(Field::Host), message);
        }
    }
}

/// Reports routes and workspaces whose allowed regions have nothing in common, once for each two different lists.
fn check_allowed_regions(plan: &Plan, report: &Report<'_>) {
    let routes = report.visit(&plan.routes).filter_map(|entry| {
        let regions = entry.route.allowed_regions.as_deref()?;
        Some((set(regions)?, entry))
    });
    let routes = group(routes);
    let workspaces = report.visit(&plan.workspaces).filter_map(|workspace| {
        let regions = workspace.allowed_regions.as_deref()?;
        Some((set(regions)?, workspace))
    });
    let workspaces = group(workspaces);
    for (regions, (entry, count)) in report.visit(&routes) {
        for (others, (workspace, of_workspaces)) in report.visit(&workspaces) {
            if !regions.is_disjoint(others) {
                continue;
            }
            let message = format!(
                "route {}{} and workspace {}{} allow no common region: {} and {}",
                entry.route.name,
                further(*count),
                workspace.name,
                further(*of_workspaces),
                list(regions),
                list(others)
            );
            report.add(NeverMatches, entry.fields.offset(Field::Regions), message);
        }
    }
}

/// Returns the regions as a set; `None` if there are none, which is a finding of its own.
fn set(regions: &[id::Region]) -> Option<Regions> {
    (!regions.is_empty()).then(|| regions.iter().cloned().collect())
}

/// Returns the first entry of each set of regions and the number of entries.
fn group<'p, T>(
    entries: impl Iterator<Item = (Regions, &'p T)>,
) -> BTreeMap<Regions, (&'p T, usize)> {
    let mut groups = BTreeMap::new();
    for (regions, entry) in entries {
        let (_, count) = groups.entry(regions).or_insert((entry, 0));
        *count += 1;
    }
    groups
}

fn list(regions: &Regions) -> String {
    let names: Vec<_> = regions.iter().map(id::Region::as_str).collect();
    names.join(", ")
}

/// Returns how many more there are than the one that is named.
fn further(count: usize) -> String {
    match count {
        0 | 1 => String::new(),
        count => format!(" (and {} more)", count - 1),
    }
}

fn check_limits(plan: &Plan, context: &Context, report: &Report<'_>) {
    let Some((limits, fields)) = &plan.limits else {
        return;
    };
    if let Some(memory) = context.memory_bytes {
        check_body(limits, fields, memory, report);
    }
    let idle = limits.idle_timeout;
    let timeouts = report
        .visit(&plan.routes)
        .map(|entry| (entry.route.timeout, entry));
    check_idle(idle, fields, "timeout", Field::Timeout, timeouts, report);
    let pauses = report.visit(&plan.routes).filter_map(|entry| {
        let pause = entry
            .route
            .max_pause
            .filter(|_| entry.route.kind.is_stream());
        Some((pause?, entry))
    });
    check_idle(idle, fields, "longest pause", Field::Pause, pauses, report);
}

fn check_body(limits: &Limits, fields: &Fields, memory: u64, report: &Report<'_>) {
    let room = Pool::settings(Some(memory), limits.head_bytes).large_bytes();
    let body = limits.body_bytes;
    if body as u64 > room {
        let message = format!(
            "the body limit of {body} bytes is above the {room} bytes that a router with {memory} bytes of memory \
             has for large requests"
        );
        report.add(Contradiction, fields.offset(Field::Body), message);
    }
}

/// Reports an idle timeout below a time of a route, with the route of which it is largest.
fn check_idle<'p>(
    idle: Span,
    fields: &Fields,
    what: &str,
    field: Field,
    times: impl Iterator<Item = (Span, &'p Route)>,
    report: &Report<'_>,
) {
    let mut longest: Option<(Span, &Route)> = None;
    let mut count = 0;
    for (time, entry) in times.filter(|(time, _)| *time > idle) {
        count += 1;
        if longest.is_none_or(|(other, _)| time > other) {
            longest = Some((time, entry));
        }
    }
    let Some((time, entry)) = longest else {
        return;
    };
    // Without a limit of its own, the default applies, and the route is what can be changed.
    let (offset, default) = if fields.has(Field::Idle) {
        (fields.offset(Field::Idle), "")
    } else {
        (entry.fields.offset(field), "default ")
    };
    let message = format!(
        "the {default}idle timeout of {idle} is below the {what} of route {}{}, {time}",
        entry.route.name,
        further(count)
    );
    report.add(Contradiction, offset, message);
}

fn check_evacuations(context: &Context, report: &Report<'_>) {
    for domain in report.visit(&context.evacuated) {
        let lacks = |domains: &Option<BTreeSet<id::Domain>>| {
            domains
                .as_ref()
                .is_some_and(|known| !known.contains(domain))
        };
        let reason = if lacks(&context.domains) {
            "is unknown"
        } else if lacks(&context.target_domains) {
            "has no target"
        } else {
            continue;
        };
        let message = format!("the evacuated failure domain {domain} {reason}");
        report.add_outside(Level::NeverMatches, &format!("evacuate/{domain}"), message);
    }
}
