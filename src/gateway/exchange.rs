//! Forwarding of one request: attempts at targets until there is a response for the caller.

use super::{
    Outgoing, Protocol, Reply, State,
    call::Call,
    decisions::{Decision, Decisions},
    record::Record,
    relay::Relay,
    state::Permit,
    submission::Submission,
};
use crate::{
    answer::Meaning,
    catalog, clock,
    dispatch::{Estimate, Event, Outcome, Prompt, Reason, Refusal},
    front::{Body, Problem, full_body, header},
    id,
    memory::Charge,
    metric,
    routing::Kind,
    unit::{Span, Time},
    upstream,
};
use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::sync::Notify;

/// Maximum idle time of a connection reused for a request that may run at most once. A target may
/// have closed an older connection unnoticed; sending on it would leave the outcome unknown.
const AT_MOST_ONCE_MAX_IDLE: Span = Span::from_millis(1_000);
/// Maximum size of a response that is buffered completely before the caller gets any of it.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Maximum size of the body of a refusal, and the time for which it is awaited so that the connection can
/// be reused; the next target needn't wait for it.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
const REFUSAL_TIMEOUT: Span = Span::from_millis(50);
/// Maximum number of informational responses (1xx) before a response; targets have no use for more than
/// one or two.
const MAX_INFORMATIONAL: u32 = 16;
/// `Retry-After` of a request that was not run before its deadline.
const DEADLINE_RETRY_AFTER: Span = Span::from_millis(1_000);

/// Cause of the failure of a response that [`Exchange::is_cut_short`].
pub(super) const CUT_SHORT: &str = "the connection ended before the request was sent";

/// Media type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Time for which a silent target is kept while the next one has not responded yet. Two targets must
/// not work on one request for longer.
pub(super) const HANDOVER: Span = Span::from_millis(300);

/// Dependencies shared by all exchanges.
pub(super) struct Context {
    pub(super) state: Arc<State>,
    pub(super) protocol: Arc<dyn Protocol>,
    pub(super) pool: upstream::Pool,
}

/// A request being forwarded, registered with the dispatcher.
pub(super) struct Exchange {
    pub(super) call: Call,
    pub(super) submission: Submission,
    pub(super) context: Arc<Context>,
    _permit: Permit,
    /// Number of targets that may have run the request.
    runs: AtomicU32,
    /// Whether the result was counted and logged; if not, the caller disconnected.
    finished: bool,
    first_byte: Option<Span>,
}

/// A target's response whose head was received and whose body is still to be read.
pub(super) struct Transfer {
    pub(super) target: id::Target,
    pub(super) build: id::Build,
    pub(super) sent: Time,
    /// Time at which the head was received.
    pub(super) head_received: Time,
    pub(super) meaning: Meaning,
    pub(super) head: response::Parts,
    pub(super) reply: Reply,
    pub(super) body: Incoming,
    pub(super) lease: upstream::Lease,
}

impl Transfer {
    /// Reports whether the response says that it is a stream of events.
    pub(super) fn is_event_stream(&self) -> bool {
        let media_type = self.head.headers.get(http::header::CONTENT_TYPE);
        let media_type = media_type.and_then(|value| value.to_str().ok());
        let media_type = media_type.and_then(|value| value.split(';').next());
        media_type.is_some_and(|value| value.trim().eq_ignore_ascii_case(EVENT_STREAM))
    }

    /// Reports whether the end of the response is marked, by a length or by chunks. It ends with its
    /// connection otherwise.
    pub(super) fn is_framed(&self) -> bool {
        is_framed(&self.head)
    }
}

/// Successful start of a response.
enum Fetched {
    /// A stream of events, of which nothing was read.
    Stream(Transfer),
    /// Another response, with the bytes that were read and whether these are all.
    Buffered((Transfer, Bytes, bool)),
}

/// How a request ends without a target's response.
enum End {
    /// The dispatcher refused it; the last target's own error response, if there is one, comes first.
    Refused(Option<Response<Body>>, Refusal),
    /// Its deadline passed.
    Expired,
}

