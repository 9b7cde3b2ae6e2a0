//! Relays a response body from a target to the caller.

use super::{
    Framer,
    exchange::{Exchange, Failure, Transfer, release},
};
use crate::{
    clock,
    dispatch::{Event, Outcome},
    front::Body,
    routing::Kind,
    unit::{Span, Time},
};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::{io, time::Duration};

/// Multiple of the route's objective for pauses between events after which a resumable stream
/// counts as stalled, once its first event was relayed.
const STALL_PAUSES: u64 = 3;
/// Time added to that multiple.
const STALL_MARGIN: Span = Span::from_millis(300);

/// How received bytes are processed.
enum Mode {
    /// Only complete events are passed on, so that another target can continue after the last one.
    Events(Framer),
    /// Bytes are passed on unchanged, beginning with those already buffered.
    Bytes(Option<Bytes>),
}

/// Relay of a response body, which continues a stream at another target after a failure.
pub(super) struct Relay {
    exchange: Exchange,
    /// Response being read; `None` once the relay has ended.
    transfer: Option<Transfer>,
    mode: Mode,
    /// Time at which a target last sent something.
    last_received: Time,
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
    End,
    Failed(Outcome, Box<str>),
    /// The request's deadline passed.
    Expired,
}

impl Relay {
    /// Creates the relay of a stream of events.
    pub(super) fn events(exchange: Exchange, transfer: Transfer) -> Self {
        let framer = Framer::resuming_after(exchange.call.head.last_event_id.as_deref());
        Self {
            exchange,
            transfer: Some(transfer),
            mode: Mode::Events(framer),
            last_received: clock::now(),
        }
    }

    /// Creates the relay of a large response of which some bytes are buffered.
    pub(super) fn bytes(exchange: Exchange, transfer: Transfer, buffered: Bytes) -> Self {
        Self {
            exchange,
            transfer: Some(transfer),
            mode: Mode::Bytes(Some(buffered)),
            last_received: clock::now(),
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
            let (outcome, cause) = match self.receive().await {
                Received::Bytes(bytes) => {
                    self.last_received = clock::now();
                    match self.process(bytes) {
                        Ok(bytes) if bytes.is_empty() => continue,
                        Ok(bytes) => {
                            self.exchange.record_first_byte();
                            return Some(Ok(bytes));
                        }
                        Err(cause) => (Outcome::Broken, cause),
                    }
                }
                Received::End if self.is_complete() => {
                    self.complete();
                    return None;
                }
                Received::End => (Outcome::Broken, "the stream ended within an event".into()),
                Received::Failed(outcome, cause) => (outcome, cause),
                Received::Expired => {
                    let cut = Cut {
                        cause: "the deadline passed".into(),
                        not_resumed: "the deadline passed".into(),
                    };
                    return Some(Err(self.truncate(&cut)));
                }
            };
            if let Err(cut) = self.resume(outcome, cause).await {
                return Some(Err(self.truncate(&cut)));
            }
        }
    }

    /// Waits for bytes from the target.
    async fn receive(&mut self) -> Received {
        let remaining = self.exchange.call.remaining(clock::now());
        let stall_timeout = match (&self.mode, self.exchange.call.route.kind) {
            (
                Mode::Events(framer),
                Kind::Stream {
                    pause,
                    resumable: true,
                },
            ) if framer.count() > 0 => Span(pause.0 * STALL_PAUSES + STALL_MARGIN.0),
            _ => Span(u64::MAX),
        };
        let limit = Duration::from(remaining.min(stall_timeout));
        let Some(transfer) = &mut self.transfer else {
            return Received::End;
        };
        tokio::select! {
            frame = transfer.body.frame() => match frame {
                Some(Ok(frame)) => Received::Bytes(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => Received::Failed(Outcome::Broken, error.to_string().into()),
                None => Received::End,
            },
            () = self.exchange.submission.abandoned() => {
                Received::Failed(Outcome::Silent, "no event within the expected time".into())
            }
            () = tokio::time::sleep(limit) => {
                if remaining <= stall_timeout {
                    Received::Expired
                } else {
                    Received::Failed(Outcome::Silent, "the pause between two events was too long".into())
                }
            }
        }
    }

    fn process(&mut self, bytes: Bytes) -> Result<Bytes, Box<str>> {
        match &mut self.mode {
            Mode::Events(framer) => framer.feed(&bytes).map_err(|f| f.to_string().into()),
            Mode::Bytes(_) => Ok(bytes),
        }
    }

    fn is_complete(&self) -> bool {
        match &self.mode {
            Mode::Events(framer) => framer.is_at_boundary(),
            Mode::Bytes(_) => true,
        }
    }

    fn event_count(&self) -> u64 {
        match &self.mode {
            Mode::Events(framer) => framer.count(),
            Mode::Bytes(_) => 0,
        }
    }

    fn complete(&mut self) {
        if let Some(transfer) = self.transfer.take() {
            self.exchange
                .record_completion(&transfer.target, transfer.head.status);
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
        let cut = |not_resumed: &str| Cut {
            cause: cause.clone(),
            not_resumed: not_resumed.into(),
        };
        let Some(transfer) = self.transfer.take() else {
            return Err(cut("the response has ended"));
        };
        let (mut failure, number) = (
            Failure::broken(&transfer, outcome, &cause),
            self.exchange.call.number,
        );
        // Dropping the lease closes the connection, which ends the run at the target.
        drop(transfer);
        loop {
            self.exchange.record_failure(&failure);
            let can_retry = matches!(self.mode, Mode::Events(_));
            self.exchange.submission.report(Event::Ended {
                number,
                outcome: failure.outcome,
                can_retry,
            });
            let remaining = Duration::from(self.exchange.call.remaining(clock::now()));
            let decision =
                tokio::time::timeout(remaining, self.exchange.submission.decision()).await;
            let estimate = match decision {
                Ok(Some(Ok((estimate, _)))) => estimate,
                Ok(Some(Err(refusal))) => return Err(cut(&refusal.reason.to_string())),
                Ok(None) => return Err(cut("the dispatcher has stopped")),
                Err(_) => return Err(cut("the deadline passed")),
            };
            if let Mode::Events(framer) = &mut self.mode {
                framer.discard_partial();
                if let Some(last) = framer.last_id() {
                    self.exchange.call.head.last_event_id = Some(last.to_string().into());
                }
            }
            let remaining = Duration::from(self.exchange.call.remaining(clock::now()));
            match tokio::time::timeout(remaining, self.exchange.attempt(&estimate)).await {
                Ok(Ok(transfer)) if transfer.head.status.is_success() => {
                    self.transfer = Some(transfer);
                    return Ok(());
                }
                Ok(Ok(transfer)) => {
                    failure = Failure::broken(
                        &transfer,
                        Outcome::Failed,
                        "the target did not resume the stream",
                    )
                }
                Ok(Err(next)) => failure = next,
                Err(_) => return Err(cut("the deadline passed")),
            }
        }
    }
}
