//! Encoding of summaries: packed Cap'n Proto, decoded with limits on every size.

use super::{Build, Evidence, Finding, Limit, Load, Origin, Pause, Prefill, Scope, Summary, Usage};
use crate::{
    id,
    unit::{Rate, Span, Version},
    wire::marlrun_capnp::{
        self, FindingKind, part_finding, service_build, summary, target_limit, target_load,
        target_pause, workspace_usage,
    },
};
use capnp::{message, serialize_packed};

/// Maximum size of a datagram, below the MTU of Ethernet so that it is not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of words that the decoder visits; packing saves up to seven of eight bytes.
const MAX_WORDS: usize = 8 * MAX_DATAGRAM_BYTES;
/// Maximum depth of nesting; leaves room for additions to the schema.
const MAX_NESTING: i32 = 8;

/// Maximum values of a summary, far above those of the largest fleet, so that sums over many routers don't
/// overflow.
const MAX_ROUTERS: u64 = 1 << 16;
const MAX_AGE_MICROS: u64 = 3_600_000_000;
const MAX_PERMILLE: u16 = 1_000;
const MAX_DEMAND: u32 = 1 << 20;
const MAX_RUNNING: u64 = 1 << 20;
const MAX_TARGET_TOKENS: u64 = 1 << 40;
const MAX_USAGE_TOKENS: u64 = 1 << 48;