/// An attempt that gave no response for the caller.
pub(super) struct Failure {
    pub(super) target: id::Target,
    pub(super) sent: Time,
    /// Time at which the head of the response was received.
    pub(super) head_received: Option<Time>,
    pub(super) outcome: Outcome,
    pub(super) cause: Box<str>,
    /// The target's own error response, which the caller gets if there is no further attempt.
    error_response: Option<Response<Body>>,
}

impl Exchange {
    pub(super) fn new(
        call: Call,
        submission: Submission,
        context: Arc<Context>,
        permit: Permit,
    ) -> Self {
        Self {
            call,
            submission,
            context,
            _permit: permit,
            runs: AtomicU32::new(0),
            finished: false,
            first_byte: None,
        }
    }

    /// Sends the request to targets until there is a response for the caller.
    pub(super) async fn run(self, mut decisions: Decisions) -> Response<Body> {
        match self.obtain(&mut decisions).await {
            Ok(Fetched::Stream(transfer)) => self.relay(transfer, decisions),
            Ok(Fetched::Buffered(buffered)) => self.respond(buffered, decisions),
            Err(End::Refused(error_response, refusal)) => {
                self.respond_refused(error_response, &refusal)
            }
            Err(End::Expired) => self.respond_timeout(),
        }
    }

    /// Follows the dispatcher's decisions until a target responds.
    async fn obtain(&self, decisions: &mut Decisions) -> Result<Fetched, End> {
        let mut error_response = None;
        loop {
            let estimate = match self.decide(decisions).await {
                Some(Decision::Send(estimate)) => estimate,
                Some(Decision::Refuse(refusal)) => {
                    return Err(End::Refused(error_response, refusal));
                }
                None => return Err(End::Expired),
            };
            match self.fetch_or_move(estimate, decisions).await? {
                Ok(fetched) => return Ok(fetched),
                Err(failure) => error_response = self.end_attempt(failure, true),
            }
        }
    }

    /// Sends the request to a target, and to further ones if the dispatcher moves it. A silent
    /// target is left when the next one responds, but at the latest after [`HANDOVER`].
    async fn fetch_or_move(
        &self,
        mut estimate: Estimate,
        decisions: &mut Decisions,
    ) -> Result<Result<Fetched, Failure>, End> {
        let mut sent = clock::now();
        let mut current = Box::pin(self.fetch_in_time(estimate.clone()));
        loop {
            let decision = tokio::select! {
                biased;
                decision = decisions.next() => decision,
                fetched = &mut current => return fetched,
            };
            let next = match decision {
                Decision::Send(next) => next,
                Decision::Refuse(refusal) => return Err(End::Refused(None, refusal)),
            };
            let next_sent = clock::now();
            let mut other = Box::pin(self.fetch_in_time(next.clone()));
            tokio::select! {
                biased;
                fetched = &mut current => {
                    let Ok(Err(failure)) = fetched else {
                        self.report_return(Outcome::Cancelled);
                        return fetched;
                    };
                    self.record_failure(&failure);
                }
                fetched = &mut other => {
                    if let Ok(Err(failure)) = &fetched {
                        self.record_failure(failure);
                        self.report_return(failure.outcome);
                        continue;
                    }
                    self.record_failure(&Failure::moved(&estimate.target, sent));
                    return fetched;
                }
                () = tokio::time::sleep(Duration::from(HANDOVER)) => {
                    self.record_failure(&Failure::moved(&estimate.target, sent));
                }
            }
            (estimate, sent, current) = (next, next_sent, other);
        }
    }

    /// Reports that a request that was moved goes on at its former target.
    pub(super) fn report_return(&self, outcome: Outcome) {
        let number = self.call.number;
        self.submission.report(Event::Returned { number, outcome });
    }

    /// Waits for the dispatcher's decision; returns `None` if the deadline passes.
    pub(super) async fn decide(&self, decisions: &mut Decisions) -> Option<Decision> {
        let remaining = Duration::from(self.call.remaining(clock::now()));
        let decision = tokio::time::timeout(remaining, decisions.next()).await;
        decision.ok()
    }

    /// Logs a failed attempt and reports it to the dispatcher; returns the target's error response.
    pub(super) fn end_attempt(&self, failure: Failure, can_retry: bool) -> Option<Response<Body>> {
        self.record_failure(&failure);
        self.submission.report(Event::Ended {
            number: self.call.number,
            outcome: failure.outcome,
            can_retry,
        });
        failure.error_response
    }

