//! Task that carries one request: waits for orders, runs attempts, and answers the caller.

use super::{Answer, Body, Event, Order, Problem, Sink, handler::Message, whole};
use crate::{answer, clock, config, id, ingress, metric, trace, unit, upstream, wire::Outcome};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use opentelemetry::KeyValue;
use std::{io, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Chunks buffered between the target and a slow caller, before the target is held back.
const CALLER_CHUNKS: usize = 4;
/// Largest answer that is read whole before the caller gets any of it, in bytes.
const MAX_WHOLE_BYTES: usize = 1 << 20;
/// Largest answer that is kept for repeats of its idempotency key, in bytes.
const MAX_STORED_BYTES: usize = 4 << 10;
/// Time between two reports of a running attempt's cost.
const PROGRESS_PERIOD: unit::Span = unit::Span::from_millis(500);
/// Header that names the attempt, towards targets and callers.
const ATTEMPT: &str = "marlrun-attempt";
/// Header that names the request, towards targets and callers.
const REQUEST: &str = "marlrun-request";
/// Header that names the milliseconds until the caller gives up, from callers and towards targets.
const TIMEOUT: &str = "marlrun-timeout-ms";
/// Header by which a target says that it did not run a request.
const OUTCOME: &str = "marlrun-outcome";

/// One request and all that is needed to carry it.
pub(super) struct Exchange {
    pub(super) request: u64,
    pub(super) name: Box<str>,
    pub(super) service: Arc<config::Service>,
    pub(super) keyed: bool,
    pub(super) message: Message,
    pub(super) orders: mpsc::UnboundedReceiver<Order>,
    pub(super) sink: Arc<dyn Sink>,
    pub(super) pool: upstream::Pool,
    pub(super) idle: unit::Span,
    pub(super) hop: trace::Hop,
    pub(super) arrived: unit::Time,
    pub(super) stream: answer::Stream,
    pub(super) log: slog::Logger,
}

/// The caller's side of a request.
enum Caller {
    /// Nothing was answered yet.
    Waiting(oneshot::Sender<Response<Body>>),
    /// A stream is being answered.
    Streaming(mpsc::Sender<io::Result<Frame<Bytes>>>),
}

/// An attempt that was ordered.
struct Attempt {
    id: id::Attempt,
    target: Arc<config::Target>,
    expires: unit::Time,
    deadline: unit::Time,
    resume: Option<Box<str>>,
    hop: trace::Hop,
    started: unit::Time,
}

/// How an attempt ended.
struct End {
    outcome: Outcome,
    cost: unit::Cost,
    resume: ingress::Resume,
    answer: Option<Answer>,
}

impl End {
    fn of(outcome: Outcome) -> Self {
        Self {
            outcome,
            cost: unit::Cost(0),
            resume: ingress::Resume::Start,
            answer: None,
        }
    }
}

impl Caller {
    fn is_closed(&self) -> bool {
        match self {
            Caller::Waiting(reply) => reply.is_closed(),
            Caller::Streaming(body) => body.is_closed(),
        }
    }

    async fn closed(&mut self) {
        match self {
            Caller::Waiting(reply) => reply.closed().await,
            Caller::Streaming(body) => body.closed().await,
        }
    }
}

impl Exchange {
    /// Carries the request to its end.
    pub(super) async fn run(mut self, reply: oneshot::Sender<Response<Body>>) {
        let mut caller = Caller::Waiting(reply);
        let result = self.follow(&mut caller).await;
        let service = self.service.name.to_string();
        metrics::counter!(metric::RESULTS, "service" => service, "result" => result).increment(1);
        let attributes = [
            KeyValue::new("request", self.name.to_string()),
            KeyValue::new("result", result),
        ];
        self.hop.clone().end(&self.log, clock::now(), &attributes);
    }

    async fn follow(&mut self, caller: &mut Caller) -> &'static str {
        let mut queue = Some(self.hop.child("queue", clock::now()));
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = caller.closed() => {
                    self.sink.send(Event::Gone { request: self.request });
                    return "gone";
                }
            };
            match order {
                Some(Order::Start {
                    attempt,
                    target,
                    expires,
                    deadline,
                    resume,
                }) => {
                    let now = clock::now();
                    if let Some(hop) = queue.take() {
                        hop.end(&self.log, now, &[]);
                    }
                    let attempt = Attempt {
                        id: attempt,
                        target,
                        expires,
                        deadline,
                        resume,
                        hop: self.hop.child("target", now),
                        started: now,
                    };
                    if let Some(result) = self.attempt(attempt, caller).await {
                        return result;
                    }
                    queue = Some(self.hop.child("queue", clock::now()));
                }
                Some(Order::Abort { .. }) => {}
                Some(Order::Reject(rejection)) => return self.reject(caller, rejection).await,
                None => {
                    let rejection = ingress::Rejection::Unknown {
                        doubt: ingress::Doubt::Broken,
                    };
                    return self.reject(caller, rejection).await;
                }
            }
        }
    }

    /// Runs one attempt and reports its end; returns a result if the request ended with it.
    async fn attempt(&mut self, attempt: Attempt, caller: &mut Caller) -> Option<&'static str> {
        let end = self.send(&attempt, caller).await;
        let outcome = end.outcome;
        let attributes = [
            KeyValue::new("attempt", attempt.id.to_string()),
            KeyValue::new("target", attempt.target.name.to_string()),
            KeyValue::new("outcome", format!("{outcome:?}")),
        ];
        attempt.hop.end(&self.log, clock::now(), &attributes);
        if outcome == Outcome::Cancelled && caller.is_closed() {
            // Told first, so that nothing is asked for in place of the attempt.
            let request = self.request;
            self.sink.send(Event::Gone { request });
        }
        self.sink.send(Event::Ended {
            attempt: attempt.id,
            cost: end.cost,
            outcome,
            resume: end.resume,
            answer: end.answer,
        });
        match outcome {
            Outcome::Answered => Some("answered"),
            Outcome::Cancelled if caller.is_closed() => Some("gone"),
            Outcome::Cancelled | Outcome::NotRun | Outcome::Unreachable | Outcome::Broken => None,
        }
    }

    async fn send(&mut self, attempt: &Attempt, caller: &mut Caller) -> End {
        let leased = tokio::select! {
            leased = self.pool.lease(attempt.target.address, self.service.idempotent) => leased,
            () = caller.closed() => return End::of(Outcome::Cancelled),
        };
        let Ok(mut lease) = leased else {
            return End::of(Outcome::Unreachable);
        };
        // The process may have been paused since the grant; nothing may be sent on a stale one.
        if clock::now() > attempt.expires {
            return End::of(Outcome::Cancelled);
        }
        self.sink.send(Event::Sent {
            attempt: attempt.id,
        });
        let request = self.request(attempt);
        let answered = tokio::select! {
            answered = lease.sender.try_send_request(request) => answered,
            () = caller.closed() => return self.cancelled(attempt),
            () = aborted(&mut self.orders, attempt.id) => return self.cancelled(attempt),
        };
        let response = match answered {
            Ok(response) => response,
            Err(mut error) => {
                // The library hands the request back if no byte of it was sent.
                let unsent = error.take_message().is_some();
                return if unsent {
                    End::of(Outcome::Unreachable)
                } else {
                    self.broken(attempt, ingress::Resume::Start)
                };
            }
        };
        if !self.is_own(attempt, response.headers()) {
            metrics::counter!(metric::CROSSED).increment(1);
            return self.broken(attempt, resume_of(attempt));
        }
        if response
            .headers()
            .get(OUTCOME)
            .is_some_and(|outcome| outcome == "not-run")
        {
            return End::of(Outcome::NotRun);
        }
        let service = self.service.name.to_string();
        let waited = clock::now().since(self.arrived);
        metrics::histogram!(metric::FIRST_BYTE, "service" => service).record(waited.as_secs_f64());
        let end = if is_event_stream(response.headers()) {
            self.stream(attempt, caller, response).await
        } else {
            self.whole(attempt, caller, response).await
        };
        if end.outcome == Outcome::Answered {
            lease.release();
        }
        end
    }

    /// Reads an answer whole, then gives it to the caller.
    async fn whole(
        &mut self,
        attempt: &Attempt,
        caller: &mut Caller,
        response: Response<Incoming>,
    ) -> End {
        if matches!(caller, Caller::Streaming(_)) {
            // The caller has a part of a stream, and this is not its rest.
            return self.broken(attempt, resume_of(attempt));
        }
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller.closed() => return self.cancelled(attempt),
                () = aborted(&mut self.orders, attempt.id) => return self.cancelled(attempt),
            };
            match frame {
                Some(Ok(frame)) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Some(Err(_)) => return self.broken(attempt, ingress::Resume::Start),
                None => break,
            }
            if bytes.len() > MAX_WHOLE_BYTES {
                return self.pass(attempt, caller, head, bytes, body).await;
            }
        }
        let bodyless = self.message.method == Method::HEAD
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        if !bodyless && answer::check_framing(&head.headers).is_err() {
            return self.broken(attempt, ingress::Resume::Start);
        }
        let cost = self.cost(attempt, &bytes);
        let answer = if self.keyed {
            keep(&head, &bytes)
        } else {
            None
        };
        let head = self.head(attempt, head);
        self.reply(caller, Response::from_parts(head, whole(bytes)));
        End {
            outcome: Outcome::Answered,
            cost,
            resume: ingress::Resume::Never,
            answer,
        }
    }

    /// Passes on an answer that is too large to be held, chunk by chunk.
    async fn pass(
        &mut self,
        attempt: &Attempt,
        caller: &mut Caller,
        head: http::response::Parts,
        read: Vec<u8>,
        mut body: Incoming,
    ) -> End {
        let length = head.headers.get(header::CONTENT_LENGTH).cloned();
        let mut head = self.head(attempt, head);
        if let Some(length) = length {
            head.headers.insert(header::CONTENT_LENGTH, length);
        }
        let chunks = self.open(caller, head);
        let mut next = Some(Ok(Frame::data(Bytes::from(read))));
        while let Some(frame) = next {
            let broken = frame.is_err();
            let frame = frame.map_err(io::Error::other);
            if self.push(&chunks, frame).await.is_err() {
                return self.cancelled(attempt);
            }
            if broken {
                return self.broken(attempt, ingress::Resume::Never);
            }
            next = tokio::select! {
                frame = body.frame() => frame,
                () = aborted(&mut self.orders, attempt.id) => return self.cancelled(attempt),
            };
        }
        let cost = self.cost(attempt, &[]);
        End {
            outcome: Outcome::Answered,
            cost,
            resume: ingress::Resume::Never,
            answer: None,
        }
    }

    /// Passes on a stream of events as they come; only whole events reach the caller.
    async fn stream(
        &mut self,
        attempt: &Attempt,
        caller: &mut Caller,
        response: Response<Incoming>,
    ) -> End {
        let (head, mut body) = response.into_parts();
        let head = self.head(attempt, head);
        let chunks = self.open(caller, head);
        let before = self.stream.tokens();
        if attempt.resume.is_some() {
            self.stream.resume();
        }
        let mut reported = clock::now();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = chunks.closed() => return self.stream_end(Outcome::Cancelled, before),
                () = aborted(&mut self.orders, attempt.id) => {
                    return self.stream_end(Outcome::Cancelled, before);
                }
            };
            let Some(Ok(frame)) = frame else {
                break;
            };
            let mut events = Vec::new();
            let fed = self
                .stream
                .feed(&frame.into_data().unwrap_or_default(), &mut events);
            let data = Ok(Frame::data(Bytes::from(events)));
            if self.push(&chunks, data).await.is_err() {
                return self.stream_end(Outcome::Cancelled, before);
            }
            if fed.is_err() {
                break;
            }
            let now = clock::now();
            if now.since(reported) >= PROGRESS_PERIOD {
                reported = now;
                let cost = self.stream.tokens().saturating_sub(before);
                self.sink.send(Event::Progress {
                    attempt: attempt.id,
                    cost,
                });
            }
        }
        let outcome = match self.stream.finish() {
            Ok(()) => Outcome::Answered,
            Err(_) => Outcome::Broken,
        };
        self.stream_end(outcome, before)
    }

    /// Returns the end of a streaming attempt that began with `before` tokens passed on.
    fn stream_end(&self, outcome: Outcome, before: unit::Cost) -> End {
        let tokens = self.stream.tokens().saturating_sub(before);
        End {
            outcome,
            cost: tokens.max(unit::Cost(1)),
            resume: self.stream.resume_at(),
            answer: None,
        }
    }

    /// Gives a chunk to the caller; fails if it went away or takes nothing for too long.
    async fn push(
        &self,
        chunks: &mpsc::Sender<io::Result<Frame<Bytes>>>,
        frame: io::Result<Frame<Bytes>>,
    ) -> Result<(), ()> {
        let is_empty = matches!(&frame, Ok(frame) if frame.data_ref().is_some_and(Bytes::is_empty));
        if is_empty {
            return Ok(());
        }
        let sent = tokio::time::timeout(Duration::from(self.idle), chunks.send(frame)).await;
        sent.map_err(|_| ())?.map_err(|_| ())
    }

    /// Starts the answer to the caller, or goes on with the one that was started.
    fn open(
        &self,
        caller: &mut Caller,
        head: http::response::Parts,
    ) -> mpsc::Sender<io::Result<Frame<Bytes>>> {
        if let Caller::Streaming(chunks) = caller {
            return chunks.clone();
        }
        let (chunks, inbox) = mpsc::channel(CALLER_CHUNKS);
        let frames = futures::stream::unfold(inbox, |mut inbox| async {
            inbox.recv().await.map(|frame| (frame, inbox))
        });
        let body = StreamBody::new(frames).boxed_unsync();
        let earlier = std::mem::replace(caller, Caller::Streaming(chunks.clone()));
        if let Caller::Waiting(reply) = earlier {
            // A caller that went away is noticed by the closed channel of the body.
            let _ = reply.send(Response::from_parts(head, body));
        }
        chunks
    }

    fn reply(&self, caller: &mut Caller, response: Response<Body>) {
        let (closed, _) = mpsc::channel(1);
        if let Caller::Waiting(reply) = std::mem::replace(caller, Caller::Streaming(closed)) {
            // The caller may have gone away; the answer is then nobody's.
            let _ = reply.send(response);
        }
    }

    /// Ends the request without an answer; a stream that was begun ends as an error.
    async fn reject(&self, caller: &mut Caller, rejection: ingress::Rejection) -> &'static str {
        if let Caller::Streaming(chunks) = caller {
            let error = io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "the stream of the target broke",
            );
            // A caller that went away needs no error.
            let _ = self.push(chunks, Err(error)).await;
            return "truncated";
        }
        let stored = match &rejection {
            ingress::Rejection::Finished { answer } => answer.as_deref().and_then(Answer::decode),
            _ => None,
        };
        let (mut response, result) = match (stored, &rejection) {
            (Some(answer), _) => (replay(answer), "replayed"),
            (None, ingress::Rejection::NotRun { .. }) => {
                (Problem::rejected(&rejection).response(), "not-run")
            }
            (None, _) => (Problem::rejected(&rejection).response(), "unknown"),
        };
        self.name_request(response.headers_mut());
        self.reply(caller, response);
        result
    }

    fn request(&self, attempt: &Attempt) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.message.body.clone()));
        *request.method_mut() = self.message.method.clone();
        *request.uri_mut() = self.message.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        copy_headers(&self.message.headers, headers);
        headers.remove(header::AUTHORIZATION);
        let host = attempt.target.address.to_string();
        insert(headers, header::HOST.as_str(), &host);
        insert(headers, ATTEMPT, &attempt.id.to_string());
        insert(headers, REQUEST, &self.name);
        let left = attempt.deadline.since(clock::now()).as_millis();
        insert(headers, TIMEOUT, &left.to_string());
        insert(headers, trace::HEADER, &attempt.hop.header());
        if let Some(event) = &attempt.resume {
            insert(headers, "last-event-id", event);
        }
        request
    }

    /// Returns the head of the caller's answer: the target's, less what belongs to its connection.
    fn head(&self, attempt: &Attempt, target: http::response::Parts) -> http::response::Parts {
        let mut response = Response::new(());
        *response.status_mut() = target.status;
        copy_headers(&target.headers, response.headers_mut());
        self.name_request(response.headers_mut());
        insert(
            response.headers_mut(),
            "marlrun-target",
            attempt.target.name.as_str(),
        );
        response.into_parts().0
    }

    fn name_request(&self, headers: &mut HeaderMap) {
        insert(headers, REQUEST, &self.name);
        insert(headers, "marlrun-trace", &self.hop.trace().to_string());
    }

    /// Reports whether an answer belongs to the attempt; a target that names none is believed.
    fn is_own(&self, attempt: &Attempt, headers: &HeaderMap) -> bool {
        let named = headers.get(ATTEMPT);
        named.is_none_or(|named| named.as_bytes() == attempt.id.to_string().as_bytes())
    }

    fn cost(&self, attempt: &Attempt, body: &[u8]) -> unit::Cost {
        let elapsed = clock::now().since(attempt.started).as_millis().max(1);
        match self.service.kind {
            config::Kind::Plain => unit::Cost(elapsed),
            config::Kind::Model => unit::Cost(answer::tokens_used(body).unwrap_or(elapsed)),
        }
    }

    fn cancelled(&self, attempt: &Attempt) -> End {
        End {
            cost: self.cost(attempt, &[]),
            ..End::of(Outcome::Cancelled)
        }
    }

    fn broken(&self, attempt: &Attempt, resume: ingress::Resume) -> End {
        End {
            cost: self.cost(attempt, &[]),
            resume,
            ..End::of(Outcome::Broken)
        }
    }
}

