//! Log records of requests and of the router's state.

use super::{cache_reader::Counts, restoration::Restoration};
use crate::{
    cache_events::Fault,
    dispatch::{
        Allocation, Amount, Entry, Estimate, Limited, Loss, Outcome, Part, Refusal, Standing,
        Warming,
    },
    id,
    unit::{Rate, Span, Version},
};

/// Maximum number of parts of a prompt in a log line; usual prompts have three.
const MAX_LOGGED_PARTS: usize = 16;

/// A log record about a request, or about a change of the router's state.
pub(super) enum Record<'a> {
    /// A request was sent to a target.
    Sent {
        request: &'a str,
        estimate: &'a Estimate,
        earlier: u32,
        waited: Span,
    },
    /// A caller resumes a stream that it received in part.
    ResumedByCaller {
        request: &'a str,
        /// Request that began the stream; `None` if the caller names none.
        origin: Option<&'a str>,
        last_event_id: Option<&'a str>,
    },
    /// An attempt at a target failed.
    Failed {
        request: &'a str,
        target: &'a id::Target,
        outcome: Outcome,
        cause: &'a str,
        elapsed: Span,
        /// Time since the head of the response; `None` if there was none.
        since_head: Option<Span>,
        /// Parts that the prompt may share with others, if the connection ended.
        parts: &'a [Part],
    },
    /// The router refused a request, or returned the failure of its last target.
    Refused {
        request: &'a str,
        workspace: Option<&'a id::Workspace>,
        status: u16,
        reason: &'a str,
        may_have_run: bool,
        retry_after: Span,
        elapsed: Span,
        /// The dispatcher's decision; `None` if the router refused for another reason.
        refusal: Option<&'a Refusal>,
    },
    /// A target's response was received completely.
    Completed {
        request: &'a str,
        workspace: Option<&'a id::Workspace>,
        route: &'a str,
        target: &'a id::Target,
        status: u16,
        first_byte: Span,
        /// Longest pause after the first event.
        longest_pause: Span,
        elapsed: Span,
    },
    /// A response was broken off after its start.
    Truncated {
        request: &'a str,
        cause: &'a str,
        /// Why no other target continued the response.
        not_resumed: &'a str,
        events: u64,
        /// Build that began the stream.
        build: Option<&'a id::Build>,
        /// Time since a target last sent something.
        silent: Span,
        elapsed: Span,
        /// Time left until the deadline.
        remaining: Span,
        /// Configuration in force.
        version: Version,
    },
    /// The caller disconnected before the end of its response.
    Disconnected { request: &'a str, elapsed: Span },
    /// A target was ejected because of failures, or is used again.
    TargetHealth {
        target: &'a id::Target,
        suspect: bool,
        failures: u32,
        answers: u32,
    },
    /// A target announced in the response to a request that it leaves.
    TargetLeaving {
        request: &'a str,
        target: &'a id::Target,
    },
    /// A target crashed.
    TargetCrashed {
        target: &'a id::Target,
        /// Shared parts of the prompts that it had not answered yet, or had just begun to answer.
        parts: &'a [u64],
    },
    /// Requests whose prompts have a part are held back, because targets crash under them.
    PartHeld { part: u64, crashes: usize },
    /// Requests whose prompts have a part are no longer held back.
    PartReleased { part: u64 },
    /// A request is sent although a part of its prompt is held back.
    PartTried { request: &'a str },
    /// A target refused a request and asked for a pause.
    TargetPaused {
        target: &'a id::Target,
        asked: Span,
        applied: Span,
        /// Request that it refused, if this router sent it.
        request: Option<&'a str>,
        /// Router that reported it, otherwise.
        router: Option<&'a id::Router>,
    },
    /// A target refused a request and asked for a pause whose duration can't be read.
    InvalidPause {
        request: &'a str,
        target: &'a id::Target,
        value: &'a str,
    },
    /// The limit of a target changed.
    TargetLimited {
        target: &'a id::Target,
        /// Requests per second; `None` if the target names no limit any more.
        limit: Option<Rate>,
        /// Request whose response said so, if this router read it.
        request: Option<&'a str>,
        /// Router that reported it, otherwise.
        router: Option<&'a id::Router>,
    },
    /// A response names a limit that can't be read.
    InvalidLimit {
        request: &'a str,
        target: &'a id::Target,
        value: &'a str,
    },
    /// Requests that were sent to a target with a limit since the last such record.
    LimitedTarget(&'a Limited),
    /// A configuration came into force.
    Configuration {
        version: Version,
        routes: usize,
        services: usize,
    },
    /// A configuration is invalid; the previous one stays in force.
    InvalidConfiguration { version: Version, cause: &'a str },
    /// A failure domain is evacuated from now on, or no longer.
    Evacuation {
        domain: &'a id::Domain,
        is_begun: bool,
        /// Listed targets in the domain.
        targets: usize,
    },
    /// A list that came back from a copy lacks the evacuation of a failure domain, which stays in force.
    EvacuationKept { domain: &'a id::Domain },
    /// The row of an evacuation is wrong or stale.
    EvacuationUnclear { row: &'a str, cause: &'a str },
    /// A part of the configuration in force can't be read; a safe value applies in its place.
    ConfigurationUnread { cause: &'a str },
    /// The list of targets changed.
    Targets {
        version: u64,
        live: usize,
        draining: usize,
    },
    /// A list of the platform cannot be read.
    ListLost { list: &'a str, cause: &'a str },
    /// The platform was asked whether a list is current, and did not answer.
    ListUnchecked { list: &'a str, cause: &'a str },
    /// A list of the platform can be read again.
    ListRecovered { list: &'a str, elapsed: Span },
    /// A list of the platform came back from a copy.
    ListRestored(&'a Restoration),
    /// A target has not written its entry since, unlike most others, and is not used until it does.
    TargetSetAside { target: &'a id::Target },
    /// The CPU is overloaded for the first time; from now on concurrent requests are limited.
    CpuOverload { lateness: Span, limit: u32 },
    /// What shares were computed from, when the ledger was taken.
    Shares(&'a Standing),
    /// What a workspace asked for and was granted at this router since the last such record.
    Usage {
        workspace: &'a id::Workspace,
        entry: &'a Entry,
        /// Its part in the fleet.
        allocation: &'a Allocation,
    },
    /// What a workspace lost at this router for one reason since the last such record.
    Loss {
        workspace: &'a id::Workspace,
        loss: Loss,
        amount: Amount,
    },
    /// Connections were refused before their request was read, or requests after, because the limit of
    /// requests was reached, since the last such record.
    ConnectionsRefused {
        connections: u64,
        requests: u64,
        closures: u64,
        spent: Span,
        in_progress: u32,
        limit: u32,
    },
    /// The listener was closed because refusing took too much time, and can't be opened again.
    ListenerNotOpened { cause: &'a str },
    /// The router became not ready because of overload, or recovered from it.
    Readiness { overloaded: bool, refused: u64 },
    /// Refusals that have no line of their own; the ledger has them by workspace and reason.
    RefusalsOmitted { omitted: u64 },
    /// An entry of one of the platform's lists is passed over, or used although a part of it can't be read.
    EntryRejected {
        list: &'a str,
        entry: &'a str,
        cause: &'a str,
        is_used: bool,
    },
    /// A target turned cold or warm.
    TargetWarmUp(&'a Warming),
    /// A health probe of a target that may be cold ended.
    TargetProbed {
        target: &'a id::Target,
        /// Time for which it stays cold; `None` if it didn't say.
        left: Option<Span>,
    },
    /// The time for which a target stays cold can't be read in its health response.
    InvalidWarmUp {
        target: &'a id::Target,
        value: &'a str,
    },
    /// What engines reported of their caches in the last interval.
    CacheEvents {
        /// Engines that this router reads.
        engines: usize,
        counts: &'a Counts,
        /// Engines whose last call failed.
        failing: usize,
        /// One of them, and why.
        fault: Option<(&'a id::Target, Fault)>,
    },
    /// Listed routers have fallen silent, or have been so for so long that they are probably gone.
    RoutersSilent {
        silent: &'a [id::Router],
        lost: &'a [id::Router],
    },
    /// A router that was silent is heard again.
    RouterHeard { router: &'a id::Router },
    /// Another router was listed, or removed from the list.
    Peer {
        router: &'a id::Router,
        present: bool,
    },
    /// The capacity that shares are computed from became an estimate below the configured rate, or
    /// is the configured rate again.
    Capacity {
        configured: Option<u64>,
        estimated: Option<u64>,
    },
    /// The router from which this one gets the loads of all others changed; `None` if it adds them
    /// up itself.
    Followed { router: Option<&'a id::Router> },
}

impl Record<'_> {
    /// Writes the record to the log.
    pub(super) fn write(&self, log: &slog::Logger) {
        match self {
            Record::Sent {
                request,
                estimate,
                earlier,
                waited,
            } => slog::info!(log, "sent"; "request" => request,
                "target" => estimate.target.as_str(), "build" => %estimate.build, "earlier" => earlier,
                "waited_ms" => millis(*waited), "running" => estimate.view.running,
                "backlog_tokens" => estimate.view.backlog, "memory_tokens" => estimate.view.memory,
                "unread_tokens" => estimate.uncached_tokens, "expected_ms" => millis(estimate.first_event),
                "view_age_ms" => millis(estimate.view_age),
                "copied_tokens" => estimate.copied_tokens,
                "source" => estimate.source.as_ref().map(|source| source.target.as_str()),
                "source_tokens" => estimate.source.as_ref().map(|source| source.tokens)),
            Record::ResumedByCaller {
                request,
                origin,
                last_event_id,
            } => slog::info!(log, "resumed by caller"; "request" => request, "origin" => origin,
                "after_event" => last_event_id),
            Record::Failed {
                request,
                target,
                outcome,
                cause,
                elapsed,
                since_head,
                parts,
            } => slog::warn!(log, "run ended"; "request" => request, "target" => target.as_str(),
                "end" => %outcome, "cause" => cause, "after_ms" => millis(*elapsed),
                "since_head_ms" => since_head.map(millis), "parts" => hexadecimal(parts.iter().map(|part| part.id))),
            Record::Refused {
                request,
                workspace,
                status,
                reason,
                may_have_run,
                retry_after,
                elapsed,
                refusal,
            } => slog::warn!(log, "refused"; "request" => request,
                "workspace" => workspace.map_or("-", |w| w.as_str()), "status" => status,
                "reason" => reason, "may_have_run" => may_have_run,
                "retry_after_ms" => millis(*retry_after), "after_ms" => millis(*elapsed),
                "share_tokens" => refusal.and_then(|refusal| refusal.allocation.share),
                "granted_tokens" => refusal.map(|refusal| refusal.allocation.granted),
                "view_age_ms" => refusal.map(|refusal| millis(refusal.view_age))),
            Record::Completed {
                request,
                workspace,
                route,
                target,
                status,
                first_byte,
                longest_pause,
                elapsed,
            } => slog::info!(log, "answered"; "request" => request,
                "workspace" => workspace.map_or("-", |w| w.as_str()), "route" => route,
                "target" => target.as_str(), "status" => status, "first_ms" => millis(*first_byte),
                "longest_pause_ms" => millis(*longest_pause), "after_ms" => millis(*elapsed)),
            Record::Truncated {
                request,
                cause,
                not_resumed,
                events,
                build,
                silent,
                elapsed,
                remaining,
                version,
            } => slog::warn!(log, "answer cut"; "request" => request, "cause" => cause,
                "not_resumed" => not_resumed, "events" => events,
                "build" => build.map(id::Build::to_string), "silent_ms" => millis(*silent),
                "after_ms" => millis(*elapsed), "left_ms" => millis(*remaining),
                "version" => version.0),
            Record::Disconnected { request, elapsed } => {
                slog::warn!(log, "caller left"; "request" => request, "after_ms" => millis(*elapsed));
            }
            Record::TargetHealth {
                target,
                suspect,
                failures,
                answers,
            } => slog::warn!(log, "target believed"; "target" => target.as_str(),
                "suspect" => suspect, "failures" => failures, "answers" => answers),
            Record::TargetLeaving { request, target } => {
                slog::info!(log, "target leaving"; "request" => request, "target" => target.as_str());
            }
            Record::TargetCrashed { target, parts } => slog::warn!(log, "target crashed";
                "target" => target.as_str(), "suspected" => parts.len(),
                "parts" => hexadecimal(parts.iter().copied())),
            Record::PartHeld { part, crashes } => slog::warn!(log, "prompt part held back";
                "part" => format!("{part:x}"), "crashes" => crashes),
            Record::PartReleased { part } => slog::warn!(log, "prompt part released";
                "part" => format!("{part:x}")),
            Record::PartTried { request } => slog::warn!(log, "prompt part tried";
                "request" => request),
            Record::TargetPaused {
                target,
                asked,
                applied,
                request,
                router,
            } => slog::warn!(log, "target paused"; "target" => target.as_str(),
                "asked_ms" => millis(*asked), "applied_ms" => millis(*applied),
                "request" => request, "peer" => router.map(id::Router::as_str)),
            Record::InvalidPause {
                request,
                target,
                value,
            } => slog::warn!(log, "target pause unreadable"; "request" => request,
                "target" => target.as_str(), "value" => value),
            Record::TargetLimited {
                target,
                limit,
                request,
                router,
            } => slog::warn!(log, "target limited"; "target" => target.as_str(),
                "limit_per_s" => limit.map(Rate::per_s), "request" => request,
                "peer" => router.map(id::Router::as_str)),
            Record::InvalidLimit {
                request,
                target,
                value,
            } => slog::warn!(log, "target limit unreadable"; "request" => request,
                "target" => target.as_str(), "value" => value),
            Record::LimitedTarget(limited) => slog::info!(log, "limited target";
                "target" => limited.target.as_str(), "limit_per_s" => limited.limit.per_s(),
                "part_per_s" => limited.quota.per_s(), "sent" => limited.sent),
            Record::Configuration {
                version,
                routes,
                services,
            } => slog::info!(log, "configuration in force"; "version" => version.0,
                "routes" => routes, "services" => services),
            Record::InvalidConfiguration { version, cause } => {
                slog::error!(log, "configuration unusable"; "in_force" => version.0, "cause" => cause);
            }
            Record::Evacuation {
                domain,
                is_begun: true,
                targets,
            } => slog::warn!(log, "failure domain evacuated"; "domain" => domain.as_str(),
                "targets" => targets),
            Record::Evacuation {
                domain,
                is_begun: false,
                targets,
            } => slog::info!(log, "failure domain in use again"; "domain" => domain.as_str(),
                "targets" => targets),
            Record::EvacuationKept { domain } => {
                slog::warn!(log, "evacuation missing from restored store";
                "domain" => domain.as_str())
            }
            Record::EvacuationUnclear { row, cause } => slog::warn!(log, "evacuation unclear";
                "row" => row, "cause" => cause),
            Record::ConfigurationUnread { cause } => {
                slog::error!(log, "configuration partly unusable"; "cause" => cause);
            }
            Record::Targets {
                version,
                live,
                draining,
            } => slog::info!(log, "targets changed"; "list_version" => version, "live" => live,
                "leaving" => draining),
            Record::ListLost { list, cause } => {
                slog::warn!(log, "dependency lost"; "list" => list, "cause" => cause);
            }
            Record::ListUnchecked { list, cause } => {
                slog::warn!(log, "list not checked"; "list" => list, "cause" => cause);
            }
            Record::ListRecovered { list, elapsed } => {
                slog::info!(log, "dependency regained"; "list" => list, "after_ms" => millis(*elapsed));
            }
            Record::ListRestored(restoration) => slog::warn!(log, "store restored";
                "list" => restoration.list, "era_before" => restoration.before.era.0,
                "era" => restoration.after.era.0, "version_before" => restoration.before.version,
                "version" => restoration.after.version, "missing" => restoration.missing,
                "set_aside" => restoration.set_aside,
                "written_again" => restoration.written_again),
            Record::TargetSetAside { target } => {
                slog::warn!(log, "target set aside"; "target" => target.as_str(),
                    "cause" => "its entry was not written since the store was restored");
            }
            Record::CpuOverload { lateness, limit } => {
                slog::warn!(log, "processor busy"; "late_ms" => millis(*lateness), "limit" => limit);
            }
            Record::ConnectionsRefused {
                connections,
                requests,
                closures,
                spent,
                in_progress,
                limit,
            } => slog::warn!(log, "connections refused unread"; "connections" => connections,
                "requests" => requests, "closures" => closures, "spent_ms" => millis(*spent),
                "carried" => in_progress, "limit" => limit),
            Record::ListenerNotOpened { cause } => {
                slog::error!(log, "listener not opened again"; "cause" => cause);
            }
            Record::Shares(standing) => slog::info!(log, "shares";
                "capacity_tokens_per_s" => standing.capacity, "share_tokens" => standing.share,
                "least_granted_tokens" => standing.least_granted, "pressure" => standing.pressure,
                "view_age_ms" => millis(standing.view_age), "routers" => standing.routers),
            Record::Usage {
                workspace,
                entry,
                allocation,
            } => slog::info!(log, "workspace usage"; "workspace" => workspace.as_str(),
                "asked" => entry.asked.requests, "asked_tokens" => entry.asked.tokens,
                "sent" => entry.sent.requests, "sent_tokens" => entry.sent.tokens,
                "begun" => entry.begun.requests, "begun_tokens" => entry.begun.tokens,
                "share_tokens" => allocation.share, "requested_tokens" => allocation.requested,
                "granted_tokens" => allocation.granted),
            Record::Loss {
                workspace,
                loss,
                amount,
            } => slog::info!(log, "workspace loss"; "workspace" => workspace.as_str(),
                "reason" => %loss, "requests" => amount.requests, "tokens" => amount.tokens),
            Record::Readiness {
                overloaded,
                refused,
            } => {
                slog::warn!(log, "readiness"; "crowded" => overloaded, "refused" => refused);
            }
            Record::RefusalsOmitted { omitted } => {
                slog::warn!(log, "refusals not logged one by one"; "requests" => omitted);
            }
            Record::Capacity {
                configured,
                estimated,
            } => slog::info!(log, "capacity"; "configured_tokens_per_s" => configured,
                "estimated_tokens_per_s" => estimated),
            Record::Followed { router } => slog::info!(log, "loads received from";
                "peer" => router.map(id::Router::as_str)),
            Record::EntryRejected {
                list,
                entry,
                cause,
                is_used: false,
            } => {
                slog::warn!(log, "list entry rejected"; "list" => list, "entry" => entry, "cause" => cause);
            }
            Record::EntryRejected {
                list,
                entry,
                cause,
                is_used: true,
            } => slog::warn!(log, "warm-up time unreadable"; "list" => list, "entry" => entry,
                "cause" => cause),
            Record::TargetWarmUp(Warming {
                target,
                cold: Some((cause, left)),
            }) => slog::info!(log, "target cold"; "target" => target.as_str(), "cause" => %cause,
                "left_ms" => left.as_millis()),
            Record::TargetWarmUp(Warming { target, cold: None }) => {
                slog::info!(log, "target warm"; "target" => target.as_str());
            }
            Record::TargetProbed { target, left } => slog::info!(log, "target probed";
                "target" => target.as_str(), "left_ms" => left.map(Span::as_millis)),
            Record::InvalidWarmUp { target, value } => slog::warn!(log, "warm-up time unreadable";
                "target" => target.as_str(), "value" => value),
            Record::CacheEvents {
                engines,
                counts,
                failing,
                fault,
            } => slog::info!(log, "cache events"; "engines" => engines, "calls" => counts.calls,
                "failed" => counts.failed, "gaps" => counts.gaps,
                "confirmed" => counts.applied.confirmed, "evicted" => counts.applied.evicted,
                "late" => counts.applied.late, "wrongly_cached" => counts.applied.wrongly_cached,
                "wrongly_evicted" => counts.applied.wrongly_evicted, "failing" => failing,
                "target" => fault.map(|(target, _)| target.as_str()),
                "cause" => fault.map(|(_, fault)| fault.to_string())),
            Record::RoutersSilent { silent, lost } => {
                let first = silent.first().or(lost.first());
                slog::warn!(log, "routers silent"; "silent" => silent.len(), "lost" => lost.len(),
                    "peer" => first.map(id::Router::as_str));
            }
            Record::RouterHeard { router } => {
                slog::info!(log, "router heard again"; "peer" => router.as_str());
            }
            Record::Peer { router, present } => {
                slog::info!(log, "router listed"; "peer" => router.as_str(), "present" => present);
            }
        }
    }
}

/// Returns the identifiers of parts as callers write them, separated by commas; `None` for no parts.
fn hexadecimal(parts: impl Iterator<Item = u64>) -> Option<String> {
    let parts = parts.take(MAX_LOGGED_PARTS);
    let names: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
    (!names.is_empty()).then(|| names.join(","))
}

fn millis(span: Span) -> f64 {
    span.0 as f64 / 1e3
}