    /// Sends the request to a target until the deadline.
    async fn fetch_in_time(&self, estimate: Estimate) -> Result<Result<Fetched, Failure>, End> {
        let remaining = Duration::from(self.call.remaining(clock::now()));
        let fetched = tokio::time::timeout(remaining, self.fetch(&estimate)).await;
        fetched.map_err(|_| End::Expired)
    }

    /// Sends the request to a target, and buffers a response that is not a stream.
    async fn fetch(&self, estimate: &Estimate) -> Result<Fetched, Failure> {
        let transfer = self.attempt(estimate).await?;
        // No other target continues the body of a rejection.
        if self.call.route.kind.is_stream() && transfer.meaning == Meaning::Success {
            return Ok(Fetched::Stream(transfer));
        }
        self.buffer(transfer).await.map(Fetched::Buffered)
    }

    /// Sends the request to a target and waits for the head of the response.
    pub(super) async fn attempt(&self, estimate: &Estimate) -> Result<Transfer, Failure> {
        let sent = clock::now();
        let failure = |outcome, cause: &dyn std::fmt::Display| Failure {
            target: estimate.target.clone(),
            sent,
            head_received: None,
            outcome,
            cause: cause.to_string().into(),
            error_response: None,
        };
        let Some(target) = self.context.state.target(&estimate.target) else {
            return Err(failure(Outcome::Unsent, &"the target is no longer listed"));
        };
        // Its entry may have changed since the decision.
        let begun = self.call.build.as_ref().unwrap_or(&estimate.build);
        if target.build != *begun || target.build != estimate.build {
            let cause = format!(
                "the target runs build {}, the stream needs {begun}",
                target.build
            );
            return Err(failure(Outcome::NotRun, &cause));
        }
        let run = catalog::Run::from(&target);
        let mut max_idle = Some(match self.call.route.kind {
            Kind::Once => AT_MOST_ONCE_MAX_IDLE,
            _ => Span(u64::MAX),
        });
        let (response, lease) = loop {
            let leased = self
                .context
                .pool
                .lease_fresh(target.address, max_idle)
                .await;
            let mut lease = leased.map_err(|error| failure(Outcome::Unsent, &error))?;
            if !self.submission.driver().admits(self.call.number, &run) {
                let cause = "the target stopped taking requests while it was connected to";
                return Err(failure(Outcome::Unsent, &cause));
            }
            let reused = if lease.is_reused() { "yes" } else { "no" };
            metrics::counter!(metric::CONNECTIONS, "reused" => reused).increment(1);
            let mut request = self.target_request(estimate);
            let informational = limit_informational(&mut request);
            self.runs.fetch_add(1, Ordering::Relaxed);
            let sending = lease.try_send(request);
            let sent = tokio::select! {
                biased;
                () = informational.notified() => {
                    let cause = format!("more than {MAX_INFORMATIONAL} informational responses");
                    return Err(failure(Outcome::Malformed, &cause));
                }
                sent = sending => sent,
            };
            match sent {
                Ok(response) => break (response, lease),
                Err(mut error) => {
                    // hyper hands the request back if no byte of it was sent.
                    let unsent = error.take_message().is_some();
                    if !unsent {
                        return Err(failure(outcome_of(error.error()), error.error()));
                    }
                    self.runs.fetch_sub(1, Ordering::Relaxed);
                    if !lease.is_reused() {
                        return Err(failure(Outcome::Unsent, error.error()));
                    }
                    max_idle = None;
                }
            }
        };
        let (head, body) = response.into_parts();
        let reply = self
            .context
            .protocol
            .parse_response(head.status, &head.headers);
        self.report_notices(&run, &reply);
        let own_id = &self.call.head.request_id;
        let crossed = match &reply.request_id {
            Some(id) if id != own_id => Some("the response belongs to another request"),
            // It may be a late copy of the response before.
            None if lease.is_reused() && !own_id.is_empty() => {
                Some("the response on a reused connection names no request")
            }
            Some(_) | None => None,
        };
        if let Some(cause) = crossed {
            metrics::counter!(metric::CROSSED).increment(1);
            return Err(failure(Outcome::Malformed, &cause));
        }
        let meaning =
            Meaning::of(head.status).map_err(|fault| failure(Outcome::Malformed, &fault))?;
        self.report_limit(run, sent, &reply);
        if reply.not_run {
            self.runs.fetch_sub(1, Ordering::Relaxed);
            let cause = format!("the target refused the request with status {}", head.status);
            let body = Limited::new(body, MAX_REFUSAL_BYTES).collect();
            let body = tokio::time::timeout(Duration::from(REFUSAL_TIMEOUT), body).await;
            if let Ok(Ok(_)) = body {
                release(lease, &reply);
            }
            return Err(failure(Outcome::NotRun, &cause));
        }
        if !reply.signed || reply.encoded {
            let cause = format!(
                "the response with status {} is unsigned or has a content encoding",
                head.status
            );
            return Err(failure(Outcome::Malformed, &cause));
        }
        let transfer = Transfer {
            target: estimate.target.clone(),
            build: target.build,
            sent,
            head_received: clock::now(),
            meaning,
            head,
            reply,
            body,
            lease,
        };
        if transfer.meaning == Meaning::Failure {
            return Err(self.read_error_response(transfer).await);
        }
        Ok(transfer)
    }

