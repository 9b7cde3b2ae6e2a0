//! Authenticates, parses and routes requests.

use super::{Body, Call, Event, Intake, Limits, Problem, Responder, Sink, exchange, full_body};
use crate::{
    answer, claim, clock, config, id,
    memory::{self, Account, Payload},
    metric, trace,
    unit::{Cost, Span},
    upstream,
    wire::Class,
};
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use std::{
    io,
    sync::{
        Arc, RwLock,
        atomic::{AtomicU64, Ordering},
    },
};

/// Path of the completions API of model engines.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path that issues idempotency keys.
const KEYS_PATH: &str = "/v1/idempotency-keys";
/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/s/";
/// Header with the caller's cost estimate, in tokens.
const COST_HINT_HEADER: &str = "marlrun-cost-hint";
/// Header with the caller's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "marlrun-timeout-ms";
/// Header with the key under which retries of an unsafe request run at most once.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Request handler that all connections of the front end share.
pub struct Handler {
    /// Configuration in force.
    pub fleet: Arc<RwLock<Arc<config::Fleet>>>,
    /// Receiver of events.
    pub sink: Arc<dyn Sink>,
    /// Limits on connections and requests.
    pub limits: Limits,
    /// Budget of memory for callers.
    pub memory: memory::Pool,
    /// Connection pool for targets.
    pub pool: upstream::Pool,
    /// Incarnation of this router.
    pub incarnation: id::Incarnation,
    /// Log.
    pub log: slog::Logger,
    /// Number that the next request gets.
    pub next: AtomicU64,
}

/// Complete request, kept so that it can be sent to a target more than once.
pub(super) struct Message {
    pub(super) method: Method,
    pub(super) path: Box<str>,
    pub(super) headers: HeaderMap,
    pub(super) body: Payload,
}

/// Request that was received and whose route was found.
struct Arrival {
    call: Call,
    message: Message,
    account: Account,
    service: Arc<config::Service>,
    hop: trace::Hop,
}

/// Service that a request is routed to, and the path to request there.
struct Route {
    service: Arc<config::Service>,
    path: Box<str>,
}

/// Fields of a completion request that determine its route and its cost.
#[derive(serde::Deserialize)]
struct Completion {
    model: Box<str>,
    max_tokens: Option<u64>,
}

impl Responder for Handler {
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        let answered = self.answer(request);
        answered
            .map(|answered| answered.unwrap_or_else(|problem| problem.response()))
            .boxed()
    }

    fn limits(&self) -> Limits {
        self.limits.clone()
    }

    fn memory(&self) -> Option<memory::Pool> {
        Some(self.memory.clone())
    }

    fn record_unopened(&self, cause: &io::Error) {
        slog::error!(self.log, "listener not opened again"; "cause" => %cause);
    }
}

impl Handler {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let hop = trace::Hop::arrive(request.headers(), clock::now());
        let fleet = self.fleet();
        let (head, body) = request.into_parts();
        let workspace = authenticate(&fleet, &head.headers)?;
        if head.uri.path() == KEYS_PATH && head.method == Method::POST {
            return self.issue_key().await;
        }
        let account = Account::of(&head.extensions);
        let intake = Intake {
            body_bytes: self.limits.body_bytes,
            timeout: self.limits.idle_timeout,
        };
        let body = intake.read(body, &account).await?;
        let completion = parse_completion(&head.uri, &head.method, &body)?;
        let route = find_route(&fleet, &head.uri, &head.headers, completion.as_ref())?;
        let call = build_call(
            &head.method,
            &head.headers,
            workspace,
            &route.service,
            completion.as_ref(),
            &hop,
        )?;
        metrics::counter!(metric::REQUESTS, "service" => route.service.name.to_string())
            .increment(1);

        let message = Message {
            method: head.method,
            path: route.path,
            headers: head.headers,
            body,
        };
        let arrival = Arrival {
            call,
            message,
            account,
            service: route.service,
            hop,
        };
        Ok(self.dispatch(arrival).await)
    }

    /// Issues an idempotency key; this router later decides its claims.
    async fn issue_key(&self) -> Result<Response<Body>, Problem> {
        let (reply, key) = tokio::sync::oneshot::channel();
        self.sink.send(Event::KeyRequested { reply });
        let stopped = |_| Problem::not_run("the router is shutting down", Span::from_secs(1));
        let key = key.await.map_err(stopped)?;
        let body = serde_json::json!({ "key": key }).to_string();
        let mut response = Response::new(full_body(body));
        *response.status_mut() = StatusCode::CREATED;
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        Ok(response)
    }

    async fn dispatch(&self, arrival: Arrival) -> Response<Body> {
        let Arrival {
            call,
            message,
            account,
            service,
            hop,
        } = arrival;
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let (commands, inbox) = tokio::sync::mpsc::unbounded_channel();
        let (reply, answer) = tokio::sync::oneshot::channel();
        let request_id = format!("{}-{request:x}", self.incarnation);
        let exchange = exchange::Exchange {
            request,
            request_id: request_id.into(),
            service,
            class: call.class,
            has_key: call.key.is_some(),
            message,
            account,
            commands: inbox,
            sink: self.sink.clone(),
            pool: self.pool.clone(),
            idle_timeout: self.limits.idle_timeout,
            hop,
            arrived: clock::now(),
            stream: answer::Stream::open(),
            rejection: None,
            log: self.log.clone(),
        };
        self.sink.send(Event::Arrived {
            request,
            call,
            commands,
        });
        tokio::spawn(exchange.run(reply));
        answer.await.unwrap_or_else(|_| {
            Problem::unknown(
                StatusCode::BAD_GATEWAY,
                "the router stopped before the request completed",
            )
            .response()
        })
    }

    fn fleet(&self) -> Arc<config::Fleet> {
        let fleet = self.fleet.read();
        fleet.map(|fleet| fleet.clone()).unwrap_or_default()
    }
}

