//! Handler of callers' requests: finds the route, authenticates, reads the body and starts the
//! exchange.

use super::{
    Driver, Head, Protocol, State,
    call::Call,
    exchange::{Context, Exchange},
    record::Record,
};
use crate::{
    clock,
    dispatch::{Event, Request as DispatchRequest},
    front::{Body, Intake, Limits, Problem, Responder},
    id,
    memory::{self, Account},
    metric,
    placement::hash,
    routing::{Route, Table},
    unit::{Span, Time},
    upstream,
};
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderMap, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Detail of the response to a request above the router's limits.
const OVERLOADED: &str = "the router has reached its limit of requests or connections";
/// `Retry-After` of such a response; short because the retry reaches another router.
const OVERLOADED_RETRY_AFTER: Span = Span::from_millis(20);

/// Handles callers' requests.
pub struct Handler {
    driver: Arc<Driver>,
    context: Arc<Context>,
    max_connections: usize,
    drain_notice: Span,
    memory: memory::Pool,
    next_number: AtomicU64,
}

impl Handler {
    /// Creates a handler. `memory` is the budget of what is held for callers, `max_connections` the maximum
    /// number of their open connections,
    /// `drain_notice` the time for which a router that is shutting down still accepts connections.
    pub fn open(
        driver: Arc<Driver>,
        state: Arc<State>,
        protocol: Arc<dyn Protocol>,
        pool: upstream::Pool,
        memory: memory::Pool,
        max_connections: usize,
        drain_notice: Span,
    ) -> Self {
        Self {
            driver,
            context: Arc::new(Context {
                state,
                protocol,
                pool,
            }),
            max_connections,
            drain_notice,
            memory,
            next_number: AtomicU64::new(1),
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let arrived = clock::now();
        let table = self.context.state.table();
        if table.version.0 == 0 {
            let detail = "no configuration is in force yet";
            return Err(Problem::not_run(detail, State::UNREADY_RETRY_AFTER));
        }
        let permit = self.context.state.admit();
        let (parts, body) = request.into_parts();
        let head = self.context.protocol.parse_request(&parts.headers);
        let head = head.map_err(|cause| Problem::invalid(StatusCode::BAD_REQUEST, cause))?;
        let route = find_route(&table, &parts.uri, &parts.headers)?;
        let workspace = authenticate(&table, &route, &head)?;
        let Some(permit) = permit else {
            return Err(self.refuse_busy(workspace, &head));
        };
        let service = self.pick_service(&route, workspace.as_ref(), &head);
        let service = service.ok_or_else(|| {
            let detail = format!("the route {:?} has no service", route.name);
            Problem::not_run(detail, State::UNREADY_RETRY_AFTER)
        })?;
        metrics::counter!(metric::REQUESTS, "service" => service.to_string()).increment(1);
        let account = Account::of(&parts.extensions);
        let intake = Intake {
            body_bytes: table.limits.body_bytes,
            timeout: table.limits.idle_timeout,
        };
        let body = intake.read(body, &account).await?;
        let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let call = Call {
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            method: parts.method,
            uri: origin_form(&parts.uri),
            headers: parts.headers,
            body,
            account,
            head,
            route,
            service,
            workspace,
            build: None,
            arrived,
            deadline: arrived + timeout,
        };
        self.log_resumption(&call);
        let dispatch_request = dispatch_request(&call, &table);
        let (submission, decisions) = self.driver.submit(&call.head.request_id, dispatch_request);
        let exchange = Exchange::new(call, submission, self.context.clone(), permit);
        Ok(exchange.run(decisions).await)
    }

    /// Counts a request that arrived while the limit of requests was reached, and returns its refusal.
    fn refuse_busy(&self, workspace: Option<id::Workspace>, head: &Head) -> Problem {
        metrics::counter!(metric::BUSY).increment(1);
        self.context.state.count_refused_request();
        if let (Some(workspace), Some(prompt)) = (workspace, &head.prompt) {
            let tokens = prompt.cost();
            self.driver.step(Event::Busy { workspace, tokens });
        }
        overloaded()
    }

    /// Returns the service of a request: for a resumed stream the one that began it, as far as the route
    /// still leads there.
    fn pick_service(
        &self,
        route: &Route,
        workspace: Option<&id::Workspace>,
        head: &Head,
    ) -> Option<id::Service> {
        let origin = head.origin.as_deref().filter(|origin| !origin.is_empty());
        let stream = origin.and_then(|origin| id::Stream::of(workspace, origin));
        let began = stream.and_then(|stream| self.driver.origin_service(stream));
        let splits = route.splits.iter().filter(|split| split.weight > 0);
        let services = splits.map(|split| &split.service);
        let mut began = services.filter(|service| Some(hash(service.as_str())) == began);
        // The request that began the stream was assigned by the hash of its name, too.
        let assigned = || route.pick(hash(origin.unwrap_or(&head.request_id)));
        began.next().or_else(assigned).cloned()
    }

    fn log_resumption(&self, call: &Call) {
        let head = &call.head;
        if head.origin.is_none() && head.last_event_id.is_none() {
            return;
        }
        let record = Record::ResumedByCaller {
            request: &head.request_id,
            origin: head.origin.as_deref(),
            last_event_id: head.last_event_id.as_deref(),
        };
        record.write(self.driver.log());
    }
}

impl Responder for Handler {
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        let result = self.handle(request);
        result
            .map(|result| result.unwrap_or_else(|problem| problem.response()))
            .boxed()
    }

