//! Relays a response body from a target to the caller.

use super::{
    Framer,
    decisions::{Decision, Decisions},
    exchange::{CUT_SHORT, Exchange, Failure, HANDOVER, Transfer, outcome_of, release},
};
use crate::{
    answer::Meaning,
    clock,
    dispatch::{Event, Outcome, silence_timeout},
    front::Body,
    routing::Kind,
    unit::{Span, Time},
};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::{io, pin::pin, time::Duration};

/// Interval at which a stalled stream looks for another target.
const STALL_CHECK_INTERVAL: Span = Span::from_millis(200);
/// Lateness of that check from which the router itself was paused, so that what the target sent
/// meanwhile is not read yet.
const MAX_CHECK_LATENESS: Span = Span::from_millis(200);
/// Time for which bytes that are ready are passed on after the relay first finds that the deadline passed: a router
/// that was paused still delivers what came meanwhile, and a response without end is cut.
const OVERTIME: Span = Span::from_millis(200);

/// How received bytes are processed.
enum Mode {
    /// Only complete events are passed on, so that another target can continue after the last one.
    Events(Framer),
    /// Bytes are passed on unchanged, beginning with those already buffered.
    Bytes(Option<Bytes>),
}

/// Received bytes after they were processed.
struct Processed {
    /// Bytes to be passed on.
    bytes: Bytes,
    /// Whether the target sent something of use: comments, or a byte of an event now and then, are as
    /// good as silence.
    is_progress: bool,
    /// Why what the target sent after these bytes is rejected.
    fault: Option<Box<str>>,
}

impl Mode {
    fn process(&mut self, bytes: Bytes) -> Processed {
        let framer = match self {
            Mode::Events(framer) => framer,
            Mode::Bytes(_) => {
                let is_progress = !bytes.is_empty();
                return Processed {
                    bytes,
                    is_progress,
                    fault: None,
                };
            }
        };
        let before = framer.count();
        let (bytes, fault) = match framer.feed(&bytes) {
            Ok(bytes) => (bytes, None),
            Err(rejected) => (rejected.sound, Some(rejected.fault.to_string().into())),
        };
        Processed {
            bytes,
            is_progress: framer.count() != before,
            fault,
        }
    }
}

/// Relay of a response body, which continues a stream at another target after a failure.
pub(super) struct Relay {
    exchange: Exchange,
    decisions: Decisions,
    /// Response being read; `None` once the relay has ended.
    transfer: Option<Transfer>,
    mode: Mode,
    /// Why the bytes after those that were passed on last are rejected.
    fault: Option<Box<str>>,
    /// Whether the target sent an event.
    started: bool,

    /// Longest pause between two things that a target sent, after the first event.
    longest_pause: Span,
    /// Time at which a target last sent something.
    last_received: Time,
    /// Time from which the stream counts as stalled, or at which it looks for another target again.
    stalled_at: Time,
    /// Time at which the response is cut even if bytes are ready; `None` before its deadline.
    cut_at: Option<Time>,
}

/// Why a response cannot be completed.
struct Cut {
    /// How the last target failed.
    cause: Box<str>,
    /// Why no other target continues.
    not_resumed: Box<str>,
}

/// Result of waiting for bytes of a target.
enum Received {
    Bytes(Bytes),
    /// The same, processed already.
    Processed(Processed),
    End,
    Failed(Outcome, Box<str>),
    /// Nothing for so long that the stream counts as stalled.
    Stalled,
    /// Another target takes the request.
    Moved(Decision),
    /// The request's deadline passed.
    Expired,
}