fn authenticate(fleet: &config::Fleet, headers: &HeaderMap) -> Result<id::Workspace, Problem> {
    let unauthorized = |detail: &str| Problem::invalid(StatusCode::UNAUTHORIZED, detail);
    let value = headers
        .get(header::AUTHORIZATION)
        .ok_or_else(|| unauthorized("the Authorization header is missing"))?;
    let key = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(|| {
            unauthorized("the Authorization header must have the form `Bearer <key>`")
        })?;
    let workspace = fleet.workspace_of(key.trim().as_bytes());
    workspace
        .cloned()
        .ok_or_else(|| unauthorized("the API key does not belong to any workspace"))
}

fn parse_completion(
    uri: &Uri,
    method: &Method,
    body: &Payload,
) -> Result<Option<Completion>, Problem> {
    if uri.path() != COMPLETIONS_PATH {
        return Ok(None);
    }
    if method != Method::POST {
        let detail = format!("{COMPLETIONS_PATH} accepts POST only, not {method}");
        return Err(Problem::invalid(StatusCode::METHOD_NOT_ALLOWED, detail));
    }
    let parsed = serde_json::from_reader(body.reader());
    parsed.map(Some).map_err(|error| {
        let detail = format!("the request body is not a valid completion request: {error}");
        Problem::invalid(StatusCode::BAD_REQUEST, detail)
    })
}

fn find_route(
    fleet: &config::Fleet,
    uri: &Uri,
    headers: &HeaderMap,
    completion: Option<&Completion>,
) -> Result<Route, Problem> {
    let not_found = |detail: String| Problem::invalid(StatusCode::NOT_FOUND, detail);
    let path_and_query = uri.path_and_query().map_or("/", |path| path.as_str());
    if let Some(completion) = completion {
        let service = fleet.services.get(&*completion.model);
        let service = service.filter(|service| service.kind == config::Kind::Model);
        let service =
            service.ok_or_else(|| not_found(format!("unknown model {:?}", completion.model)))?;
        return Ok(Route {
            service: service.clone(),
            path: path_and_query.into(),
        });
    }
    if let Some(rest) = path_and_query.strip_prefix(SERVICES_PREFIX) {
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, path) = rest.split_at(end);
        let service = fleet.services.get(name);
        let service = service.filter(|service| service.kind == config::Kind::Plain);
        let service =
            service.ok_or_else(|| not_found(format!("unknown plain service {name:?}")))?;
        let path = if path.starts_with('/') {
            path.into()
        } else {
            format!("/{path}").into()
        };
        return Ok(Route {
            service: service.clone(),
            path,
        });
    }
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host
        .unwrap_or_default()
        .split(':')
        .next()
        .unwrap_or_default();
    let mut services = fleet.services.values();
    let service = services.find(|service| service.hosts.iter().any(|name| **name == *host));
    let service = service.ok_or_else(|| {
        not_found(format!(
            "no service matches the path {:?} or the host {host:?}",
            uri.path()
        ))
    })?;
    Ok(Route {
        service: service.clone(),
        path: path_and_query.into(),
    })
}

fn build_call(
    method: &Method,
    headers: &HeaderMap,
    workspace: id::Workspace,
    service: &config::Service,
    completion: Option<&Completion>,
    hop: &trace::Hop,
) -> Result<Call, Problem> {
    let hint = read_number(headers, COST_HINT_HEADER)?;
    let hint = hint.or(completion.and_then(|completion| completion.max_tokens));
    let estimate = hint.map_or(service.estimate, Cost);
    let timeout = read_number(headers, TIMEOUT_HEADER)?.map_or(service.timeout, Span::from_millis);
    let class = if estimate <= service.quick {
        Class::Quick
    } else {
        Class::Long
    };
    Ok(Call {
        workspace,
        service: service.name.clone(),
        class,
        estimate: Cost(estimate.0.max(1)),
        idempotent: service.idempotent || method.is_safe(),
        key: read_key(headers)?,
        timeout: timeout.min(service.timeout),
        trace: hop.trace().to_string().into(),
    })
}

fn read_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let invalid = || {
        Problem::invalid(
            StatusCode::BAD_REQUEST,
            format!("the header {name} must be a non-negative integer"),
        )
    };
    number.map(Some).ok_or_else(invalid)
}

fn read_key(headers: &HeaderMap) -> Result<Option<claim::Key>, Problem> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().ok().map(str::trim);
    let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    let invalid = || {
        let detail = format!(
            "the header {KEY_HEADER} must have 1 to {MAX_KEY_BYTES} visible ASCII characters"
        );
        Problem::invalid(StatusCode::BAD_REQUEST, detail)
    };
    let key = key.ok_or_else(invalid)?;
    let parsed = key.parse::<claim::Key>();
    parsed
        .map(Some)
        .map_err(|error| Problem::invalid(StatusCode::BAD_REQUEST, error.to_string()))
}
