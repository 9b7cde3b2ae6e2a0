//! Log records of requests and of the router's state.

use crate::{
    dispatch::{Estimate, Outcome, Refusal},
    id,
    unit::{Span, Version},
};

/// A log record about a request, or about a change of the router's state.
pub(super) enum Entry<'a> {
    /// A request was sent to a target.
    Sent {
        request: &'a str,
        estimate: &'a Estimate,
        earlier: u32,
        waited: Span,
    },
    /// An attempt at a target failed.
    Ended {
        request: &'a str,
        target: &'a id::Target,
        end: Outcome,
        cause: &'a str,
        after: Span,
    },
    /// The router refused a request, or returned the failure of its last target.
    Refused {
        request: &'a str,
        workspace: Option<&'a id::Workspace>,
        status: u16,
        reason: &'a str,
        ran: bool,
        retry_after: Span,
        after: Span,
        /// The dispatcher's decision; `None` if the router refused for another reason.
        refusal: Option<&'a Refusal>,
    },
    /// A target's response was received completely.
    Answered {
        request: &'a str,
        workspace: Option<&'a id::Workspace>,
        route: &'a str,
        target: &'a id::Target,
        status: u16,
        first: Span,
        after: Span,
    },
    /// A response was broken off after its start.
    Cut {
        request: &'a str,
        cause: &'a str,
        events: u64,
        after: Span,
    },
    /// The client disconnected before the end of its response.
    Left { request: &'a str, after: Span },
    /// A target was ejected because of failures, or is used again.
    Target {
        target: &'a id::Target,
        suspect: bool,
        failures: u32,
        answers: u32,
    },
    /// A configuration came into force.
    Configuration {
        version: Version,
        routes: usize,
        services: usize,
    },
    /// A configuration is invalid; the previous one stays in force.
    BadConfiguration { version: Version, cause: &'a str },
    /// The list of targets changed.
    Targets {
        version: u64,
        live: usize,
        leaving: usize,
    },
    /// A list of the platform cannot be read.
    Lost { list: &'a str, cause: &'a str },
    /// A list of the platform can be read again.
    Regained { list: &'a str, after: Span },
    /// The CPU is overloaded for the first time; from now on concurrent requests are limited.
    Busy { late: Span, limit: u32 },
    /// Connections were refused before their request was read, since the last such record.
    Unread {
        connections: u64,
        carried: u32,
        limit: u32,
    },
    /// The router became not ready because of overload, or recovered from it.
    Crowded { crowded: bool, refused: u64 },
    /// Another router was listed, or removed from the list.
    Peer {
        router: &'a id::Router,
        present: bool,
    },
}

impl Entry<'_> {
    /// Writes the record to the log.
    pub(super) fn write(&self, log: &slog::Logger) {
        match self {
            Entry::Sent {
                request,
                estimate,
                earlier,
                waited,
            } => slog::info!(log, "sent"; "request" => request,
                "target" => estimate.target.as_str(), "earlier" => earlier,
                "waited_ms" => millis(*waited), "running" => estimate.view.running,
                "backlog_tokens" => estimate.view.backlog, "memory_tokens" => estimate.view.memory,
                "unread_tokens" => estimate.uncached_tokens, "expected_ms" => millis(estimate.first_event),
                "view_age_ms" => millis(estimate.view_age)),
            Entry::Ended {
                request,
                target,
                end,
                cause,
                after,
            } => slog::warn!(log, "run ended"; "request" => request, "target" => target.as_str(),
                "end" => %end, "cause" => cause, "after_ms" => millis(*after)),
            Entry::Refused {
                request,
                workspace,
                status,
                reason,
                ran,
                retry_after,
                after,
                refusal,
            } => slog::warn!(log, "refused"; "request" => request,
                "workspace" => workspace.map_or("-", |w| w.as_str()), "status" => status,
                "reason" => reason, "may_have_run" => ran,
                "retry_after_ms" => millis(*retry_after), "after_ms" => millis(*after),
                "share_tokens" => refusal.and_then(|refusal| refusal.allocation.share),
                "granted_tokens" => refusal.map(|refusal| refusal.allocation.granted),
                "view_age_ms" => refusal.map(|refusal| millis(refusal.view_age))),
            Entry::Answered {
                request,
                workspace,
                route,
                target,
                status,
                first,
                after,
            } => slog::info!(log, "answered"; "request" => request,
                "workspace" => workspace.map_or("-", |w| w.as_str()), "route" => route,
                "target" => target.as_str(), "status" => status, "first_ms" => millis(*first),
                "after_ms" => millis(*after)),
            Entry::Cut {
                request,
                cause,
                events,
                after,
            } => slog::warn!(log, "answer cut"; "request" => request, "cause" => cause,
                "events" => events, "after_ms" => millis(*after)),
            Entry::Left { request, after } => {
                slog::warn!(log, "caller left"; "request" => request, "after_ms" => millis(*after));
            }
            Entry::Target {
                target,
                suspect,
                failures,
                answers,
            } => slog::warn!(log, "target believed"; "target" => target.as_str(),
                "suspect" => suspect, "failures" => failures, "answers" => answers),
            Entry::Configuration {
                version,
                routes,
                services,
            } => slog::info!(log, "configuration in force"; "version" => version.0,
                "routes" => routes, "services" => services),
            Entry::BadConfiguration { version, cause } => {
                slog::error!(log, "configuration unusable"; "in_force" => version.0, "cause" => cause);
            }
            Entry::Targets {
                version,
                live,
                leaving,
            } => slog::info!(log, "targets changed"; "list_version" => version, "live" => live,
                "leaving" => leaving),
            Entry::Lost { list, cause } => {
                slog::warn!(log, "dependency lost"; "list" => list, "cause" => cause);
            }
            Entry::Regained { list, after } => {
                slog::info!(log, "dependency regained"; "list" => list, "after_ms" => millis(*after));
            }
            Entry::Busy { late, limit } => {
                slog::warn!(log, "processor busy"; "late_ms" => millis(*late), "limit" => limit);
            }
            Entry::Unread {
                connections,
                carried,
                limit,
            } => slog::warn!(log, "connections refused unread"; "connections" => connections,
                "carried" => carried, "limit" => limit),
            Entry::Crowded { crowded, refused } => {
                slog::warn!(log, "readiness"; "crowded" => crowded, "refused" => refused);
            }
            Entry::Peer { router, present } => {
                slog::info!(log, "router listed"; "peer" => router.as_str(), "present" => present);
            }
        }
    }
}

fn millis(span: Span) -> f64 {
    span.0 as f64 / 1e3
}