    /// Reports what a target announced about itself in a response.
    fn report_notices(&self, run: &catalog::Run, reply: &Reply) {
        let number = self.call.number;
        match &reply.pause {
            Some(Ok(asked)) => self.submission.report(Event::Paused {
                number,
                run: run.clone(),
                asked: *asked,
            }),
            Some(Err(value)) => {
                let record = Record::InvalidPause {
                    request: &self.call.head.request_id,
                    target: &run.target,
                    value,
                };
                record.write(self.submission.driver().log());
            }
            None => {}
        }
        if reply.leaving {
            let run = run.clone();
            self.submission.report(Event::Leaving { number, run });
        }
    }

    /// Reports what a response to this request says of its target's limit.
    fn report_limit(&self, run: catalog::Run, sent: Time, reply: &Reply) {
        let is_of_target = reply.expected && (reply.signed || reply.not_run);
        if !is_of_target {
            return;
        }
        let limit = match &reply.limit {
            Some(Ok(limit)) => Some(*limit),
            Some(Err(value)) => {
                let driver = self.submission.driver();
                if driver.count_unreadable() {
                    let record = Record::InvalidLimit {
                        request: &self.call.head.request_id,
                        target: &run.target,
                        value,
                    };
                    record.write(driver.log());
                }
                None
            }
            None => None,
        };
        self.submission.report(Event::LimitRead {
            number: self.call.number,
            run,
            sent,
            limit,
        });
    }

    /// Reads the body of a server error (5xx) and returns the failed attempt.
    async fn read_error_response(&self, transfer: Transfer) -> Failure {
        let (target, sent) = (transfer.target.clone(), transfer.sent);
        let head_received = Some(transfer.head_received);
        let status = transfer.head.status;
        let failure = |outcome, cause: String, error_response| Failure {
            target,
            sent,
            head_received,
            outcome,
            cause: cause.into(),
            error_response,
        };
        let body = Limited::new(transfer.body, MAX_BUFFERED_BYTES);
        match body.collect().await {
            Ok(_) if self.is_cut_short(&transfer.head, &transfer.lease) => {
                failure(Outcome::Broken, CUT_SHORT.into(), None)
            }
            Ok(body) => {
                release(transfer.lease, &transfer.reply);
                let mut response = Response::new(full_body(body.to_bytes()));
                *response.status_mut() = status;
                header::copy(&transfer.head.headers, response.headers_mut());
                let cause = format!("the target failed with status {status}");
                failure(Outcome::Failed, cause, Some(response))
            }
            Err(error) => failure(outcome_of_body(&*error), error.to_string(), None),
        }
    }

