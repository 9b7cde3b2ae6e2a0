//! Relays a response from the target to the caller.

use super::{Attempt, Caller, End, Exchange, aborted, header, resume_position};
use crate::{
    answer, clock,
    front::{Answer, Event, full_body},
    ingress,
    memory::Charge,
    unit::{Cost, Span, Time},
    wire::Outcome,
};
use bytes::Bytes;
use http::{Method, Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Maximum size of a response that is buffered completely before it is sent to the caller.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Maximum size of a response that is stored with its idempotency key.
const MAX_STORED_BYTES: usize = 4 << 10;
/// Minimum time between two reports of the cost of a running attempt.
const PROGRESS_PERIOD: Span = Span::from_millis(500);

impl Exchange {
    /// Relays the target's response to the caller: as a stream of events, buffered or chunk by
    /// chunk.
    pub(super) async fn relay(
        &mut self,
        attempt: &Attempt,
        caller: &mut Caller,
        response: Response<Incoming>,
    ) -> End {
        let (head, body) = response.into_parts();
        let length = header::length(&head.headers);
        if self.is_model() && header::is_event_stream(&head.headers) {
            return self.relay_events(attempt, caller, head, body).await;
        }
        if matches!(caller, Caller::Streaming(_)) {
            // The caller received a part of a stream, and this response cannot continue it.
            return self.broken(attempt, resume_position(attempt));
        }
        let has_no_body = self.message.method == Method::HEAD
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        if !has_no_body && answer::check_framing(&head.headers).is_err() {
            return self.broken(attempt, ingress::Resume::Start);
        }
        match length {
            Some(length) if length <= MAX_BUFFERED_BYTES && !self.is_bodyless(head.status) => {
                // Without room, the caller gets the response as it comes.
                match self.account.try_hold(length as u64) {
                    Some(charge) => {
                        self.relay_buffered(attempt, caller, (head, body), charge)
                            .await
                    }
                    None => self.relay_chunks(attempt, caller, head, body).await,
                }
            }
            _ => self.relay_chunks(attempt, caller, head, body).await,
        }
    }

    /// Reports whether a response has no body regardless of its `Content-Length` (RFC 9110, 8.6).
    fn is_bodyless(&self, status: StatusCode) -> bool {
        self.message.method == Method::HEAD || status == StatusCode::NOT_MODIFIED
    }

    /// Buffers the complete response before sending it, so that an interrupted one can be retried.
    async fn relay_buffered(
        &mut self,
        attempt: &Attempt,
        caller: &mut Caller,
        (head, body): (response::Parts, Incoming),
        charge: Charge,
    ) -> End {
        let collected = tokio::select! {
            collected = body.collect() => collected,
            () = caller.disconnected() => return self.cancelled(attempt),
            () = aborted(&mut self.commands, &mut self.rejection, attempt.id) => {
                return self.cancelled(attempt);
            }
        };
        let Ok(collected) = collected else {
            return self.broken(attempt, ingress::Resume::Start);
        };
        let bytes = collected.to_bytes();
        let cost = self.cost(attempt, &bytes);
        let answer = if self.has_key {
            storable_answer(&head, &bytes)
        } else {
            None
        };
        let head = self.build_head(attempt, head);
        let body = full_body(charge.keep(bytes));
        caller.respond(Response::from_parts(head, body));
        End {
            outcome: Outcome::Answered,
            cost,
            resume: ingress::Resume::Never,
            answer,
        }
    }

    /// Forwards a response chunk by chunk.
    async fn relay_chunks(
        &mut self,
        attempt: &Attempt,
        caller: &mut Caller,
        head: response::Parts,
        mut body: Incoming,
    ) -> End {
        let length = head.headers.get(http::header::CONTENT_LENGTH).cloned();
        let mut head = self.build_head(attempt, head);
        if let Some(length) = length {
            head.headers.insert(http::header::CONTENT_LENGTH, length);
        }
        let chunks = caller.begin_stream(head, self.idle_timeout);
        loop {
            let frame = tokio::select! {
                // A caller that has received everything may disconnect before this task sees the
                // end of the body.
                biased;
                () = aborted(&mut self.commands, &mut self.rejection, attempt.id) => {
                    return self.cancelled(attempt);
                }
                frame = body.frame() => frame,
                () = chunks.disconnected() => return self.cancelled(attempt),
            };
            let chunk = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return self.broken(attempt, ingress::Resume::Never),
                None => break,
            };
            if chunks.push(chunk).await.is_err() {
                return self.cancelled(attempt);
            }
        }
        // A caller that knows the length may already have disconnected.
        let _ = chunks.finish().await;
        End {
            outcome: Outcome::Answered,
            cost: self.cost(attempt, &[]),
            resume: ingress::Resume::Never,
            answer: None,
        }
    }

    /// Forwards a model's stream of events; only complete events are sent to the caller.
    async fn relay_events(
        &mut self,
        attempt: &Attempt,
        caller: &mut Caller,
        head: response::Parts,
        mut body: Incoming,
    ) -> End {
        let head = self.build_head(attempt, head);
        let chunks = caller.begin_stream(head, self.idle_timeout);
        let tokens_before = self.stream.tokens();
        if attempt.resume.is_some() {
            self.stream.resume();
        }
        let mut last_report = clock::now();
        loop {
            let frame = tokio::select! {
                // A caller that has received everything may disconnect before this task sees the
                // end of the body.
                biased;
                () = aborted(&mut self.commands, &mut self.rejection, attempt.id) => {
                    return self.ended(Outcome::Cancelled, tokens_before);
                }
                frame = body.frame() => frame,
                () = chunks.disconnected() => return self.ended(Outcome::Cancelled, tokens_before),
            };
            let Some(Ok(frame)) = frame else {
                break;
            };
            let mut events = Vec::new();
            let chunk = frame.into_data().unwrap_or_default();
            let result = self.stream.feed(&chunk, &mut events);
            if chunks.push(Bytes::from(events)).await.is_err() {
                return self.ended(Outcome::Cancelled, tokens_before);
            }
            if result.is_err() {
                break;
            }
            self.report_progress(attempt, tokens_before, &mut last_report);
        }
        let outcome = match self.stream.finish() {
            Ok(()) => {
                // A caller that has read the `[DONE]` event may already have disconnected.
                let _ = chunks.finish().await;
                Outcome::Answered
            }
            Err(_) => Outcome::Broken,
        };
        self.ended(outcome, tokens_before)
    }

    /// Reports the cost of a running attempt, at most once per `PROGRESS_PERIOD`.
    fn report_progress(&self, attempt: &Attempt, tokens_before: Cost, last_report: &mut Time) {
        let now = clock::now();
        if now.since(*last_report) < PROGRESS_PERIOD {
            return;
        }
        *last_report = now;
        self.sink.send(Event::Progress {
            attempt: attempt.id,
            cost: self.stream.tokens().saturating_sub(tokens_before),
        });
    }

    /// Returns the end of a streaming attempt; `before` is the number of tokens forwarded by
    /// earlier attempts.
    fn ended(&self, outcome: Outcome, tokens_before: Cost) -> End {
        let tokens = self.stream.tokens().saturating_sub(tokens_before);
        End {
            outcome,
            cost: tokens.max(Cost(1)),
            resume: self.stream.resume_at(),
            answer: None,
        }
    }
}

/// Returns the response to store with the idempotency key, if it is small and UTF-8.
fn storable_answer(head: &response::Parts, body: &[u8]) -> Option<Answer> {
    if body.len() > MAX_STORED_BYTES {
        return None;
    }
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Some(Answer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: std::str::from_utf8(body).ok()?.into(),
    })
}