    fn limits(&self) -> Limits {
        let limits = self.context.state.table().limits;
        Limits {
            connections: self.max_connections,
            body_bytes: limits.body_bytes,
            head_bytes: limits.head_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
            drain_notice: self.drain_notice,
        }
    }

    fn refusal(&self, full: bool) -> Option<Problem> {
        self.context.state.count_connection();
        let refused = full || self.context.state.is_at_limit();
        refused.then(|| {
            metrics::counter!(metric::BUSY).increment(1);
            self.context.state.count_refused_connection();
            overloaded()
        })
    }

    fn is_full(&self) -> bool {
        self.context.state.is_at_limit()
    }

    fn memory(&self) -> Option<memory::Pool> {
        Some(self.memory.clone())
    }

    fn record_closed(&self) {
        self.context.state.record_closed();
    }

    fn record_unopened(&self, cause: &io::Error) {
        let cause = &cause.to_string();
        Record::ListenerNotOpened { cause }.write(self.driver.log());
    }

    fn record_refusing(&self, spent: Span) {
        self.context.state.record_refusing(spent);
    }
}

fn overloaded() -> Problem {
    Problem::not_run(OVERLOADED, OVERLOADED_RETRY_AFTER).after(Some(OVERLOADED_RETRY_AFTER))
}

fn find_route(table: &Table, uri: &Uri, headers: &HeaderMap) -> Result<Arc<Route>, Problem> {
    let host_header = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = uri.host().or(host_header).unwrap_or_default();
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
    let key = head.api_key.as_deref().map(str::as_bytes);
    let workspace = key.and_then(|key| table.workspace(key)).cloned();
    if workspace.is_some() || route.public || !table.requires_key() {
        return Ok(workspace);
    }
    let detail = match key {
        Some(_) => "the API key is unknown",
        None => "the Authorization header is missing or not of the form Bearer <key>",
    };
    Err(Problem::invalid(StatusCode::UNAUTHORIZED, detail))
}

/// Strips scheme and authority: targets get only path and query.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

fn dispatch_request(call: &Call, table: &Table) -> DispatchRequest {
    let (head, workspace) = (&call.head, call.workspace.as_ref());
    let is_stream = call.route.kind.is_stream();
    let priority = call
        .workspace
        .as_ref()
        .and_then(|w| table.priorities.get(w));
    DispatchRequest {
        number: call.number,
        workspace: call.workspace.clone(),
        service: call.service.clone(),
        kind: call.route.kind,
        priority: priority.copied().unwrap_or(call.route.priority),
        arrived: call.arrived,
        due: Time::min(call.arrived + call.route.slo, call.deadline),
        deadline: call.deadline,
        max_attempts: call.route.max_attempts,
        prompt: call.head.prompt.clone(),
        stream: is_stream
            .then(|| id::Stream::of(workspace, &head.request_id))
            .flatten(),
        resumption: is_stream.then(|| call.resumption()).flatten(),
        build: None,
        regions: table.regions(&call.route, workspace),
    }
}
