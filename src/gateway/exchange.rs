//! Forwarding of one request: attempts at targets until there is a response for the client.

use super::{
    Dialect, Fleet, Outgoing, Reply, call::Call, fleet::Carried, logbook::Entry, relay::Relay,
    ticket::Ticket,
};
use crate::{
    clock,
    dispatch::{Estimate, Event, Outcome, Refusal},
    front::{Body, Problem, header, whole},
    id, metric,
    routing::Kind,
    unit::{Span, Time},
    upstream,
};
use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::{sync::Arc, time::Duration};

/// Maximum idle time of a connection reused for a request that may run at most once. A target may
/// have closed an older connection unnoticed; sending on it would leave the outcome unknown.
const ONCE_MAX_IDLE: Span = Span::from_millis(1_000);
/// Maximum size of a response that is buffered completely before the client gets any of it.
const MAX_WHOLE_BYTES: usize = 256 << 10;
/// `Retry-After` of a request that was not run before its deadline.
const EXPIRED_RETRY: Span = Span::from_millis(1_000);

/// Dependencies shared by all exchanges.
pub(super) struct Shared {
    pub(super) fleet: Arc<Fleet>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) pool: upstream::Pool,
}

/// A request being forwarded, with its registration at the dispatcher.
pub(super) struct Exchange {
    pub(super) call: Call,
    pub(super) ticket: Ticket,
    pub(super) shared: Arc<Shared>,
    _carried: Carried,
    /// Whether a target may have run the request.
    ran: bool,
    /// Whether the result was counted and logged; if not, the client disconnected.
    finished: bool,
    first: Option<Span>,
}

/// A target's response whose head was received and whose body is still to be read.
pub(super) struct Begun {
    pub(super) target: id::Target,
    pub(super) sent: Time,
    pub(super) head: response::Parts,
    pub(super) reply: Reply,
    pub(super) body: Incoming,
    pub(super) lease: upstream::Lease,
}

/// An attempt that gave no response for the client.
pub(super) struct Failed {
    pub(super) target: id::Target,
    pub(super) sent: Time,
    pub(super) end: Outcome,
    pub(super) cause: Box<str>,
    /// The target's own error response, which the client gets if there is no further attempt.
    answer: Option<Response<Body>>,
}

impl Exchange {
    pub(super) fn new(call: Call, ticket: Ticket, shared: Arc<Shared>, carried: Carried) -> Self {
        Self {
            call,
            ticket,
            shared,
            _carried: carried,
            ran: false,
            finished: false,
            first: None,
        }
    }

    /// Sends the request to targets until there is a response for the client.
    pub(super) async fn run(mut self) -> Response<Body> {
        let mut failure = None;
        loop {
            let left = Duration::from(self.call.remaining(clock::now()));
            let decision = tokio::time::timeout(left, self.ticket.decision()).await;
            let estimate = match decision {
                Ok(Some(Ok((estimate, _)))) => estimate,
                Ok(Some(Err(refusal))) => return self.give_up(failure, &refusal),
                Ok(None) | Err(_) => return self.expire(),
            };
            let left = Duration::from(self.call.remaining(clock::now()));
            let attempt = tokio::time::timeout(left, self.attempt(&estimate)).await;
            let Ok(attempt) = attempt else {
                return self.expire();
            };
            let failed = match attempt {
                Ok(begun) if self.call.route.kind.is_stream() => return self.stream(begun),
                Ok(begun) => {
                    let left = Duration::from(self.call.remaining(clock::now()));
                    match tokio::time::timeout(left, self.gather(begun)).await {
                        Ok(Ok(gathered)) => return self.deliver(gathered),
                        Ok(Err(failed)) => failed,
                        Err(_) => return self.expire(),
                    }
                }
                Err(failed) => failed,
            };
            self.note_end(&failed);
            failure = failed.answer;
            self.ticket.tell(Event::Ended {
                number: self.call.number,
                outcome: failed.end,
                can_retry: true,
            });
        }
    }