/// Waits for the order to stop `attempt`; other orders cannot come while it runs.
async fn aborted(orders: &mut mpsc::UnboundedReceiver<Order>, attempt: id::Attempt) {
    while let Some(order) = orders.recv().await {
        if matches!(order, Order::Abort { attempt: stopped } if stopped == attempt) {
            return;
        }
    }
    // The control thread is gone; the answer may still end whole.
    std::future::pending().await
}

/// Returns where another target may go on if the attempt gave nothing.
fn resume_of(attempt: &Attempt) -> ingress::Resume {
    let after = attempt.resume.clone();
    after.map_or(ingress::Resume::Start, ingress::Resume::After)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE);
    value.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns an answer to be stored for repeats, if it is small text.
fn keep(head: &http::response::Parts, body: &[u8]) -> Option<Answer> {
    if body.len() > MAX_STORED_BYTES {
        return None;
    }
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Some(Answer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: std::str::from_utf8(body).ok()?.into(),
    })
}

/// Returns the stored answer of an earlier try.
fn replay(answer: Answer) -> Response<Body> {
    let mut response = Response::new(whole(answer.body.into_string()));
    if let Ok(status) = http::StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    insert(
        response.headers_mut(),
        header::CONTENT_TYPE.as_str(),
        &answer.content_type,
    );
    insert(response.headers_mut(), "marlrun-replayed", "true");
    response
}

/// Copies all headers but those that belong to one connection (RFC 9110, 7.6.1) or to the body's length.
fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    const HOP_BY_HOP: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    for (name, value) in from {
        if !HOP_BY_HOP.contains(&name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn insert(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = http::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}
