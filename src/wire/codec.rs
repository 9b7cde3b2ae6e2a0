//! Encoding of messages and heartbeats: packed Cap'n Proto, decoded with limits on every size.

use super::{
    Ask, Class, Contact, Echo, Heartbeat, Level, Load, Message, Origin, Outcome, Reason, Refusal,
    Report, State, Usage, marlrun_capnp as schema,
};
use crate::{
    id,
    unit::{Cost, Span, Version},
};
use capnp::{message, serialize_packed, struct_list, text, traits::OwnedStruct};
use std::{
    net::{IpAddr, SocketAddr},
    str,
};

/// Maximum size of an encoded batch; a complete configuration with 49,000 workspaces fits.
pub const MAX_BATCH_BYTES: usize = 16 << 20;
/// Maximum number of messages in a batch.
pub const MAX_BATCH_MESSAGES: usize = 1 << 16;
/// Maximum size of an encoded heartbeat, below the MTU of Ethernet so that the datagram is not
/// fragmented.
pub const MAX_HEARTBEAT_BYTES: usize = 1_400;
/// Maximum number of items in each list of a message.
pub const MAX_ITEMS: usize = 1 << 16;
/// Maximum length of an idempotency key.
pub const MAX_KEY_BYTES: usize = 1 << 10;

/// Maximum number of words that the decoder of a batch visits; packing saves up to half of a
/// typical batch.
const MAX_BATCH_WORDS: usize = 2 * MAX_BATCH_BYTES / 8;
/// Maximum number of words that the decoder of a heartbeat visits; packing saves up to seven of
/// eight bytes.
const MAX_HEARTBEAT_WORDS: usize = 8 * MAX_HEARTBEAT_BYTES / 8;
/// Maximum depth of nesting; leaves room for additions to the schema.
const MAX_NESTING: i32 = 16;
/// Size of the port in an encoded address.
const PORT_BYTES: usize = 2;

/// Error of encoding or decoding.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A part exceeds its limit.
    #[error("size of {part} is {size}, the maximum is {limit}")]
    TooLarge {
        /// Name of the part.
        part: &'static str,
        /// Size in bytes or items.
        size: usize,
        /// Maximum in bytes or items.
        limit: usize,
    },
    /// The bytes do not match the schema.
    #[error("malformed message: {0}")]
    Malformed(Box<str>),
    /// An enumerant or union member is not in this version of the schema.
    #[error("unknown enumerant or union member {0}")]
    Unknown(u16),
    /// A name is not a valid identifier.
    #[error(transparent)]
    Name(#[from] id::Invalid),
    /// An address is not an IPv4 or IPv6 address with a port.
    #[error("address has {0} bytes instead of 6 or 18")]
    Address(usize),
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Error::Malformed(error.to_string().into())
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(error: capnp::NotInSchema) -> Self {
        Error::Unknown(error.0)
    }
}

impl From<str::Utf8Error> for Error {
    fn from(error: str::Utf8Error) -> Self {
        Error::Malformed(error.to_string().into())
    }
}

/// Encodes a batch of messages, in order.
///
/// # Errors
///
/// Fails if the batch exceeds a limit.
pub fn encode_batch(messages: &[Message]) -> Result<Vec<u8>, Error> {
    check("batch", messages.len(), MAX_BATCH_MESSAGES)?;
    let mut builder = message::Builder::new_default();
    let batch = builder.init_root::<schema::batch::Builder<'_>>();
    let mut list = batch.init_messages(messages.len() as u32);
    for (i, message) in messages.iter().enumerate() {
        write_message(list.reborrow().get(i as u32), message);
    }
    pack("batch", &builder, MAX_BATCH_BYTES)
}

/// Decodes a batch of messages.
///
/// # Errors
///
/// Fails if the bytes are not a batch within the limits.
pub fn decode_batch(bytes: &[u8]) -> Result<Vec<Message>, Error> {
    check("batch", bytes.len(), MAX_BATCH_BYTES)?;
    let reader = serialize_packed::read_message(&mut &*bytes, options(MAX_BATCH_WORDS))?;
    let batch = reader.get_root::<schema::batch::Reader<'_>>()?;
    let list = batch.get_messages()?;
    check("batch", list.len() as usize, MAX_BATCH_MESSAGES)?;
    list.iter().map(read_message).collect()
}