    /// Sends the request to a target and waits for the head of the response.
    pub(super) async fn attempt(&mut self, estimate: &Estimate) -> Result<Begun, Failed> {
        let sent = clock::now();
        let failed = |end, cause: &dyn std::fmt::Display| Failed {
            target: estimate.target.clone(),
            sent,
            end,
            cause: cause.to_string().into(),
            answer: None,
        };
        let Some(target) = self.shared.fleet.target(&estimate.target) else {
            return Err(failed(Outcome::Unsent, &"the target is no longer listed"));
        };
        let mut most_idle = Some(match self.call.route.kind {
            Kind::Once => ONCE_MAX_IDLE,
            _ => Span(u64::MAX),
        });
        let ran_before = self.ran;
        let (response, lease) = loop {
            let leased = self
                .shared
                .pool
                .lease_fresh(target.address, most_idle)
                .await;
            let mut lease = leased.map_err(|error| failed(Outcome::Unsent, &error))?;
            let reused = if lease.is_reused() { "yes" } else { "no" };
            metrics::counter!(metric::CONNECTIONS, "reused" => reused).increment(1);
            let request = self.request(&estimate.target);
            self.ran = true;
            let answered = tokio::select! {
                answered = lease.sender.try_send_request(request) => answered,
                () = self.ticket.abandoned() => {
                    return Err(failed(Outcome::Silent, &"no response within the expected time"));
                }
            };
            match answered {
                Ok(response) => break (response, lease),
                Err(mut error) => {
                    // hyper hands the request back if no byte of it was sent.
                    let unsent = error.take_message().is_some();
                    if !unsent {
                        return Err(failed(Outcome::Broken, error.error()));
                    }
                    self.ran = ran_before;
                    if !lease.is_reused() {
                        return Err(failed(Outcome::Unsent, error.error()));
                    }
                    most_idle = None;
                }
            }
        };
        let (head, body) = response.into_parts();
        let reply = self.shared.dialect.reply(head.status, &head.headers);
        let own = reply
            .request
            .as_ref()
            .is_none_or(|name| *name == self.call.head.request);
        if !own {
            metrics::counter!(metric::CROSSED).increment(1);
            return Err(failed(
                Outcome::Broken,
                &"the response belongs to another request",
            ));
        }
        if reply.not_run {
            self.ran = ran_before;
            let cause = format!("the target refused the request with status {}", head.status);
            if body.collect().await.is_ok() {
                release(lease, &reply);
            }
            return Err(failed(Outcome::NotRun, &cause));
        }
        if !reply.signed || reply.encoded {
            let cause = format!(
                "the response with status {} is unsigned or has a content encoding",
                head.status
            );
            return Err(failed(Outcome::Broken, &cause));
        }
        let begun = Begun {
            target: estimate.target.clone(),
            sent,
            head,
            reply,
            body,
            lease,
        };
        if begun.head.status.is_server_error() {
            return Err(self.fail(begun).await);
        }
        Ok(begun)
    }

    /// Reads the body of a server error (5xx) and returns the failed attempt.
    async fn fail(&self, begun: Begun) -> Failed {
        let (target, sent) = (begun.target.clone(), begun.sent);
        let status = begun.head.status;
        let failed = |end, cause: String, answer| Failed {
            target,
            sent,
            end,
            cause: cause.into(),
            answer,
        };
        match begun.body.collect().await {
            Ok(body) => {
                release(begun.lease, &begun.reply);
                let mut response = Response::new(whole(body.to_bytes()));
                *response.status_mut() = status;
                header::copy(&begun.head.headers, response.headers_mut());
                let cause = format!("the target failed with status {status}");
                failed(Outcome::Failed, cause, Some(response))
            }
            Err(error) => failed(Outcome::Broken, error.to_string(), None),
        }
    }

    /// Buffers a response that is not a stream, up to [`MAX_WHOLE_BYTES`]; the flag tells whether
    /// it is complete.
    async fn gather(&mut self, mut begun: Begun) -> Result<(Begun, Bytes, bool), Failed> {
        let mut gathered = BytesMut::new();
        while gathered.len() <= MAX_WHOLE_BYTES {
            match begun.body.frame().await {
                Some(Ok(frame)) => {
                    gathered.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                }
                Some(Err(error)) => {
                    return Err(Failed {
                        target: begun.target,
                        sent: begun.sent,
                        end: Outcome::Broken,
                        cause: error.to_string().into(),
                        answer: None,
                    });
                }
                None => return Ok((begun, gathered.freeze(), true)),
            }
        }
        Ok((begun, gathered.freeze(), false))
    }

    /// Returns the response to the client, where it is not a stream of events.
    fn deliver(mut self, (begun, gathered, complete): (Begun, Bytes, bool)) -> Response<Body> {
        self.note_first();
        let mut response = Response::new(());
        *response.status_mut() = begun.head.status;
        header::copy(&begun.head.headers, response.headers_mut());
        if !complete {
            let length = begun.head.headers.get(http::header::CONTENT_LENGTH);
            if let Some(length) = length.cloned() {
                response
                    .headers_mut()
                    .insert(http::header::CONTENT_LENGTH, length);
            }
            let relay = Relay::bytes(self, begun, gathered);
            return response.map(|()| relay.into_body());
        }
        self.finish(&begun.target, begun.head.status);
        let length = begun.head.headers.get(http::header::CONTENT_LENGTH);
        if self.call.method == Method::HEAD
            && let Some(length) = length.cloned()
        {
            response
                .headers_mut()
                .insert(http::header::CONTENT_LENGTH, length);
        }
        release(begun.lease, &begun.reply);
        response.map(|()| whole(gathered))
    }

    /// Returns a stream of events to the client.
    fn stream(self, begun: Begun) -> Response<Body> {
        let mut response = Response::new(());
        *response.status_mut() = begun.head.status;
        header::copy(&begun.head.headers, response.headers_mut());
        let relay = Relay::events(self, begun);
        response.map(|()| relay.into_body())
    }

    /// Records the arrival of the first event, or of the buffered part of another response.
    pub(super) fn note_first(&mut self) {
        if self.first.is_some() {
            return;
        }
        let first = clock::now().since(self.call.arrived);
        self.first = Some(first);
        let service = self.call.service.to_string();
        metrics::histogram!(metric::FIRST_BYTE, "service" => service).record(first.as_secs_f64());
        self.ticket.tell(Event::ResponseStarted {
            number: self.call.number,
        });
    }

