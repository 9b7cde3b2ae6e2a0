//! HTTP client that sends one request and checks its answer.

use super::{
    Outcome,
    answer::Answer,
    meter::{Meter, Waiting},
    request::Request,
};
use crate::{
    clock,
    unit::{Cost, Span, Time},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER},
};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{net::SocketAddr, sync::Arc};

/// Header that says whether a request was run.
const OUTCOME: &str = "marlrun-outcome";
/// Header of the caller's idempotency key.
const KEY: &str = "idempotency-key";
/// Header of the caller's hint at the cost.
const COST_HINT: &str = "marlrun-cost-hint";
/// Longest error answer that is read, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Where one request goes.
#[derive(Clone, Debug)]
pub(super) struct Hop {
    pub(super) address: SocketAddr,
    /// Prefix of the path, by which a router knows a plain service.
    pub(super) prefix: Box<str>,
    /// Key of the caller.
    pub(super) bearer: Box<str>,
}

/// What is seen of a request while it goes on.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) meter: Arc<Meter>,
    /// Time at which the request was to be sent.
    pub(super) sent: Time,
    /// Counts the request as waiting until the first byte of its answer's body comes.
    pub(super) waiting: Option<Waiting>,
    /// Time from sending to the first byte of the body.
    pub(super) first: Option<Span>,
    /// Times between tokens.
    pub(super) between: Vec<Span>,
    /// Times from the target's sending of a token to its arrival here.
    pub(super) transit: Vec<Span>,
    last_token: Option<Time>,
}

impl Watch {
    pub(super) fn new(meter: Arc<Meter>, sent: Time) -> Self {
        Self {
            waiting: Some(meter.wait(sent)),
            meter,
            sent,
            first: None,
            between: Vec::new(),
            transit: Vec::new(),
            last_token: None,
        }
    }

    /// Takes note of bytes of the answer that complete some tokens.
    fn bytes(&mut self, now: Time, tokens: u64) {
        self.waiting = None;
        self.first.get_or_insert(now.since(self.sent));
        self.meter.serve(Cost(tokens));
        for _ in 0..tokens {
            if let Some(last) = self.last_token.replace(now) {
                self.between.push(now.since(last));
            }
        }
    }
}

/// Error body, as far as the load tool reads it.
#[derive(Debug, serde::Deserialize)]
struct Problem {
    #[serde(default)]
    outcome: Option<Box<str>>,
}

/// HTTP client that keeps connections.
#[derive(Clone, Debug)]
pub(super) struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(super) fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { http }
    }

    /// Sends a request and reads its answer.
    pub(super) async fn send(&self, hop: &Hop, request: &Request, watch: &mut Watch) -> Outcome {
        let uri = format!("http://{}{}{}", hop.address, hop.prefix, request.path);
        let mut message = hyper::Request::builder()
            .method(&*request.method)
            .uri(uri)
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", hop.bearer));
        if let Some(key) = &request.key {
            message = message.header(KEY, &**key);
        }
        if let Some(hint) = request.hint {
            message = message.header(COST_HINT, hint);
        }
        let Ok(message) = message.body(Full::new(request.body.clone())) else {
            return Outcome::Rejected(StatusCode::BAD_REQUEST.as_u16());
        };
        match self.http.request(message).await {
            Ok(answer) if answer.status().is_success() => read(answer, request, watch).await,
            Ok(answer) => refusal(answer).await,
            Err(e) if e.is_connect() => Outcome::Unreachable,
            Err(_) => Outcome::Broken,
        }
    }

    /// Reads a JSON page.
    pub(super) async fn get<T>(&self, address: SocketAddr, path: &str) -> Option<T>
    where
        T: serde::de::DeserializeOwned,
    {
        let uri = format!("http://{address}{path}").parse().ok()?;
        let answer = self.http.get(uri).await.ok()?;
        let body = answer.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }
}

/// Reads a successful answer.
async fn read(answer: Response<Incoming>, request: &Request, watch: &mut Watch) -> Outcome {
    let mut body = answer.into_body();
    let mut check = Answer::new(&request.expected);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Broken;
        };
        if let Ok(bytes) = frame.into_data() {
            let tokens = check.feed(&bytes);
            watch.bytes(clock::now(), tokens);
            if let Some(sent) = check.sent_micros().filter(|_| tokens > 0) {
                let transit = clock::unix_micros().saturating_sub(sent);
                watch.transit.push(Span(transit));
            }
        }
    }
    if check.has_failed() {
        return Outcome::Broken;
    }
    let streamed = check.tokens();
    match check.end() {
        Ok(cost) => {
            watch.meter.serve(cost.saturating_sub(streamed));
            Outcome::Answered
        }
        Err(wrong) => Outcome::Wrong(wrong),
    }
}

/// Reads an error answer.
async fn refusal(answer: Response<Incoming>) -> Outcome {
    let (head, body) = answer.into_parts();
    let header = |name| head.headers.get(name)?.to_str().ok();
    let retry_after = header(RETRY_AFTER.as_str()).and_then(|secs| secs.parse().ok());
    let body = Limited::new(body, MAX_ERROR_BYTES).collect().await;
    let problem = body.ok().map(|body| body.to_bytes());
    let problem: Option<Problem> = problem.and_then(|body| serde_json::from_slice(&body).ok());
    let outcome = header(OUTCOME)
        .map(Box::from)
        .or(problem.and_then(|problem| problem.outcome));
    let is_request_wrong =
        head.status.is_client_error() && head.status != StatusCode::TOO_MANY_REQUESTS;
    match outcome.as_deref() {
        _ if is_request_wrong => Outcome::Rejected(head.status.as_u16()),
        Some("not-run") => Outcome::Refused(retry_after.map(Span::from_secs)),
        _ => Outcome::Unknown,
    }
}
