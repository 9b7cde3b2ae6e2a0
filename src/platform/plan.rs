//! Entries of the operators' configuration with their positions.

use super::{
    decode_configuration,
    json::Node,
    schema::{self, Members},
};
use crate::{
    config::{Digest, Reader},
    id,
    lint::{Field, Fields, Key, Level, Plan, Report, Route, Service, Workspace},
    routing::{Limits, Table},
};
use std::collections::HashMap;

type Read<'t> = HashMap<&'static str, Node<'t>>;

/// Returns the entries of a configuration with their positions; `None` if there are errors, which are reported.
///
/// Each entry is decoded as routers decode it, and the whole, too: without an error here, no router refuses the
/// configuration.
pub fn plan(text: &str, reader: &Reader<'_>, report: &Report<'_>) -> Option<Plan> {
    let root = match Node::parse(text) {
        Ok(root) => root,
        Err(error) => {
            let offset = reader.offset(error.line(), error.column());
            let message = error.to_string();
            let message = message.split(" at line ").next().unwrap_or_default();
            report.add(Level::Error, offset, message);
            return None;
        }
    };
    let members = schema::read(root, "configuration", schema::CONFIGURATION, report);
    let routes = entries(&members, "routes", "route", schema::ROUTE, report);
    let services = entries(&members, "services", "service", schema::SERVICE, report);
    let workspaces = entries(&members, "tenants", "tenant", schema::WORKSPACE, report);
    let mut splits = Vec::new();
    for (_, route) in report.visit(&routes) {
        splits.push(entries(route, "backends", "backend", schema::SPLIT, report));
    }
    for (_, service) in report.visit(&services) {
        if let Some(engine) = service.get("engine") {
            schema::read(*engine, "engine", schema::ENGINE, report);
        }
    }
    let limits = members.get("limits");
    let limits = limits.map(|node| (*node, schema::read(*node, "limits", schema::LIMITS, report)));
    if report.has_errors() {
        return None;
    }
    if let Err(findings) = decode_configuration(text.as_bytes()) {
        report.add(Level::Error, root.offset, findings);
        return None;
    }
    let routes = routes.iter().zip(&splits);
    Some(Plan {
        routes: routes
            .filter_map(|(route, splits)| read_route(route, splits))
            .collect(),
        services: services.iter().filter_map(read_service).collect(),
        workspaces: workspaces.iter().filter_map(read_workspace).collect(),
        requires_key: members.contains_key("tenants"),
        limits: read_limits(limits),
        served: None,
    })
}

/// Reads the entries of an array and reports what is wrong with each of them.
fn entries<'t>(
    members: &Read<'t>,
    name: &str,
    what: &str,
    schema: &Members,
    report: &Report<'_>,
) -> Vec<(Node<'t>, Read<'t>)> {
    let items = members.get(name).and_then(|node| node.items());
    let items = report.visit(items.into_iter().flatten()).enumerate();
    let entries = items.map(|(index, node)| {
        let what = format!("{what} {}", index + 1);
        (node, schema::read(node, &what, schema, report))
    });
    entries.collect()
}

/// Decodes a configuration that has only one member, as routers do.
fn decode_member(name: &str, text: &str) -> Option<Table> {
    let document = format!(r#"{{"version":0,"{name}":{text}}}"#);
    decode_configuration(document.as_bytes()).ok()
}

fn fields(node: Node<'_>, read: &Read<'_>, names: &[(Field, &str)]) -> Fields {
    let fields = names.iter();
    let fields = fields.filter_map(|(field, name)| Some((*field, read.get(name)?.offset)));
    Fields {
        entry: node.offset,
        fields: fields.collect(),
    }
}

fn read_route(
    (node, read): &(Node<'_>, Read<'_>),
    splits: &[(Node<'_>, Read<'_>)],
) -> Option<Route> {
    let table = decode_member("routes", &format!("[{}]", node.text))?;
    let route = table.routes().next()?.as_ref().clone();
    let mut fields = fields(
        *node,
        read,
        &[
            (Field::Name, "name"),
            (Field::Host, "host"),
            (Field::Prefix, "prefix"),
            (Field::Timeout, "timeout-ms"),
            (Field::Objective, "slo-ms"),
            (Field::Pause, "gap-aim-ms"),
            (Field::Attempts, "attempts"),
            (Field::Regions, "allowed-regions"),
            (Field::Service, "service"),
        ],
    );
    let mut splits: Vec<usize> = splits.iter().map(|(split, _)| split.offset).collect();
    if splits.is_empty() {
        // The only service of a route that is not split.
        splits.extend(fields.fields.remove(&Field::Service));
    }
    Some(Route {
        route,
        fields,
        splits,
    })
}

fn read_service((node, read): &(Node<'_>, Read<'_>)) -> Option<Service> {
    let table = decode_member("services", &format!("[{}]", node.text))?;
    let service = table.services.into_values().next()?;
    let mut fields = fields(
        *node,
        read,
        &[
            (Field::Name, "name"),
            (Field::ColdTime, "cold-s"),
            (Field::ColdRate, "cold-per-s"),
        ],
    );
    let is_zero = |name| read.get(name).and_then(|node: &Node<'_>| node.get::<f64>()) == Some(0.0);
    for (field, name) in [(Field::ColdTime, "cold-s"), (Field::ColdRate, "cold-per-s")] {
        if is_zero(name) {
            fields.fields.remove(&field);
        }
    }
    let engine = read.get("engine").and_then(|engine| engine.members());
    for (name, node) in engine.into_iter().flatten() {
        match &*name {
            "slots" => fields.fields.insert(Field::Slots, node.offset),
            "kv-tokens" => fields.fields.insert(Field::Memory, node.offset),
            _ => None,
        };
    }
    Some(Service {
        name: service.name.clone(),
        engine: service.engine,
        fields,
    })
}

fn read_workspace((node, read): &(Node<'_>, Read<'_>)) -> Option<Workspace> {
    let table = decode_member("tenants", &format!("[{}]", node.text))?;
    let name: id::Workspace = read.get("name")?.get::<Box<str>>()?.parse().ok()?;
    let keys = read.get("api-keys").and_then(|keys| keys.items());
    let keys = keys.into_iter().flatten().filter_map(|key| {
        Some(Key {
            digest: Digest::of(key.get::<Box<str>>()?.as_bytes()),
            offset: key.offset,
        })
    });
    Some(Workspace {
        keys: keys.collect(),
        allowed_regions: table.allowed_regions.get(&name).cloned(),
        fields: fields(
            *node,
            read,
            &[(Field::Name, "name"), (Field::Regions, "allowed-regions")],
        ),
        name,
    })
}

fn read_limits(limits: Option<(Node<'_>, Read<'_>)>) -> Option<(Limits, Fields)> {
    let Some((node, read)) = limits else {
        return Some((Limits::default(), Fields::default()));
    };
    let names = [
        (Field::Body, "max-body-bytes"),
        (Field::Idle, "idle-timeout-ms"),
    ];
    let table = decode_member("limits", node.text)?;
    Some((table.limits, fields(node, &read, &names)))
}