    /// Records that a target's response was received completely.
    pub(super) fn finish(&mut self, target: &id::Target, status: StatusCode) {
        self.finished = true;
        self.ticket.tell(Event::Ended {
            number: self.call.number,
            outcome: Outcome::Answered,
            can_retry: false,
        });
        self.count("answered");
        let entry = Entry::Answered {
            request: &self.call.head.request,
            workspace: self.call.workspace.as_ref(),
            route: &self.call.route.name,
            target,
            status: status.as_u16(),
            first: self.first.unwrap_or_default(),
            after: self.age(),
        };
        entry.write(self.ticket.hub().log());
    }

    /// Records how an attempt failed.
    pub(super) fn note_end(&self, failed: &Failed) {
        let entry = Entry::Ended {
            request: &self.call.head.request,
            target: &failed.target,
            end: failed.end,
            cause: &failed.cause,
            after: clock::now().since(failed.sent),
        };
        entry.write(self.ticket.hub().log());
        let end = failed.end.to_string();
        metrics::counter!(metric::RUN_FAILURES, "end" => end).increment(1);
    }

    /// Records that a response was broken off after its start.
    pub(super) fn cut(&mut self, cause: &str, events: u64) {
        self.finished = true;
        self.count("cut");
        let entry = Entry::Cut {
            request: &self.call.head.request,
            cause,
            events,
            after: self.age(),
        };
        entry.write(self.ticket.hub().log());
    }

    fn count(&self, result: &'static str) {
        let service = self.call.service.to_string();
        metrics::counter!(metric::RESULTS, "service" => service, "result" => result).increment(1);
    }

    fn age(&self) -> Span {
        clock::now().since(self.call.arrived)
    }

    /// Responds to a request that the dispatcher refused: with the last target's own error response
    /// if there is one.
    fn give_up(mut self, failure: Option<Response<Body>>, refusal: &Refusal) -> Response<Body> {
        let ran = self.ran || refusal.maybe_ran;
        if let Some(response) = failure {
            let reason = refusal.reason.to_string();
            self.refused(response.status(), &reason, ran, Span(0), Some(refusal));
            return response;
        }
        let reason = refusal.reason.to_string();
        let after = refusal.retry_after;
        self.refuse(StatusCode::BAD_GATEWAY, &reason, ran, after, Some(refusal))
    }

    /// Responds to a request whose deadline passed.
    fn expire(mut self) -> Response<Body> {
        let ran = self.ran;
        let reason = "the deadline of the request passed";
        self.refuse(
            StatusCode::GATEWAY_TIMEOUT,
            reason,
            ran,
            EXPIRED_RETRY,
            None,
        )
    }

    /// Refuses a request; `doubt` is the status for one that may have run.
    fn refuse(
        &mut self,
        doubt: StatusCode,
        reason: &str,
        ran: bool,
        retry_after: Span,
        refusal: Option<&Refusal>,
    ) -> Response<Body> {
        let problem = if ran {
            Problem::unknown(doubt, reason)
        } else {
            Problem::not_run(reason, retry_after)
        };
        let response = problem.after((!ran).then_some(retry_after)).response();
        self.refused(response.status(), reason, ran, retry_after, refusal);
        response
    }

    fn refused(
        &mut self,
        status: StatusCode,
        reason: &str,
        ran: bool,
        retry_after: Span,
        refusal: Option<&Refusal>,
    ) {
        self.finished = true;
        self.count(if ran { "unknown" } else { "not-run" });
        let entry = Entry::Refused {
            request: &self.call.head.request,
            workspace: self.call.workspace.as_ref(),
            status: status.as_u16(),
            reason,
            ran,
            retry_after,
            after: self.age(),
            refusal,
        };
        entry.write(self.ticket.hub().log());
    }

    /// Builds the request for the target.
    fn request(&self, target: &id::Target) -> Request<Full<Bytes>> {
        let call = &self.call;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        header::copy(&call.headers, request.headers_mut());
        let outgoing = Outgoing {
            target,
            workspace: call.workspace.as_ref(),
            remaining: call.remaining(clock::now()),
            last_event: call.head.last_event.as_deref(),
        };
        self.shared.dialect.write(request.headers_mut(), &outgoing);
        request
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.finished {
            self.count("left");
            let entry = Entry::Left {
                request: &self.call.head.request,
                after: self.age(),
            };
            entry.write(self.ticket.hub().log());
        }
    }
}

/// Returns a connection to the pool after its response was read completely.
pub(super) fn release(lease: upstream::Lease, reply: &Reply) {
    match reply.keep {
        _ if reply.closes => {}
        Some(keep) => lease.release_for(keep),
        None => lease.release(),
    }
}

impl Failed {
    /// Creates the failure of a response whose head was received.
    pub(super) fn broken(begun: &Begun, end: Outcome, cause: &str) -> Self {
        Self {
            target: begun.target.clone(),
            sent: begun.sent,
            end,
            cause: cause.into(),
            answer: None,
        }
    }
}