/// Error for bytes that are not a summary.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes do not match the schema.
    #[error("malformed summary: {0}")]
    Malformed(#[from] capnp::Error),
    /// A text is not UTF-8.
    #[error("malformed summary: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A scope or a kind of finding is not in the schema.
    #[error("malformed summary: {0}")]
    Scope(#[from] capnp::NotInSchema),
    /// A number is too large.
    #[error("malformed summary: {field} is {value}, the maximum is {max}")]
    TooLarge {
        /// Name of the field.
        field: &'static str,
        /// Number in the summary.
        value: u64,
        /// Maximum number.
        max: u64,
    },
    /// The router's name is not a valid identifier.
    #[error(transparent)]
    Name(#[from] id::Invalid),
}

/// Encodes a summary.
pub fn encode(from: &Summary) -> Vec<u8> {
    let mut builder = message::Builder::new_default();
    write(builder.init_root(), from);
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail.
    let written = serialize_packed::write_message(&mut bytes, &builder);
    debug_assert!(written.is_ok(), "writing to a vector cannot fail");
    bytes
}

fn write(mut to: summary::Builder<'_>, from: &Summary) {
    to.set_router(from.router.as_str());
    to.set_incarnation(from.incarnation.0);
    to.set_sequence(from.sequence);
    to.set_version(from.version.0);
    to.set_leaving(from.leaving);
    to.set_scope(match from.scope {
        Scope::Group => marlrun_capnp::Scope::Group,
        Scope::Follower => marlrun_capnp::Scope::Follower,
        Scope::Rest => marlrun_capnp::Scope::Rest,
        Scope::Probe => marlrun_capnp::Scope::Probe,
        Scope::Alive => marlrun_capnp::Scope::Alive,
    });
    to.set_routers(from.router_count);
    to.set_age_micros(from.age.0);
    to.set_crowded_permille(from.crowded_permille.unwrap_or(u16::MAX));
    let mut loads = to.reborrow().init_loads(from.loads.len() as u32);
    for (index, load) in from.loads.iter().enumerate() {
        let mut to = loads.reborrow().get(index as u32);
        to.set_target(load.target);
        to.set_running(load.running);
        to.set_backlog(load.backlog);
        to.set_memory(load.memory);
        to.set_suspect(load.suspect);
    }
    let mut usages = to.reborrow().init_usages(from.usages.len() as u32);
    for (index, usage) in from.usages.iter().enumerate() {
        let mut to = usages.reborrow().get(index as u32);
        to.set_workspace(usage.workspace);
        to.set_asked(usage.requested);
        to.set_granted(usage.granted);
    }
    let groups: Vec<&[Origin]> = from.origins.chunk_by(is_same_group).collect();
    let mut origins = to.reborrow().init_origins(groups.len() as u32);
    for (index, group) in groups.iter().enumerate() {
        let mut to = origins.reborrow().get(index as u32);
        to.set_service(group[0].service);
        to.set_build(group[0].build);
        to.set_repeated(group[0].repeated);
        let mut streams = to.init_streams(group.len() as u32);
        for (index, origin) in group.iter().enumerate() {
            streams.set(index as u32, origin.stream.0);
        }
    }
    let mut findings = to.reborrow().init_findings(from.findings.len() as u32);
    for (index, finding) in from.findings.iter().enumerate() {
        write_finding(findings.reborrow().get(index as u32), finding);
    }
    to.set_demand(from.demand.min(MAX_DEMAND));
    let mut limits = to.reborrow().init_limits(from.limits.len() as u32);
    for (index, limit) in from.limits.iter().enumerate() {
        write_limit(limits.reborrow().get(index as u32), limit);
    }
    let mut builds = to.reborrow().init_builds(from.builds.len() as u32);
    for (index, build) in from.builds.iter().enumerate() {
        let mut to = builds.reborrow().get(index as u32);
        to.set_service(build.service);
        to.set_build(build.build);
    }
    let mut pauses = to.reborrow().init_pauses(from.pauses.len() as u32);
    for (index, pause) in from.pauses.iter().enumerate() {
        let mut to = pauses.reborrow().get(index as u32);
        to.set_target(pause.target);
        to.set_remaining_millis(whole_millis(pause.remaining));
    }
    let mut prefills = to.init_reads(from.prefills.len() as u32);
    for (index, prefill) in from.prefills.iter().enumerate() {
        let mut to = prefills.reborrow().get(index as u32);
        to.set_target(complement_if(prefill.evicted, prefill.target));
        to.set_part(prefill.part);
        to.set_tokens(prefill.tokens);
        to.set_prefilled(prefill.prefilled);
        to.set_evicted(prefill.evicted);
    }
}

/// Returns the complement of a target's key in an eviction. Earlier releases, which would take the item for a part that
/// was sent there, know no target with that key and skip it.
fn complement_if(evicted: bool, target: u64) -> u64 {
    if evicted { !target } else { target }
}

fn write_finding(mut to: part_finding::Builder<'_>, finding: &Finding) {
    to.set_part(finding.part);
    to.set_age_millis(whole_millis(finding.age));
    match finding.evidence {
        Evidence::Crash {
            target,
            software,
            lasted,
        } => {
            to.set_kind(FindingKind::Crash);
            to.set_subject(target);
            to.set_software(software);
            to.set_lasted_millis(whole_millis(lasted));
        }
        Evidence::Pass { software } => {
            to.set_kind(FindingKind::Pass);
            to.set_software(software);
        }
        Evidence::Trial { router, number } => {
            to.set_kind(FindingKind::Trial);
            to.set_subject(router);
            to.set_number(number);
        }
    }
}

fn write_limit(mut to: target_limit::Builder<'_>, limit: &Limit) {
    to.set_target(limit.target);
    to.set_ended(limit.limit.is_none());
    to.set_milli_per_s(limit.limit.map_or(0, Rate::as_millis));
    to.set_sent_age_millis(whole_millis(limit.sent_age));
    to.set_age_millis(whole_millis(limit.age));
    to.set_part_milli_per_s(limit.quota.as_millis());
    to.set_slots(limit.slots);
}

fn read_build(from: service_build::Reader<'_>) -> Build {
    Build {
        service: from.get_service(),
        build: from.get_build(),
    }
}

fn read_pause(from: target_pause::Reader<'_>) -> Pause {
    Pause {
        target: from.get_target(),
        remaining: Span::from_millis(from.get_remaining_millis().into()),
    }
}

fn read_limit(from: target_limit::Reader<'_>) -> Limit {
    let millis = |millis: u32| Span::from_millis(millis.into());
    Limit {
        target: from.get_target(),
        limit: (!from.get_ended()).then(|| Rate::from_millis(from.get_milli_per_s())),
        sent_age: millis(from.get_sent_age_millis()),
        age: millis(from.get_age_millis()),
        quota: Rate::from_millis(from.get_part_milli_per_s()),
        slots: from.get_slots(),
    }
}

fn whole_millis(span: Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn read_finding(from: part_finding::Reader<'_>) -> Result<Finding, Error> {
    let millis = |millis: u32| Span::from_millis(millis.into());
    let software = from.get_software();
    Ok(Finding {
        part: from.get_part(),
        age: millis(from.get_age_millis()),
        evidence: match from.get_kind()? {
            FindingKind::Crash => Evidence::Crash {
                target: from.get_subject(),
                software,
                lasted: millis(from.get_lasted_millis()),
            },
            FindingKind::Pass => Evidence::Pass { software },
            FindingKind::Trial => Evidence::Trial {
                router: from.get_subject(),
                number: from.get_number(),
            },
        },
    })
}

/// Reports whether two streams that follow each other are encoded in one group.
pub fn is_same_group(one: &Origin, other: &Origin) -> bool {
    (one.service, one.build, one.repeated) == (other.service, other.build, other.repeated)
}

/// Decodes a summary.
///
/// # Errors
///
/// Fails if the bytes are not a summary within the limits.
pub fn decode(mut bytes: &[u8]) -> Result<Summary, Error> {
    let mut options = message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS));
    options.nesting_limit(MAX_NESTING);
    let reader = serialize_packed::read_message(&mut bytes, options)?;
    let from = reader.get_root::<summary::Reader<'_>>()?;
    let usages = from.get_usages()?.iter().map(read_usage);
    let prefills = from.get_reads()?.iter().map(|prefill| Prefill {
        target: complement_if(prefill.get_evicted(), prefill.get_target()),
        part: prefill.get_part(),
        tokens: prefill.get_tokens(),
        prefilled: prefill.get_prefilled(),
        evicted: prefill.get_evicted(),
    });
    let mut origins = Vec::new();
    for group in from.get_origins()? {
        origins.extend(group.get_streams()?.iter().map(|stream| Origin {
            service: group.get_service(),
            build: group.get_build(),
            repeated: group.get_repeated(),
            stream: id::Stream(stream),
        }));
    }
    Ok(Summary {
        router: from.get_router()?.to_str()?.parse()?,
        incarnation: id::Incarnation(from.get_incarnation()),
        sequence: from.get_sequence(),
        version: Version(from.get_version()),
        leaving: from.get_leaving(),
        scope: match from.get_scope()? {
            marlrun_capnp::Scope::Group => Scope::Group,
            marlrun_capnp::Scope::Follower => Scope::Follower,
            marlrun_capnp::Scope::Rest => Scope::Rest,
            marlrun_capnp::Scope::Probe => Scope::Probe,
            marlrun_capnp::Scope::Alive => Scope::Alive,
        },
        router_count: limit("routers", from.get_routers().into(), MAX_ROUTERS)? as u32,
        age: Span(limit("age", from.get_age_micros(), MAX_AGE_MICROS)?),
        crowded_permille: Some(from.get_crowded_permille())
            .filter(|permille| *permille <= MAX_PERMILLE),
        demand: limit("demand", from.get_demand().into(), MAX_DEMAND.into())? as u32,
        limits: from.get_limits()?.iter().map(read_limit).collect(),
        builds: from.get_builds()?.iter().map(read_build).collect(),
        pauses: from.get_pauses()?.iter().map(read_pause).collect(),
        loads: from
            .get_loads()?
            .iter()
            .map(read_load)
            .collect::<Result<_, _>>()?,
        usages: usages.collect::<Result<_, _>>()?,
        prefills: prefills.collect(),
        origins,
        findings: from
            .get_findings()?
            .iter()
            .map(read_finding)
            .collect::<Result<_, _>>()?,
    })
}

fn read_load(load: target_load::Reader<'_>) -> Result<Load, Error> {
    Ok(Load {
        target: load.get_target(),
        running: limit("running", load.get_running().into(), MAX_RUNNING)? as u32,
        backlog: limit("backlog", load.get_backlog(), MAX_TARGET_TOKENS)?,
        memory: limit("memory", load.get_memory(), MAX_TARGET_TOKENS)?,
        suspect: load.get_suspect(),
    })
}

fn read_usage(usage: workspace_usage::Reader<'_>) -> Result<Usage, Error> {
    Ok(Usage {
        workspace: usage.get_workspace(),
        requested: limit("asked", usage.get_asked(), MAX_USAGE_TOKENS)?,
        granted: limit("granted", usage.get_granted(), MAX_USAGE_TOKENS)?,
    })
}

fn limit(field: &'static str, value: u64, max: u64) -> Result<u64, Error> {
    if value > max {
        return Err(Error::TooLarge { field, value, max });
    }
    Ok(value)
}
