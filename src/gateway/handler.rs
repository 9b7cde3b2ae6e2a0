//! Handler of client requests: finds the route, authenticates, reads the body and starts the
//! exchange.

use super::{
    Dialect, Fleet, Head, Hub,
    call::Call,
    exchange::{Exchange, Shared},
};
use crate::{
    clock,
    dispatch::Request as Wanted,
    front::{Body, Limits, Problem, Responder},
    id, metric,
    placement::hash,
    routing::{Route, Table},
    unit::{Span, Time},
    upstream,
};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderMap, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Detail of the response to a request above the router's limits.
const BUSY: &str = "the router has reached its limit of requests or connections";
/// `Retry-After` of such a response; short because the retry reaches another router.
const BUSY_RETRY: Span = Span::from_millis(20);

/// Handles client requests.
pub struct Handler {
    hub: Arc<Hub>,
    shared: Arc<Shared>,
    connections: usize,
    notice: Span,
    next: AtomicU64,
}

impl Handler {
    /// Creates a handler. `connections` is the maximum number of open client connections, `notice`
    /// the time for which a router that is shutting down still accepts connections.
    pub fn open(
        hub: Arc<Hub>,
        fleet: Arc<Fleet>,
        dialect: Arc<dyn Dialect>,
        pool: upstream::Pool,
        connections: usize,
        notice: Span,
    ) -> Self {
        Self {
            hub,
            shared: Arc::new(Shared {
                fleet,
                dialect,
                pool,
            }),
            connections,
            notice,
            next: AtomicU64::new(1),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let arrived = clock::now();
        let table = self.shared.fleet.table();
        if table.version.0 == 0 {
            let detail = "no configuration is in force yet";
            return Err(Problem::not_run(detail, Fleet::UNREADY_RETRY));
        }
        let Some(carried) = self.shared.fleet.carry() else {
            metrics::counter!(metric::BUSY).increment(1);
            return Err(busy());
        };
        let (parts, body) = request.into_parts();
        let head = self.shared.dialect.read(&parts.headers);
        let head = head.map_err(|cause| Problem::invalid(StatusCode::BAD_REQUEST, cause))?;
        let route = find_route(&table, &parts.uri, &parts.headers)?;
        let workspace = authenticate(&table, &route, &head)?;
        let service = route.pick(hash(&head.request)).cloned();
        let service = service.ok_or_else(|| {
            let detail = format!("the route {:?} has no service", route.name);
            Problem::not_run(detail, Fleet::UNREADY_RETRY)
        })?;
        metrics::counter!(metric::REQUESTS, "service" => service.to_string()).increment(1);
        let body = self.read(body, &table).await?;
        let wait = head.deadline.unwrap_or(route.timeout).min(route.timeout);
        let call = Call {
            number: self.next.fetch_add(1, Ordering::Relaxed),
            method: parts.method,
            uri: path_of(&parts.uri),
            headers: parts.headers,
            body,
            head,
            route,
            service,
            workspace,
            arrived,
            deadline: arrived + wait,
        };
        let wanted = wanted(&call, &table);
        let ticket = self.hub.arrive(&call.head.request, wanted);
        let exchange = Exchange::new(call, ticket, self.shared.clone(), carried);
        Ok(exchange.run().await)
    }

    async fn read(&self, body: Incoming, table: &Table) -> Result<Bytes, Problem> {
        let limits = table.limits;
        let limited = Limited::new(body, limits.body_bytes);
        let idle = Duration::from(limits.idle_timeout);
        match tokio::time::timeout(idle, limited.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::invalid(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("the request body exceeds {} bytes", limits.body_bytes),
            )),
            Ok(Err(error)) => Err(Problem::invalid(
                StatusCode::BAD_REQUEST,
                format!("cannot read the request body: {error}"),
            )),
            Err(_) => Err(Problem::invalid(
                StatusCode::REQUEST_TIMEOUT,
                format!(
                    "the request body did not arrive within {}",
                    limits.idle_timeout
                ),
            )),
        }
    }
}

impl Responder for Handler {
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        let answered = self.answer(request);
        answered
            .map(|answered| answered.unwrap_or_else(|problem| problem.response()))
            .boxed()
    }

    fn limits(&self) -> Limits {
        let limits = self.shared.fleet.table().limits;
        Limits {
            connections: self.connections,
            body_bytes: limits.body_bytes,
            head_bytes: limits.head_bytes,
            head: limits.head_timeout,
            idle: limits.idle_timeout,
            notice: self.notice,
        }
    }

    fn refusal(&self, full: bool) -> Option<Problem> {
        let refused = full || self.shared.fleet.is_busy();
        refused.then(|| {
            metrics::counter!(metric::BUSY).increment(1);
            self.shared.fleet.refuse_unread();
            busy()
        })
    }
}

fn busy() -> Problem {
    Problem::not_run(BUSY, BUSY_RETRY).after(Some(BUSY_RETRY))
}

fn find_route(table: &Table, uri: &Uri, headers: &HeaderMap) -> Result<Arc<Route>, Problem> {
    let named = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = uri.host().or(named).unwrap_or_default();
    let route = table.route(host, uri.path());
    route.cloned().ok_or_else(|| {
        let path = uri.path();
        let detail = format!("no route for host {host:?} and path {path:?}");
        Problem::invalid(StatusCode::NOT_FOUND, detail)
    })
}

/// Returns the workspace that the request's API key belongs to; `None` if the request has no valid
/// key and needs none.
fn authenticate(
    table: &Table,
    route: &Route,
    head: &Head,
) -> Result<Option<id::Workspace>, Problem> {
    let key = head.key.as_deref().map(str::as_bytes);
    let workspace = key.and_then(|key| table.workspace(key)).cloned();
    if workspace.is_some() || route.public || !table.is_guarded() {
        return Ok(workspace);
    }
    let detail = match key {
        Some(_) => "the API key is unknown",
        None => "the Authorization header is missing or not of the form Bearer <key>",
    };
    Err(Problem::invalid(StatusCode::UNAUTHORIZED, detail))
}

/// Strips scheme and authority: targets get only path and query.
fn path_of(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

fn wanted(call: &Call, table: &Table) -> Wanted {
    let rank = call.workspace.as_ref().and_then(|w| table.ranks.get(w));
    Wanted {
        number: call.number,
        workspace: call.workspace.clone(),
        service: call.service.clone(),
        kind: call.route.kind,
        rank: rank.copied().unwrap_or(call.route.rank),
        arrived: call.arrived,
        due: Time::min(call.arrived + call.route.aim, call.deadline),
        deadline: call.deadline,
        max_attempts: call.route.attempts,
        prompt: call.head.prompt.clone(),
    }
}