/// Encodes a heartbeat.
///
/// # Errors
///
/// Fails if the heartbeat exceeds [`MAX_HEARTBEAT_BYTES`].
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Result<Vec<u8>, Error> {
    let mut builder = message::Builder::new_default();
    write_heartbeat(builder.init_root(), heartbeat);
    pack("heartbeat", &builder, MAX_HEARTBEAT_BYTES)
}

/// Decodes a heartbeat.
///
/// # Errors
///
/// Fails if the bytes are not a heartbeat within the limits.
pub fn decode_heartbeat(bytes: &[u8]) -> Result<Heartbeat, Error> {
    check("heartbeat", bytes.len(), MAX_HEARTBEAT_BYTES)?;
    let reader = serialize_packed::read_message(&mut &*bytes, options(MAX_HEARTBEAT_WORDS))?;
    read_heartbeat(reader.get_root()?)
}

fn options(words: usize) -> message::ReaderOptions {
    let mut options = message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(words));
    options.nesting_limit(MAX_NESTING);
    options
}

fn check(part: &'static str, size: usize, limit: usize) -> Result<(), Error> {
    if size > limit {
        return Err(Error::TooLarge { part, size, limit });
    }
    Ok(())
}

fn pack<A: message::Allocator>(
    part: &'static str,
    builder: &message::Builder<A>,
    limit: usize,
) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, builder)?;
    check(part, bytes.len(), limit)?;
    Ok(bytes)
}

/// Decodes an identifier.
pub(crate) fn name<T: str::FromStr<Err = id::Invalid>>(
    text: Result<text::Reader<'_>, capnp::Error>,
) -> Result<T, Error> {
    let text = text?;
    check("name", text.len(), id::MAX_NAME_BYTES)?;
    Ok(text.to_str()?.parse()?)
}

/// Decodes the items of a list of at most [`MAX_ITEMS`].
fn items<'a, S, T>(
    part: &'static str,
    list: Result<struct_list::Reader<'a, S>, capnp::Error>,
    read: impl Fn(S::Reader<'a>) -> Result<T, Error>,
) -> Result<Vec<T>, Error>
where
    S: OwnedStruct,
{
    let list = list?;
    check(part, list.len() as usize, MAX_ITEMS)?;
    list.iter().map(read).collect()
}

fn write_attempt(mut to: schema::attempt::Builder<'_>, attempt: &id::Attempt) {
    to.set_incarnation(attempt.incarnation.0);
    to.set_sequence(attempt.sequence);
}

fn read_attempt(
    from: Result<schema::attempt::Reader<'_>, capnp::Error>,
) -> Result<id::Attempt, Error> {
    let from = from?;
    Ok(id::Attempt {
        incarnation: id::Incarnation(from.get_incarnation()),
        sequence: from.get_sequence(),
    })
}

fn write_ask(mut to: schema::ask::Builder<'_>, ask: &Ask) {
    write_attempt(to.reborrow().init_attempt(), &ask.attempt);
    to.set_workspace(ask.workspace.as_str());
    to.set_service(ask.service.as_str());
    to.set_target(ask.target.as_str());
    to.set_class(class_code(ask.class));
    to.set_estimate(ask.estimate.0);
    to.set_waited(ask.waited.0);
    to.set_remaining(ask.remaining.0);
    to.set_hops(ask.hops);
}

fn read_ask(from: Result<schema::ask::Reader<'_>, capnp::Error>) -> Result<Ask, Error> {
    let from = from?;
    Ok(Ask {
        attempt: read_attempt(from.get_attempt())?,
        workspace: name(from.get_workspace())?,
        service: name(from.get_service())?,
        target: name(from.get_target())?,
        class: class(from.get_class()?),
        estimate: Cost(from.get_estimate()),
        waited: Span(from.get_waited()),
        remaining: Span(from.get_remaining()),
        hops: from.get_hops(),
    })
}