    /// Buffers a response that is not a stream, up to [`MAX_BUFFERED_BYTES`] and as far as there is memory for
    /// it; the flag tells whether it is complete.
    async fn buffer(&self, mut transfer: Transfer) -> Result<(Transfer, Bytes, bool), Failure> {
        let mut buffered = BytesMut::new();
        let mut charge = None::<Charge>;
        let mut room = 0;
        while buffered.len() <= MAX_BUFFERED_BYTES {
            match transfer.body.frame().await {
                Some(Ok(frame)) => {
                    buffered.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                    if buffered.len() > room {
                        // Twice as much as before, like the buffer itself.
                        let more = buffered.len().max(2 * room) - room;
                        let Some(further) = self.call.account.try_hold(more as u64) else {
                            break;
                        };
                        room += more;
                        match &mut charge {
                            Some(charge) => charge.merge(further),
                            None => charge = Some(further),
                        }
                    }
                }
                Some(Err(error)) => {
                    let outcome = outcome_of(&error);
                    return Err(Failure::broken(&transfer, outcome, &error.to_string()));
                }
                None if self.is_cut_short(&transfer.head, &transfer.lease) => {
                    return Err(Failure::broken(&transfer, Outcome::Broken, CUT_SHORT));
                }
                None => return Ok((transfer, keep(charge, buffered), true)),
            }
        }
        Ok((transfer, keep(charge, buffered), false))
    }

    /// Returns the response for the caller, if it is not a stream of events.
    fn respond(
        mut self,
        (transfer, buffered, complete): (Transfer, Bytes, bool),
        decisions: Decisions,
    ) -> Response<Body> {
        self.record_start();
        let mut response = Response::new(());
        *response.status_mut() = transfer.head.status;
        header::copy(&transfer.head.headers, response.headers_mut());
        if !complete {
            let length = transfer.head.headers.get(http::header::CONTENT_LENGTH);
            if let Some(length) = length.cloned() {
                response
                    .headers_mut()
                    .insert(http::header::CONTENT_LENGTH, length);
            }
            let relay = Relay::bytes(self, transfer, buffered, decisions);
            return response.map(|()| relay.into_body());
        }
        self.record_completion(&transfer.target, transfer.head.status, Span(0));
        let length = transfer.head.headers.get(http::header::CONTENT_LENGTH);
        if self.call.method == Method::HEAD
            && let Some(length) = length.cloned()
        {
            response
                .headers_mut()
                .insert(http::header::CONTENT_LENGTH, length);
        }
        release(transfer.lease, &transfer.reply);
        response.map(|()| full_body(buffered))
    }

    /// Returns the response for the caller, if it is a stream of events.
    fn relay(self, transfer: Transfer, decisions: Decisions) -> Response<Body> {
        let mut response = Response::new(());
        *response.status_mut() = transfer.head.status;
        header::copy(&transfer.head.headers, response.headers_mut());
        let relay = Relay::events(self, transfer, decisions);
        response.map(|()| relay.into_body())
    }

    /// Records that a target's response started: the first event of a stream, or the buffered part
    /// of another response. To be called once for each target.
    pub(super) fn record_start(&mut self) {
        self.submission.report(Event::ResponseStarted {
            number: self.call.number,
        });
        if self.first_byte.is_some() {
            return;
        }
        let first_byte = clock::now().since(self.call.arrived);
        self.first_byte = Some(first_byte);
        let service = self.call.service.to_string();
        metrics::histogram!(metric::FIRST_BYTE, "service" => service)
            .record(first_byte.as_secs_f64());
    }

    /// Binds the stream to the build of the target whose first event the caller gets.
    pub(super) fn record_stream(&mut self, build: &id::Build) {
        if self.call.build.is_some() {
            return;
        }
        self.call.build = Some(build.clone());
        self.submission.report(Event::StreamBegun {
            number: self.call.number,
            build: build.clone(),
        });
    }

    /// Records that a target's response was received completely, with the longest pause in it.
    pub(super) fn record_completion(
        &mut self,
        target: &id::Target,
        status: StatusCode,
        longest_pause: Span,
    ) {
        self.finished = true;
        self.submission.report(Event::Ended {
            number: self.call.number,
            outcome: Outcome::Answered,
            can_retry: false,
        });
        self.count_result("answered");
        let record = Record::Completed {
            request: &self.call.head.request_id,
            workspace: self.call.workspace.as_ref(),
            route: &self.call.route.name,
            target,
            status: status.as_u16(),
            first_byte: self.first_byte.unwrap_or_default(),
            longest_pause,
            elapsed: self.elapsed(),
        };
        record.write(self.submission.driver().log());
    }

