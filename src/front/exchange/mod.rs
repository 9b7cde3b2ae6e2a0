//! Task that handles one request: executes commands of the control thread, runs attempts and
//! responds to the caller.

mod caller;
mod relay;

use self::caller::Caller;
use super::{Answer, Body, Command, Event, Problem, Sink, full_body, handler::Message, header};
use crate::{
    answer, clock, config, id, ingress, memory, metric, trace, unit, upstream,
    wire::{Class, Outcome},
};
use http::{HeaderMap, Request, Response};
use opentelemetry::KeyValue;
use std::{mem, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// State of the task that handles one request.
pub(super) struct Exchange {
    pub(super) request: u64,
    pub(super) request_id: Box<str>,
    pub(super) service: Arc<config::Service>,
    pub(super) class: Class,
    pub(super) has_key: bool,
    pub(super) message: Message,
    pub(super) account: memory::Account,
    pub(super) commands: mpsc::UnboundedReceiver<Command>,
    pub(super) sink: Arc<dyn Sink>,
    pub(super) pool: upstream::Pool,
    pub(super) idle_timeout: unit::Span,
    pub(super) hop: trace::Hop,
    pub(super) arrived: unit::Time,
    pub(super) stream: answer::Stream,
    /// Rejection received while waiting for an attempt to be aborted.
    pub(super) rejection: Option<ingress::Rejection>,
    pub(super) log: slog::Logger,
}

/// Attempt that the control thread started.
struct Attempt {
    id: id::Attempt,
    target: Arc<config::Target>,
    not_after: unit::Time,
    deadline: unit::Time,
    resume: Option<Box<str>>,
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

impl Exchange {
    /// Handles the request until its final response.
    pub(super) async fn run(mut self, reply: oneshot::Sender<Response<Body>>) {
        let mut caller = Caller::Pending(reply);
        let result = self.handle_commands(&mut caller).await;
        let service = self.service.name.to_string();
        metrics::counter!(metric::RESULTS, "service" => service, "result" => result).increment(1);
        let attributes = [
            KeyValue::new("request", self.request_id.to_string()),
            KeyValue::new("result", result),
        ];
        self.hop.clone().end(&self.log, clock::now(), &attributes);
    }

    async fn handle_commands(&mut self, caller: &mut Caller) -> &'static str {
        let mut queue = Some(self.hop.child("queue", clock::now()));
        let mut first = true;
        loop {
            if let Some(rejection) = self.rejection.take() {
                return self.reject(caller, rejection);
            }
            let command = tokio::select! {
                command = self.commands.recv() => command,
                () = caller.disconnected() => {
                    self.sink.send(Event::Disconnected { request: self.request });
                    return "gone";
                }
            };
            match command {
                Some(Command::Start {
                    attempt,
                    target,
                    not_after,
                    deadline,
                    resume,
                }) => {
                    let now = clock::now();
                    if let Some(hop) = queue.take() {
                        hop.end(&self.log, now, &[]);
                    }
                    if mem::take(&mut first) {
                        self.record_wait(now);
                    }
                    let attempt = Attempt {
                        id: attempt,
                        target,
                        not_after,
                        deadline,
                        resume,
                        started: now,
                    };
                    if let Some(result) = self.run_attempt(attempt, caller).await {
                        return result;
                    }
                    queue = Some(self.hop.child("queue", clock::now()));
                }
                Some(Command::Abort { .. }) => {}
                Some(Command::Reject(rejection)) => return self.reject(caller, rejection),
                None => {
                    let rejection = ingress::Rejection::Unknown {
                        cause: ingress::Cause::Broken,
                    };
                    return self.reject(caller, rejection);
                }
            }
        }
    }

    /// Runs one attempt and reports its end; returns the result if the request is over.
    async fn run_attempt(&mut self, attempt: Attempt, caller: &mut Caller) -> Option<&'static str> {
        let end = self.execute(&attempt, caller).await;
        let outcome = end.outcome;
        if outcome == Outcome::Cancelled && caller.is_disconnected() {
            // Sent before `Ended`, so that the control thread does not retry the attempt.
            let request = self.request;
            self.sink.send(Event::Disconnected { request });
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
            Outcome::Cancelled if caller.is_disconnected() => Some("gone"),
            Outcome::Cancelled | Outcome::NotRun | Outcome::Unreachable | Outcome::Broken => None,
        }
    }

    /// Connects to the target and sends the request, with a trace span for each of the two.
    async fn execute(&mut self, attempt: &Attempt, caller: &mut Caller) -> End {
        let grant = self.hop.child("grant", attempt.started);
        let connected = self.connect(attempt, caller).await;
        let sent = clock::now();
        let attributes = [
            KeyValue::new("attempt", attempt.id.to_string()),
            KeyValue::new("target", attempt.target.name.to_string()),
        ];
        grant.end(&self.log, sent, &attributes);
        let lease = match connected {
            Ok(lease) => lease,
            Err(outcome) => return End::of(outcome),
        };
        let hop = self.hop.child("target", sent);
        let end = self.send(attempt, caller, lease, &hop).await;
        let [id, target] = attributes;
        let outcome = KeyValue::new("outcome", format!("{:?}", end.outcome));
        hop.end(&self.log, clock::now(), &[id, target, outcome]);
        end
    }

    /// Returns a connection to the target, unless the grant not_after first.
    async fn connect(
        &self,
        attempt: &Attempt,
        caller: &mut Caller,
    ) -> Result<upstream::Lease, Outcome> {
        // A target that drops packets must not block the slot after the grant has expired.
        let limit = Duration::from(attempt.not_after.since(clock::now()));
        let lease = self
            .pool
            .lease(attempt.target.address, self.service.idempotent);
        let leased = tokio::select! {
            leased = tokio::time::timeout(limit, lease) => leased,
            () = caller.disconnected() => return Err(Outcome::Cancelled),
        };
        let Ok(Ok(lease)) = leased else {
            return Err(Outcome::Unreachable);
        };
        // The process may have been suspended since the grant, and nothing may be sent on an
        // expired one.
        if clock::now() > attempt.not_after {
            return Err(Outcome::Cancelled);
        }
        Ok(lease)
    }

    async fn send(
        &mut self,
        attempt: &Attempt,
        caller: &mut Caller,
        mut lease: upstream::Lease,
        hop: &trace::Hop,
    ) -> End {
        self.sink.send(Event::Sent {
            attempt: attempt.id,
        });
        let request = self.build_request(attempt, hop);
        let response = tokio::select! {
            response = lease.try_send(request) => response,
            () = caller.disconnected() => return self.cancelled(attempt),
            () = aborted(&mut self.commands, &mut self.rejection, attempt.id) => {
                return self.cancelled(attempt);
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(mut error) => {
                // hyper returns the request if no byte of it was sent.
                let unsent = error.take_message().is_some();
                return if unsent {
                    End::of(Outcome::NotRun)
                } else {
                    self.broken(attempt, ingress::Resume::Start)
                };
            }
        };
        if answer::Meaning::of(response.status()).is_err() {
            return self.broken(attempt, resume_position(attempt));
        }
        if !self.belongs_to(attempt, response.headers()) {
            metrics::counter!(metric::CROSSED).increment(1);
            return self.broken(attempt, resume_position(attempt));
        }
        if header::is(response.headers(), header::OUTCOME, "not-run") {
            return End::of(Outcome::NotRun);
        }
        let service = self.service.name.to_string();
        let first_byte = clock::now().since(self.arrived);
        metrics::histogram!(metric::FIRST_BYTE, "service" => service)
            .record(first_byte.as_secs_f64());
        let end = self.relay(attempt, caller, response).await;
        if end.outcome == Outcome::Answered {
            lease.release();
        }
        end
    }

    fn record_wait(&self, granted: unit::Time) {
        let class = match self.class {
            Class::Quick => "quick",
            Class::Long => "long",
        };
        let service = self.service.name.to_string();
        let waited = granted.since(self.arrived).as_secs_f64();
        metrics::histogram!(metric::WAIT, "service" => service, "class" => class).record(waited);
    }

    /// Sends the final response in place of a target's; a streamed response that has begun is
    /// truncated.
    fn reject(&self, caller: &mut Caller, rejection: ingress::Rejection) -> &'static str {
        if let Caller::Streaming(_) = caller {
            return "truncated";
        }
        let stored = match &rejection {
            ingress::Rejection::Finished { answer } => answer.as_deref().and_then(Answer::decode),
            _ => None,
        };
        let (mut response, result) = match (stored, &rejection) {
            (Some(answer), _) => (stored_response(answer), "replayed"),
            (None, ingress::Rejection::NotRun { .. }) => {
                (Problem::rejected(&rejection).response(), "not-run")
            }
            (None, _) => (Problem::rejected(&rejection).response(), "unknown"),
        };
        self.insert_ids(response.headers_mut());
        caller.respond(response);
        result
    }

    fn build_request(&self, attempt: &Attempt, hop: &trace::Hop) -> Request<upstream::Body> {
        let mut request = Request::new(upstream::Body::Right(self.message.body.body()));
        *request.method_mut() = self.message.method.clone();
        *request.uri_mut() = self.message.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        header::copy(&self.message.headers, headers);
        headers.remove(http::header::AUTHORIZATION);
        let remaining = attempt.deadline.since(clock::now()).as_millis();
        header::insert(headers, header::TIMEOUT, &remaining.to_string());
        let host = attempt.target.address.to_string();
        header::insert(headers, "host", &host);
        header::insert(headers, header::ATTEMPT, &attempt.id.to_string());
        header::insert(headers, header::REQUEST, &self.request_id);
        header::insert(headers, trace::HEADER, &hop.header());
        if let Some(event) = &attempt.resume {
            header::insert(headers, header::LAST_EVENT, event);
        }
        request
    }

    /// Returns the head of the response to the caller: the target's without hop-by-hop headers,
    /// plus the headers of this router.
    fn build_head(
        &self,
        attempt: &Attempt,
        target: http::response::Parts,
    ) -> http::response::Parts {
        let mut response = Response::new(());
        *response.status_mut() = target.status;
        header::copy(&target.headers, response.headers_mut());
        self.insert_ids(response.headers_mut());
        header::insert(
            response.headers_mut(),
            header::TARGET,
            attempt.target.name.as_str(),
        );
        response.into_parts().0
    }

    fn insert_ids(&self, headers: &mut HeaderMap) {
        header::insert(headers, header::REQUEST, &self.request_id);
        header::insert(headers, header::TRACE, &self.hop.trace().to_string());
    }

    /// Reports whether a response belongs to the attempt; one without the attempt header is
    /// accepted.
    fn belongs_to(&self, attempt: &Attempt, headers: &HeaderMap) -> bool {
        let echoed = headers.get(header::ATTEMPT);
        echoed.is_none_or(|echoed| echoed.as_bytes() == attempt.id.to_string().as_bytes())
    }

    fn is_model(&self) -> bool {
        self.service.kind == config::Kind::Model
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

/// Waits for the command to abort `attempt`; a rejection received meanwhile is kept.
async fn aborted(
    commands: &mut mpsc::UnboundedReceiver<Command>,
    rejection: &mut Option<ingress::Rejection>,
    attempt: id::Attempt,
) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Abort { attempt: other } if other == attempt => return,
            Command::Reject(received) => *rejection = Some(received),
            Command::Abort { .. } | Command::Start { .. } => {}
        }
    }
    // The control thread has ended; the response may still be completed.
    std::future::pending().await
}

/// Returns the position to resume from if the attempt delivered nothing: the one it started from.
fn resume_position(attempt: &Attempt) -> ingress::Resume {
    let after = attempt.resume.clone();
    after.map_or(ingress::Resume::Start, ingress::Resume::After)
}

/// Returns the response to a retry whose earlier request has a stored response.
fn stored_response(answer: Answer) -> Response<Body> {
    let mut response = Response::new(full_body(answer.body.into_string()));
    if let Ok(status) = http::StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    let headers = response.headers_mut();
    header::insert(headers, "content-type", &answer.content_type);
    header::insert(headers, header::REPLAYED, "true");
    response
}