fn class_code(class: Class) -> schema::Class {
    match class {
        Class::Quick => schema::Class::Quick,
        Class::Long => schema::Class::Long,
    }
}

fn class(code: schema::Class) -> Class {
    match code {
        schema::Class::Quick => Class::Quick,
        schema::Class::Long => Class::Long,
    }
}

fn outcome_code(outcome: Outcome) -> schema::Outcome {
    match outcome {
        Outcome::Answered => schema::Outcome::Answered,
        Outcome::NotRun => schema::Outcome::NotRun,
        Outcome::Unreachable => schema::Outcome::Unreachable,
        Outcome::Broken => schema::Outcome::Broken,
        Outcome::Cancelled => schema::Outcome::Cancelled,
    }
}

fn outcome(code: schema::Outcome) -> Outcome {
    match code {
        schema::Outcome::Answered => Outcome::Answered,
        schema::Outcome::NotRun => Outcome::NotRun,
        schema::Outcome::Unreachable => Outcome::Unreachable,
        schema::Outcome::Broken => Outcome::Broken,
        schema::Outcome::Cancelled => Outcome::Cancelled,
    }
}

fn reason_code(reason: Reason) -> schema::Reason {
    match reason {
        Reason::WorkspaceFull => schema::Reason::WorkspaceFull,
        Reason::QueueFull => schema::Reason::QueueFull,
        Reason::Deadline => schema::Reason::Deadline,
        Reason::NoTarget => schema::Reason::NoTarget,
        Reason::Draining => schema::Reason::Draining,
        Reason::NotOwner => schema::Reason::NotOwner,
    }
}

fn reason(code: schema::Reason) -> Reason {
    match code {
        schema::Reason::WorkspaceFull => Reason::WorkspaceFull,
        schema::Reason::QueueFull => Reason::QueueFull,
        schema::Reason::Deadline => Reason::Deadline,
        schema::Reason::NoTarget => Reason::NoTarget,
        schema::Reason::Draining => Reason::Draining,
        schema::Reason::NotOwner => Reason::NotOwner,
    }
}

type FloorList<'a> = struct_list::Builder<'a, schema::floor::Owned>;

fn write_floors(mut to: FloorList<'_>, floors: &[(id::Service, u64)]) {
    for (i, (service, level)) in floors.iter().enumerate() {
        let mut floor = to.reborrow().get(i as u32);
        floor.set_service(service.as_str());
        floor.set_level(*level);
    }
}

fn read_floor(from: schema::floor::Reader<'_>) -> Result<(id::Service, u64), Error> {
    Ok((name(from.get_service())?, from.get_level()))
}

fn write_usage(mut to: schema::usage::Builder<'_>, usage: &Usage) {
    to.set_workspace(usage.workspace.as_str());
    to.set_service(usage.service.as_str());
    to.set_served(usage.served.0);
    to.set_known(usage.known);
    to.set_included(usage.included.0);
    to.set_waiting(usage.waiting);
    to.set_running(usage.running);
}

fn read_usage(from: schema::usage::Reader<'_>) -> Result<Usage, Error> {
    Ok(Usage {
        workspace: name(from.get_workspace())?,
        service: name(from.get_service())?,
        served: Cost(from.get_served()),
        known: from.get_known(),
        included: Cost(from.get_included()),
        waiting: from.get_waiting(),
        running: from.get_running(),
    })
}

fn write_report(mut to: schema::report::Builder<'_>, report: &Report) {
    to.set_incarnation(report.incarnation.0);
    to.set_sequence(report.sequence);
    let mut usage = to.reborrow().init_usage(report.usage.len() as u32);
    for (i, item) in report.usage.iter().enumerate() {
        write_usage(usage.reborrow().get(i as u32), item);
    }
    let floors = to.init_floors(report.floors.len() as u32);
    write_floors(floors, &report.floors);
}

fn read_report(from: Result<schema::report::Reader<'_>, capnp::Error>) -> Result<Report, Error> {
    let from = from?;
    Ok(Report {
        incarnation: id::Incarnation(from.get_incarnation()),
        sequence: from.get_sequence(),
        usage: items("report", from.get_usage(), read_usage)?,
        floors: items("floors", from.get_floors(), read_floor)?,
    })
}