impl From<Option<Result<Frame<Bytes>, hyper::Error>>> for Received {
    fn from(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Self {
        match frame {
            Some(Ok(frame)) => Received::Bytes(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => Received::Failed(outcome_of(&error), error.to_string().into()),
            None => Received::End,
        }
    }
}

impl Relay {
    /// Creates the relay of a stream of events.
    pub(super) fn events(exchange: Exchange, transfer: Transfer, decisions: Decisions) -> Self {
        let last = exchange.call.head.last_event_id.as_deref();
        let framer = Framer::open(last, exchange.call.route.kind.is_repeatable());
        Self::new(exchange, transfer, decisions, Mode::Events(framer))
    }

    /// Creates the relay of a large response of which some bytes are buffered.
    pub(super) fn bytes(
        exchange: Exchange,
        transfer: Transfer,
        buffered: Bytes,
        decisions: Decisions,
    ) -> Self {
        Self::new(exchange, transfer, decisions, Mode::Bytes(Some(buffered)))
    }

    fn new(exchange: Exchange, transfer: Transfer, decisions: Decisions, mode: Mode) -> Self {
        let mut relay = Self {
            exchange,
            decisions,
            transfer: Some(transfer),
            mode,
            fault: None,
            started: false,
            longest_pause: Span(0),
            last_received: Time::default(),
            stalled_at: Time::default(),
            cut_at: None,
        };
        relay.record_received();
        relay
    }

    /// Records that a target sent something, or that another target takes over.
    fn record_received(&mut self) {
        let now = clock::now();
        if self.started {
            self.longest_pause = self.longest_pause.max(now.since(self.last_received));
        }
        self.last_received = now;
        self.stalled_at = self.last_received + self.stall_timeout();
    }

    /// Returns the silence after which a stream counts as stalled.
    fn stall_timeout(&self) -> Span {
        let remaining = self.exchange.call.remaining(self.last_received);
        match self.exchange.call.route.kind {
            Kind::Stream { resumable: true } => silence_timeout(remaining),
            _ => remaining,
        }
    }

    /// Returns the response body; dropping it closes the connection to the target, which ends the
    /// run.
    pub(super) fn into_body(self) -> Body {
        let frames = futures::stream::unfold(self, |mut relay| async move {
            let item = relay.next().await?;
            Some((item.map(Frame::data), relay))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next bytes for the caller; `None` at the end of the response.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Mode::Bytes(buffered) = &mut self.mode
            && let Some(bytes) = buffered.take()
        {
            return Some(Ok(bytes));
        }
        loop {
            self.transfer.as_ref()?;
            let received = match self.fault.take() {
                Some(cause) => Received::Failed(Outcome::Malformed, cause),
                None => self.receive().await,
            };
            let received = match received {
                // No other target can continue after events without a number, which have come since.
                Received::Moved(Decision::Send(_)) if !self.can_resume() => {
                    self.exchange.report_return(Outcome::Unsent);
                    continue;
                }
                Received::Moved(decision) => {
                    let moved = self.proceed(Some(decision), "the target was silent").await;
                    match moved {
                        Ok(Some(received)) => received,
                        Ok(None) => continue,
                        Err(cut) => return Some(Err(self.truncate(&cut))),
                    }
                }
                received => received,
            };
            let (outcome, cause) = match received {
                Received::Bytes(bytes) => {
                    let processed = self.mode.process(bytes);
                    match self.pass_on(processed) {
                        Some(bytes) => return Some(Ok(bytes)),
                        None => continue,
                    }
                }
                Received::Processed(processed) => match self.pass_on(processed) {
                    Some(bytes) => return Some(Ok(bytes)),
                    None => continue,
                },
                Received::End if self.is_cut_short() => (Outcome::Broken, CUT_SHORT.into()),
                Received::End if self.is_complete() => match self.finish() {
                    Ok(rest) => {
                        self.complete();
                        return rest.map(Ok);
                    }
                    Err(cause) => (Outcome::Malformed, cause),
                },
                Received::End if self.is_at_boundary() => {
                    let cause = "the response ended before the first event";
                    let is_framed = self.transfer.as_ref().is_some_and(Transfer::is_framed);
                    let outcome = if is_framed {
                        Outcome::Malformed
                    } else {
                        Outcome::Broken
                    };
                    (outcome, cause.into())
                }
                Received::End => (Outcome::Broken, "the stream ended within an event".into()),
                Received::Failed(outcome, cause) => (outcome, cause),
                Received::Stalled => {
                    let now = clock::now();
                    if now.since(self.stalled_at) < MAX_CHECK_LATENESS && self.can_resume() {
                        let number = self.exchange.call.number;
                        self.exchange.submission.report(Event::Stalled { number });
                    }
                    self.stalled_at = now + STALL_CHECK_INTERVAL;
                    continue;
                }
                // Followed above; the next iteration has the result.
                Received::Moved(_) => continue,
                Received::Expired => {
                    let cut = Cut {
                        cause: "the deadline passed".into(),
                        not_resumed: "the deadline passed".into(),
                    };
                    self.record_endless();
                    return Some(Err(self.truncate(&cut)));
                }
            };
            if let Err(cut) = self.resume(outcome, cause).await {
                return Some(Err(self.truncate(&cut)));
            }
        }
    }

    /// Records what a target sent, and returns the bytes for the caller, if there are any.
    fn pass_on(&mut self, processed: Processed) -> Option<Bytes> {
        if processed.is_progress {
            self.record_received();
            self.record_progress();
        }
        self.fault = processed.fault;
        (!processed.bytes.is_empty()).then_some(processed.bytes)
    }

    fn record_progress(&mut self) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        self.exchange.record_start();
        if let (Mode::Events(_), Some(transfer)) = (&self.mode, &self.transfer) {
            self.exchange.record_stream(&transfer.build);
        }
    }

    /// Records that the target's response, which is not a stream, didn't end before the deadline.
    fn record_endless(&mut self) {
        if let (Mode::Bytes(_), Some(transfer)) = (&self.mode, &self.transfer) {
            let cause = "the response did not end before the deadline";
            let failure = Failure::broken(transfer, Outcome::Silent, cause);
            self.exchange.end_attempt(failure, false);
        }
    }

    /// Waits for bytes from the target.
    async fn receive(&mut self) -> Received {
        let now = clock::now();
        let remaining = self.exchange.call.remaining(now);
        let until_stalled = self.stalled_at.since(now);
        let limit = Duration::from(remaining.min(until_stalled));
        // The timer below is not looked at while bytes are always ready.
        if remaining == Span(0) && now >= *self.cut_at.get_or_insert(now + OVERTIME) {
            return Received::Expired;
        }
        let can_move = matches!(self.mode, Mode::Events(_));
        let Some(transfer) = &mut self.transfer else {
            return Received::End;
        };
        tokio::select! {
            biased;
            decision = self.decisions.next(), if can_move => Received::Moved(decision),
            frame = transfer.body.frame() => Received::from(frame),
            () = tokio::time::sleep(limit) => {
                if remaining <= until_stalled {
                    Received::Expired
                } else {
                    Received::Stalled
                }
            }
        }
    }

    /// Reports whether the end of the target's response is that of the stream. A response that ends with its
    /// connection, without an event, is as good as none. So is one that is to go on with a stream, if it doesn't even
    /// say that it is one.
    fn is_complete(&self) -> bool {
        let Mode::Events(framer) = &self.mode else {
            return true;
        };
        let transfer = self.transfer.as_ref();
        let is_whole = self.started
            || framer.has_undecided()
            || transfer.is_some_and(|transfer| {
                let is_begun = framer.last_id().is_some();
                transfer.is_framed() && (!is_begun || transfer.is_event_stream())
            });
        framer.is_at_boundary() && is_whole
    }

    fn is_cut_short(&self) -> bool {
        let transfer = self.transfer.as_ref();
        transfer.is_some_and(|transfer| self.exchange.is_cut_short(&transfer.head, &transfer.lease))
    }

    fn is_at_boundary(&self) -> bool {
        match &self.mode {
            Mode::Events(framer) => framer.is_at_boundary(),
            Mode::Bytes(_) => true,
        }
    }

    /// Reports whether another target can continue the response.
    fn can_resume(&self) -> bool {
        match &self.mode {
            Mode::Events(framer) => framer.can_resume(),
            Mode::Bytes(_) => false,
        }
    }

    fn event_count(&self) -> u64 {
        match &self.mode {
            Mode::Events(framer) => framer.count(),
            Mode::Bytes(_) => 0,
        }
    }

    /// Returns the events at the end of a stream that were not passed on yet, if there are any, or why they
    /// are rejected.
    fn finish(&mut self) -> Result<Option<Bytes>, Box<str>> {
        let Mode::Events(framer) = &mut self.mode else {
            return Ok(None);
        };
        let rest = framer.finish().map_err(|fault| fault.to_string())?;
        if rest.is_empty() {
            return Ok(None);
        }
        self.record_progress();
        Ok(Some(rest))
    }

    fn complete(&mut self) {
        if let Some(transfer) = self.transfer.take() {
            self.exchange.record_completion(
                &transfer.target,
                transfer.head.status,
                self.longest_pause,
            );
            release(transfer.lease, &transfer.reply);
        }
    }

    /// Breaks the response off with an error, so that the caller cannot take it for complete.
    fn truncate(&mut self, cut: &Cut) -> io::Error {
        self.transfer = None;
        let silent = clock::now().since(self.last_received);
        let events = self.event_count();
        self.exchange
            .record_truncation(&cut.cause, &cut.not_resumed, events, silent);
        io::Error::new(io::ErrorKind::UnexpectedEof, cut.cause.to_string())
    }

    /// Continues a stream at another target after a failure, if that is possible.
    async fn resume(&mut self, outcome: Outcome, cause: Box<str>) -> Result<(), Cut> {
        let Some(transfer) = self.transfer.take() else {
            let not_resumed = "the response has ended".into();
            return Err(Cut { cause, not_resumed });
        };
        let failure = Failure::broken(&transfer, outcome, &cause);
        // Dropping the lease closes the connection, which ends the run at the target.
        drop(transfer);
        self.exchange.end_attempt(failure, self.can_resume());
        let decision = self.exchange.decide(&mut self.decisions).await;
        self.proceed(decision, &cause).await.map(drop)
    }

    /// Follows decisions until a target continues the stream; `cause` is the failure that made it
    /// necessary. A silent target is left when the next one responds, but at the latest after
    /// [`HANDOVER`]; returns what it sent if it goes on before.
    async fn proceed(
        &mut self,
        mut decision: Option<Decision>,
        cause: &str,
    ) -> Result<Option<Received>, Cut> {
        let cut = |not_resumed: &str| Cut {
            cause: cause.into(),
            not_resumed: not_resumed.into(),
        };
        loop {
            let estimate = match decision {
                Some(Decision::Send(estimate)) => estimate,
                Some(Decision::Refuse(refusal)) => return Err(cut(&refusal.reason.to_string())),
                None => return Err(cut("the deadline passed")),
            };
            if let Mode::Events(framer) = &self.mode
                && let Some(last) = framer.last_id()
            {
                self.exchange.call.head.last_event_id = Some(last.to_string().into());
            }
            let sent = clock::now();
            let remaining = Duration::from(self.exchange.call.remaining(sent));
            let attempt = {
                let attempt = self.exchange.attempt(&estimate);
                let mut attempt = pin!(tokio::time::timeout(remaining, attempt));
                let mut handover = pin!(tokio::time::sleep(Duration::from(HANDOVER)));
                loop {
                    tokio::select! {
                        biased;
                        next = self.decisions.next() => break Err(next),
                        received = receive_from(&mut self.transfer), if self.transfer.is_some() => {
                            let received = match received {
                                Received::Bytes(bytes) => match self.mode.process(bytes) {
                                    processed if processed.is_progress => {
                                        Received::Processed(processed)
                                    }
                                    Processed { fault: Some(cause), .. } => {
                                        Received::Failed(Outcome::Malformed, cause)
                                    }
                                    _ => continue,
                                },
                                received => received,
                            };
                            if let Received::Failed(..) = received {
                                leave(&self.exchange, self.transfer.take());
                                continue;
                            }
                            self.exchange.report_return(Outcome::Cancelled);
                            return Ok(Some(received));
                        }
                        attempt = &mut attempt => break Ok(attempt),
                        () = &mut handover, if self.transfer.is_some() => {
                            leave(&self.exchange, self.transfer.take());
                        }
                    }
                }
            };
            let failure = match attempt {
                Ok(Ok(Ok(transfer))) if transfer.meaning == Meaning::Success => {
                    leave(&self.exchange, self.transfer.take());
                    self.transfer = Some(transfer);
                    if let Mode::Events(framer) = &mut self.mode {
                        framer.restart();
                    }
                    self.started = false;
                    self.record_received();
                    return Ok(None);
                }
                Ok(Ok(Ok(transfer))) => Failure::broken(
                    &transfer,
                    Outcome::Rejected,
                    &format!(
                        "the target rejected the resumption with status {}",
                        transfer.head.status
                    ),
                ),
                Ok(Ok(Err(failure))) => failure,
                Ok(Err(_)) => return Err(cut("the deadline passed")),
                Err(next) => {
                    leave(&self.exchange, self.transfer.take());
                    let failure = Failure::moved(&estimate.target, sent);
                    self.exchange.record_failure(&failure);
                    decision = Some(next);
                    continue;
                }
            };
            if self.transfer.is_some() {
                self.exchange.record_failure(&failure);
                self.exchange.report_return(failure.outcome);
                self.stalled_at = clock::now() + STALL_CHECK_INTERVAL;
                return Ok(None);
            }
            self.exchange.end_attempt(failure, true);
            decision = self.exchange.decide(&mut self.decisions).await;
        }
    }
}

/// Waits for bytes of a response; the deadline is the caller's concern.
async fn receive_from(transfer: &mut Option<Transfer>) -> Received {
    match transfer {
        Some(transfer) => Received::from(transfer.body.frame().await),
        None => Received::End,
    }
}

/// Closes the connection to a silent target, which ends the run there.
fn leave(exchange: &Exchange, transfer: Option<Transfer>) {
    if let Some(transfer) = transfer {
        exchange.record_failure(&Failure::moved(&transfer.target, transfer.sent));
    }
}