    /// Records how an attempt failed.
    pub(super) fn record_failure(&self, failure: &Failure) {
        let now = clock::now();
        let prompt = self.call.head.prompt.as_ref();
        let record = Record::Failed {
            request: &self.call.head.request_id,
            target: &failure.target,
            outcome: failure.outcome,
            cause: &failure.cause,
            elapsed: now.since(failure.sent),
            since_head: failure.head_received.map(|at| now.since(at)),
            // A connection that ended may be a crash, and a part of the prompt its cause.
            parts: prompt
                .filter(|_| failure.outcome == Outcome::Broken)
                .map_or(&[], Prompt::shared_parts),
        };
        record.write(self.submission.driver().log());
        let outcome = failure.outcome.to_string();
        metrics::counter!(metric::RUN_FAILURES, "end" => outcome).increment(1);
    }

    /// Records that a response was broken off after its start.
    pub(super) fn record_truncation(
        &mut self,
        cause: &str,
        not_resumed: &str,
        events: u64,
        silent: Span,
    ) {
        self.finished = true;
        self.count_result("cut");
        let record = Record::Truncated {
            request: &self.call.head.request_id,
            cause,
            not_resumed,
            events,
            build: self.call.build.as_ref(),
            silent,
            elapsed: self.elapsed(),
            remaining: self.call.remaining(clock::now()),
            version: self.context.state.table().version,
        };
        record.write(self.submission.driver().log());
    }

    /// Reports whether a response that was read to its end may lack a part. It ended with its connection while
    /// the request was being sent; what follows such an end may be a reset.
    pub(super) fn is_cut_short(&self, head: &response::Parts, lease: &upstream::Lease) -> bool {
        let has_no_body = self.call.method == Method::HEAD
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        lease.ended_unsent() && !is_framed(head) && !has_no_body
    }

    fn may_have_run(&self) -> bool {
        self.runs.load(Ordering::Relaxed) > 0
    }

    fn count_result(&self, result: &'static str) {
        let service = self.call.service.to_string();
        metrics::counter!(metric::RESULTS, "service" => service, "result" => result).increment(1);
    }

    fn elapsed(&self) -> Span {
        clock::now().since(self.call.arrived)
    }

    /// Responds to a request that the dispatcher refused: with the last target's own error response
    /// if there is one.
    fn respond_refused(
        mut self,
        error_response: Option<Response<Body>>,
        refusal: &Refusal,
    ) -> Response<Body> {
        let may_have_run = self.may_have_run() || refusal.may_have_run;
        if let Some(response) = error_response {
            let reason = refusal.reason.to_string();
            self.record_refusal(
                response.status(),
                &reason,
                may_have_run,
                Span(0),
                Some(refusal),
            );
            return response;
        }
        let reason = refusal.reason.to_string();
        let after = refusal.retry_after;
        self.reject(
            StatusCode::BAD_GATEWAY,
            &reason,
            may_have_run,
            after,
            Some(refusal),
        )
    }

    /// Responds to a request whose deadline passed.
    fn respond_timeout(mut self) -> Response<Body> {
        let may_have_run = self.may_have_run();
        let reason = "the request deadline passed";
        self.reject(
            StatusCode::GATEWAY_TIMEOUT,
            reason,
            may_have_run,
            DEADLINE_RETRY_AFTER,
            None,
        )
    }

    /// Refuses a request; `unknown_status` is the status for one that may have run.
    fn reject(
        &mut self,
        unknown_status: StatusCode,
        reason: &str,
        may_have_run: bool,
        retry_after: Span,
        refusal: Option<&Refusal>,
    ) -> Response<Body> {
        let problem = if may_have_run {
            Problem::unknown(unknown_status, reason)
        } else {
            Problem::not_run(reason, retry_after)
        };
        let problem = problem.after((!may_have_run).then_some(retry_after));
        // The caller's next request on this connection would come to this router, too.
        let closes = refusal.is_some_and(|refusal| refusal.reason == Reason::Shutdown);
        let problem = if closes { problem.closing() } else { problem };
        let response = problem.response();
        self.record_refusal(
            response.status(),
            reason,
            may_have_run,
            retry_after,
            refusal,
        );
        response
    }