fn write_level(mut to: schema::level::Builder<'_>, level: &Level) {
    to.set_workspace(level.workspace.as_str());
    to.set_service(level.service.as_str());
    to.set_level(level.level);
    to.set_included(level.included.0);
}

fn read_level(from: schema::level::Reader<'_>) -> Result<Level, Error> {
    Ok(Level {
        workspace: name(from.get_workspace())?,
        service: name(from.get_service())?,
        level: from.get_level(),
        included: Cost(from.get_included()),
    })
}

fn write_charges(
    mut to: struct_list::Builder<'_, schema::charge::Owned>,
    charges: &[(id::Attempt, Cost)],
) {
    for (i, (attempt, cost)) in charges.iter().enumerate() {
        let mut charge = to.reborrow().get(i as u32);
        charge.set_cost(cost.0);
        write_attempt(charge.init_attempt(), attempt);
    }
}

fn read_charge(from: schema::charge::Reader<'_>) -> Result<(id::Attempt, Cost), Error> {
    Ok((read_attempt(from.get_attempt())?, Cost(from.get_cost())))
}

fn write_message(mut to: schema::message::Builder<'_>, message: &Message) {
    match message {
        Message::Ask(ask) => write_ask(to.init_ask(), ask),
        Message::Withdraw { attempt } => write_attempt(to.init_withdraw(), attempt),
        Message::Grant { attempt, target } => {
            let mut grant = to.init_grant();
            grant.set_target(target.as_str());
            write_attempt(grant.init_attempt(), attempt);
        }
        Message::Refuse { attempt, refusal } => {
            let mut refuse = to.init_refuse();
            refuse.set_reason(reason_code(refusal.reason));
            refuse.set_retry_after(refusal.retry_after.0);
            write_attempt(refuse.init_attempt(), attempt);
        }
        Message::Move { attempt, target } => {
            let mut moved = to.init_move();
            moved.set_target(target.as_str());
            write_attempt(moved.init_attempt(), attempt);
        }
        Message::Progress(charges) => {
            write_charges(to.init_progress(charges.len() as u32), charges);
        }
        Message::Done {
            attempt,
            target,
            cost,
            outcome,
        } => {
            let mut done = to.init_done();
            done.set_target(target.as_str());
            done.set_cost(cost.0);
            done.set_outcome(outcome_code(*outcome));
            write_attempt(done.init_attempt(), attempt);
        }
        Message::Held { ask, cost } => {
            let mut held = to.init_held();
            held.set_cost(cost.0);
            write_ask(held.init_ask(), ask);
        }
        Message::Pull {
            service,
            target,
            free,
        } => {
            let mut pull = to.init_pull();
            pull.set_service(service.as_str());
            pull.set_target(target.as_str());
            pull.set_free(*free);
        }
        Message::Report(report) => write_report(to.init_report(), report),
        Message::Levels(levels) => {
            let mut list = to.init_levels(levels.len() as u32);
            for (i, level) in levels.iter().enumerate() {
                write_level(list.reborrow().get(i as u32), level);
            }
        }
        Message::Resync => to.set_resync(()),
        Message::Fetch { have } => to.set_fetch(have.0),
        Message::Delta {
            from,
            to: version,
            body,
        } => {
            let mut delta = to.init_delta();
            delta.set_from(from.0);
            delta.set_to(version.0);
            delta.set_body(body);
        }
        Message::KeyClaim { attempt, key } => {
            let mut claim = to.init_key_claim();
            claim.set_key(&**key);
            write_attempt(claim.init_attempt(), attempt);
        }
        Message::KeyVerdict { attempt, granted } => {
            let mut verdict = to.init_key_verdict();
            verdict.set_granted(*granted);
            write_attempt(verdict.init_attempt(), attempt);
        }
        Message::KeyRelease { attempt, key } => {
            let mut release = to.init_key_release();
            release.set_key(&**key);
            write_attempt(release.init_attempt(), attempt);
        }
    }
}

