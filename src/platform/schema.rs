//! Names and types of the members of the operators' configuration, for findings with their position.

use super::{
    configuration::{MAX_COLD_PER_S, MAX_COLD_S},
    json::Node,
};
use crate::{
    id,
    lint::{Level, Report},
};
use std::collections::HashMap;

/// Type of a member.
#[derive(Clone, Copy)]
pub(super) enum Type {
    Any,
    Text,
    /// Kind of a route.
    Kind,
    Service,
    Workspace,
    Flag,
    /// Number from 0 to a maximum.
    Number(f64),
    /// Whole number from 0 to a maximum.
    Whole(u64),
    Texts,
    Regions,
    Object,
    Array,
}

/// Whether a member may be absent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Need {
    Required,
    /// May be absent, but not null.
    Default,
    /// May be absent or null.
    Optional,
}

/// Members of an object.
pub(super) type Members = [(&'static str, Need, Type)];

use Need::{Default, Optional, Required};

const U32: Type = Type::Whole(u32::MAX as u64);
const U64: Type = Type::Whole(u64::MAX);
const NUMBER: Type = Type::Number(f64::MAX);

/// Members of the configuration.
pub(super) const CONFIGURATION: &Members = &[
    ("version", Required, U64),
    ("routes", Default, Type::Array),
    ("services", Default, Type::Array),
    ("limits", Default, Type::Object),
    ("tenants", Optional, Type::Array),
];

/// Members of a route.
pub(super) const ROUTE: &Members = &[
    ("name", Default, Type::Text),
    ("host", Required, Type::Text),
    ("prefix", Required, Type::Text),
    ("kind", Required, Type::Kind),
    ("timeout-ms", Required, NUMBER),
    ("slo-ms", Optional, NUMBER),
    ("priority", Default, U32),
    ("service", Optional, Type::Service),
    ("backends", Default, Type::Array),
    ("attempts", Default, U32),
    ("no-auth", Default, Type::Flag),
    ("resumable", Default, Type::Flag),
    ("allowed-regions", Optional, Type::Regions),
    ("gap-aim-ms", Optional, NUMBER),
];

/// Members of a service of a route that is split.
pub(super) const SPLIT: &Members = &[
    ("service", Required, Type::Service),
    ("weight", Required, NUMBER),
];

/// Members of a service.
pub(super) const SERVICE: &Members = &[
    ("name", Required, Type::Service),
    ("max-conns", Optional, U32),
    ("engine", Optional, Type::Object),
    ("health-path", Optional, Type::Text),
    ("cold-s", Default, Type::Number(MAX_COLD_S)),
    ("cold-per-s", Default, Type::Number(MAX_COLD_PER_S)),
];

/// Members of the engine of a service.
pub(super) const ENGINE: &Members = &[
    ("slots", Required, U32),
    ("kv-tokens", Required, U64),
    ("token-kv-bytes", Default, NUMBER),
    ("link-mbps", Default, NUMBER),
    ("most", Default, U32),
    ("models", Optional, Type::Any),
];

/// Members of the limits.
pub(super) const LIMITS: &Members = &[
    ("max-header-bytes", Optional, U64),
    ("max-body-bytes", Optional, U64),
    ("header-timeout-ms", Optional, NUMBER),
    ("idle-timeout-ms", Optional, NUMBER),
    ("tokens-per-s", Optional, NUMBER),
];

/// Members of a workspace.
pub(super) const WORKSPACE: &Members = &[
    ("name", Required, Type::Workspace),
    ("api-keys", Default, Type::Texts),
    ("priority", Optional, U32),
    ("allowed-regions", Optional, Type::Regions),
];

/// Maximum length of a value in a message.
const MAX_SHOWN_CHARS: usize = 40;

/// Returns the members of an object by name, without those that are absent or null; reports members that are
/// missing, that occur twice and that are of another type. Others are ignored, so that the platform can add some.
pub(super) fn read<'t>(
    node: Node<'t>,
    what: &str,
    schema: &Members,
    report: &Report<'_>,
) -> HashMap<&'static str, Node<'t>> {
    let mut read = HashMap::new();
    let Some(members) = node.members() else {
        let message = format!("{what} must be an object, not {}", shown(node));
        report.add(Level::Error, node.offset, message);
        return read;
    };
    let known: HashMap<&str, _> = schema.iter().map(|entry| (entry.0, entry)).collect();
    for (name, value) in report.visit(members) {
        let Some((name, need, expected)) = known.get(&*name).copied() else {
            continue;
        };
        if read.insert(*name, value).is_some() {
            let message = format!("{what}: {name} occurs twice");
            report.add(Level::Error, value.offset, message);
        }
        if value.text != "null" || *need != Optional {
            expected.check(value, &format!("{what}: {name}"), report);
        }
    }
    for (name, need, _) in schema {
        if *need == Required && !read.contains_key(name) {
            report.add(
                Level::Error,
                node.offset,
                format!("{what}: {name} is missing"),
            );
        }
    }
    read.retain(|_, value| value.text != "null");
    read
}

impl Type {
    /// Reports a value that is not of the type.
    fn check(self, value: Node<'_>, what: &str, report: &Report<'_>) {
        let expected = match self {
            Type::Any => return,
            Type::Text => value.get::<Box<str>>().is_none().then(|| "a string".into()),
            Type::Kind => {
                let kind = value.get::<Box<str>>();
                let is_known = kind.is_some_and(|k| matches!(&*k, "safe" | "unsafe" | "stream"));
                (!is_known).then(|| r#""safe", "unsafe" or "stream""#.into())
            }
            Type::Service => return check_name::<id::Service>(value, what, report),
            Type::Workspace => return check_name::<id::Workspace>(value, what, report),
            Type::Flag => value
                .get::<bool>()
                .is_none()
                .then(|| "true or false".into()),
            Type::Number(max) => {
                let number = value.get::<f64>();
                let fits = number.is_some_and(|number| (0.0..=max).contains(&number));
                (!fits).then(|| match max {
                    f64::MAX => "a number from 0".into(),
                    max => format!("a number from 0 to {max}"),
                })
            }
            Type::Whole(max) => {
                let fits = value.get::<u64>().is_some_and(|number| number <= max);
                (!fits).then(|| format!("a whole number from 0 to {max}"))
            }
            Type::Texts | Type::Regions => return self.check_items(value, what, report),
            Type::Object => value.members().is_none().then(|| "an object".into()),
            Type::Array => value.items().is_none().then(|| "an array".into()),
        };
        if let Some(expected) = expected {
            let message = format!("{what} must be {expected}, not {}", shown(value));
            report.add(Level::Error, value.offset, message);
        }
    }

    fn check_items(self, value: Node<'_>, what: &str, report: &Report<'_>) {
        let Some(items) = value.items() else {
            let message = format!("{what} must be an array of strings");
            return report.add(Level::Error, value.offset, message);
        };
        for item in report.visit(items) {
            if let Type::Regions = self {
                check_name::<id::Region>(item, what, report);
            } else if item.get::<Box<str>>().is_none() {
                // The value may be a key, which no finding repeats.
                let message = format!("{what} must be an array of strings");
                report.add(Level::Error, item.offset, message);
            }
        }
    }
}

fn check_name<T>(value: Node<'_>, what: &str, report: &Report<'_>)
where
    T: std::str::FromStr<Err = id::Invalid>,
{
    match value.get::<Box<str>>().map(|name| name.parse::<T>()) {
        Some(Ok(_)) => {}
        Some(Err(cause)) => report.add(Level::Error, value.offset, format!("{what}: {cause}")),
        None => {
            let message = format!("{what} must be a string, not {}", shown(value));
            report.add(Level::Error, value.offset, message);
        }
    }
}

/// Returns the text of a value for a message.
fn shown(value: Node<'_>) -> String {
    match value.text.as_bytes().first() {
        Some(b'{') => "an object".into(),
        Some(b'[') => "an array".into(),
        _ => value.text.chars().take(MAX_SHOWN_CHARS).collect(),
    }
}