    fn record_refusal(
        &mut self,
        status: StatusCode,
        reason: &str,
        may_have_run: bool,
        retry_after: Span,
        refusal: Option<&Refusal>,
    ) {
        self.finished = true;
        self.count_result(if may_have_run { "unknown" } else { "not-run" });
        if !self.submission.driver().count_refusal() {
            return;
        }
        let record = Record::Refused {
            request: &self.call.head.request_id,
            workspace: self.call.workspace.as_ref(),
            status: status.as_u16(),
            reason,
            may_have_run,
            retry_after,
            elapsed: self.elapsed(),
            refusal,
        };
        record.write(self.submission.driver().log());
    }

    /// Builds the request for the target.
    fn target_request(&self, estimate: &Estimate) -> Request<upstream::Body> {
        let call = &self.call;
        let mut request = Request::new(upstream::Body::Right(call.body.body()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        header::copy(&call.headers, request.headers_mut());
        let outgoing = Outgoing {
            target: &estimate.target,
            workspace: call.workspace.as_ref(),
            remaining: call.remaining(clock::now()),
            source: estimate.source.as_ref().map(|source| source.address),
            last_event_id: call.head.last_event_id.as_deref(),
        };
        self.context
            .protocol
            .rewrite_request(request.headers_mut(), &outgoing);
        request
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.finished {
            self.count_result("left");
            let record = Record::Disconnected {
                request: &self.call.head.request_id,
                elapsed: self.elapsed(),
            };
            record.write(self.submission.driver().log());
        }
    }
}

/// Reports whether the end of a response is marked, by a length or by chunks.
fn is_framed(head: &response::Parts) -> bool {
    let framing = [
        http::header::CONTENT_LENGTH,
        http::header::TRANSFER_ENCODING,
    ];
    framing.iter().any(|name| head.headers.contains_key(name))
}

/// Returns what is notified if the response to a request is preceded by too many informational ones.
fn limit_informational(request: &mut Request<upstream::Body>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let (count, notified) = (AtomicU32::new(0), exceeded.clone());
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            notified.notify_one();
        }
    });
    exceeded
}

/// Returns bytes together with what is held for them.
fn keep(charge: Option<Charge>, bytes: BytesMut) -> Bytes {
    let bytes = bytes.freeze();
    match charge {
        Some(charge) => charge.keep(bytes),
        None => bytes,
    }
}

/// Returns whether a connection ended early or its target sent something that isn't a response.
pub(super) fn outcome_of(error: &hyper::Error) -> Outcome {
    let cause = std::error::Error::source(error);
    let cause = cause.and_then(|cause| cause.downcast_ref::<io::Error>());
    let kind = cause.map(io::Error::kind);
    let is_malformed = matches!(
        kind,
        Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData)
    );
    if error.is_parse() || is_malformed {
        Outcome::Malformed
    } else {
        Outcome::Broken
    }
}

/// The same for a body that was read up to a limit.
fn outcome_of_body(error: &(dyn std::error::Error + Send + Sync + 'static)) -> Outcome {
    let cause = error.downcast_ref::<hyper::Error>();
    cause.map_or(Outcome::Malformed, outcome_of)
}

/// Returns a connection to the pool after its response was read completely, unless the target closes it.
pub(super) fn release(lease: upstream::Lease, reply: &Reply) {
    match reply.keep_alive {
        _ if reply.closes => lease.close(),
        Some(keep_alive) => lease.release_for(keep_alive),
        None => lease.release(),
    }
}

impl Failure {
    /// Creates the failure of a response whose head was received.
    pub(super) fn broken(transfer: &Transfer, outcome: Outcome, cause: &str) -> Self {
        Self {
            target: transfer.target.clone(),
            sent: transfer.sent,
            head_received: Some(transfer.head_received),
            outcome,
            cause: cause.into(),
            error_response: None,
        }
    }

    /// Creates the failure of a silent target whose request was moved to another one.
    pub(super) fn moved(target: &id::Target, sent: Time) -> Self {
        Self {
            target: target.clone(),
            sent,
            head_received: None,
            outcome: Outcome::Silent,
            cause: "silent; another target takes the request".into(),
            error_response: None,
        }
    }
}