fn read_message(from: schema::message::Reader<'_>) -> Result<Message, Error> {
    use schema::message::Which;
    Ok(match from.which()? {
        Which::Ask(ask) => Message::Ask(read_ask(ask)?),
        Which::Withdraw(attempt) => Message::Withdraw {
            attempt: read_attempt(attempt)?,
        },
        Which::Grant(grant) => Message::Grant {
            attempt: read_attempt(grant.get_attempt())?,
            target: name(grant.get_target())?,
        },
        Which::Refuse(refuse) => Message::Refuse {
            attempt: read_attempt(refuse.get_attempt())?,
            refusal: Refusal {
                reason: reason(refuse.get_reason()?),
                retry_after: Span(refuse.get_retry_after()),
            },
        },
        Which::Move(moved) => Message::Move {
            attempt: read_attempt(moved.get_attempt())?,
            target: name(moved.get_target())?,
        },
        Which::Progress(charges) => Message::Progress(items("progress", charges, read_charge)?),
        Which::Done(done) => Message::Done {
            attempt: read_attempt(done.get_attempt())?,
            target: name(done.get_target())?,
            cost: Cost(done.get_cost()),
            outcome: outcome(done.get_outcome()?),
        },
        Which::Held(held) => Message::Held {
            ask: read_ask(held.get_ask())?,
            cost: Cost(held.get_cost()),
        },
        Which::Pull(pull) => Message::Pull {
            service: name(pull.get_service())?,
            target: name(pull.get_target())?,
            free: pull.get_free(),
        },
        Which::Report(report) => Message::Report(read_report(report)?),
        Which::Levels(levels) => Message::Levels(items("levels", levels, read_level)?),
        Which::Resync(()) => Message::Resync,
        Which::Fetch(have) => Message::Fetch {
            have: Version(have),
        },
        Which::Delta(delta) => Message::Delta {
            from: Version(delta.get_from()),
            to: Version(delta.get_to()),
            body: delta.get_body()?.to_vec(),
        },
        Which::KeyClaim(claim) => Message::KeyClaim {
            attempt: read_attempt(claim.get_attempt())?,
            key: key(claim.get_key())?,
        },
        Which::KeyVerdict(verdict) => Message::KeyVerdict {
            attempt: read_attempt(verdict.get_attempt())?,
            granted: verdict.get_granted(),
        },
        Which::KeyRelease(release) => Message::KeyRelease {
            attempt: read_attempt(release.get_attempt())?,
            key: key(release.get_key())?,
        },
    })
}

fn key(text: Result<text::Reader<'_>, capnp::Error>) -> Result<Box<str>, Error> {
    let text = text?;
    check("key", text.len(), MAX_KEY_BYTES)?;
    Ok(text.to_str()?.into())
}

fn write_heartbeat(mut to: schema::heartbeat::Builder<'_>, heartbeat: &Heartbeat) {
    to.set_router(heartbeat.router.as_str());
    to.set_incarnation(heartbeat.incarnation.0);
    to.set_sequence(heartbeat.sequence);
    to.set_heard(heartbeat.heard.0);
    to.set_next(heartbeat.next.as_millis().try_into().unwrap_or(u32::MAX));
    to.set_ask(heartbeat.ask);
    to.set_leaving(heartbeat.leaving);
    to.set_version(heartbeat.version.0);
    if let Some(origin) = &heartbeat.origin {
        let mut builder = to.reborrow().init_origin();
        builder.set_domain(origin.domain.as_str());
        builder.set_address(&encode_address(origin.address));
    }
    if let Some(state) = &heartbeat.state {
        write_state(to.reborrow().init_state(), state);
    }
    let mut suspects = to.reborrow().init_suspects(heartbeat.suspects.len() as u32);
    for (i, (router, incarnation)) in heartbeat.suspects.iter().enumerate() {
        let mut run = suspects.reborrow().get(i as u32);
        run.set_router(router.as_str());
        run.set_incarnation(incarnation.0);
    }
    let mut members = to.init_members(heartbeat.members.len() as u32);
    for (i, contact) in heartbeat.members.iter().enumerate() {
        write_contact(members.reborrow().get(i as u32), contact);
    }
}

fn read_heartbeat(from: schema::heartbeat::Reader<'_>) -> Result<Heartbeat, Error> {
    let origin = match from.has_origin() {
        true => Some(read_origin(from.get_origin()?)?),
        false => None,
    };
    let state = match from.has_state() {
        true => Some(read_state(from.get_state()?)?),
        false => None,
    };
    Ok(Heartbeat {
        router: name(from.get_router())?,
        incarnation: id::Incarnation(from.get_incarnation()),
        sequence: from.get_sequence(),
        heard: Echo(from.get_heard()),
        next: Span::from_millis(from.get_next().into()),
        ask: from.get_ask(),
        leaving: from.get_leaving(),
        version: Version(from.get_version()),
        origin,
        state,
        suspects: items("suspects", from.get_suspects(), read_run)?,
        members: items("members", from.get_members(), read_contact)?,
    })
}

fn read_origin(from: schema::origin::Reader<'_>) -> Result<Origin, Error> {
    Ok(Origin {
        domain: name(from.get_domain())?,
        address: decode_address(from.get_address()?)?,
    })
}

fn write_state(mut to: schema::state::Builder<'_>, state: &State) {
    let mut loads = to.reborrow().init_loads(state.loads.len() as u32);
    for (i, load) in state.loads.iter().enumerate() {
        write_load(loads.reborrow().get(i as u32), load);
    }
    let floors = to.reborrow().init_floors(state.floors.len() as u32);
    write_floors(floors, &state.floors);
    let mut unfit = to.init_unfit(state.unfit.len() as u32);
    for (i, target) in state.unfit.iter().enumerate() {
        unfit.set(i as u32, target.as_str());
    }
}

fn read_state(from: schema::state::Reader<'_>) -> Result<State, Error> {
    let unfit = from.get_unfit()?;
    check("unfit", unfit.len() as usize, MAX_ITEMS)?;
    Ok(State {
        loads: items("loads", from.get_loads(), read_load)?,
        floors: items("floors", from.get_floors(), read_floor)?,
        unfit: unfit.iter().map(name).collect::<Result<_, _>>()?,
    })
}

fn write_contact(mut to: schema::contact::Builder<'_>, contact: &Contact) {
    to.set_router(contact.router.as_str());
    to.set_incarnation(contact.incarnation.0);
    to.set_address(&encode_address(contact.address));
}

fn read_contact(from: schema::contact::Reader<'_>) -> Result<Contact, Error> {
    Ok(Contact {
        router: name(from.get_router())?,
        incarnation: id::Incarnation(from.get_incarnation()),
        address: decode_address(from.get_address()?)?,
    })
}

fn write_load(mut to: schema::load::Builder<'_>, load: &Load) {
    to.set_target(load.target.as_str());
    to.set_free(load.free);
    to.set_slots(load.slots);
    to.set_waiting(load.waiting.0);
}

fn read_load(from: schema::load::Reader<'_>) -> Result<Load, Error> {
    Ok(Load {
        target: name(from.get_target())?,
        free: from.get_free(),
        slots: from.get_slots(),
        waiting: Cost(from.get_waiting()),
    })
}

fn read_run(from: schema::run::Reader<'_>) -> Result<(id::Router, id::Incarnation), Error> {
    let incarnation = id::Incarnation(from.get_incarnation());
    Ok((name(from.get_router())?, incarnation))
}

/// Encodes an address as the IP followed by the port, in network byte order.
pub(crate) fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Decodes an address.
pub(crate) fn decode_address(bytes: &[u8]) -> Result<SocketAddr, Error> {
    let wrong = || Error::Address(bytes.len());
    let (ip, port) = bytes.split_last_chunk::<PORT_BYTES>().ok_or_else(wrong)?;
    let ip: IpAddr = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).map_err(|_| wrong())?.into(),
        16 => <[u8; 16]>::try_from(ip).map_err(|_| wrong())?.into(),
        _ => return Err(wrong()),
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
