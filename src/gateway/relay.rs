//! Relays a response body from a target to the client.

use super::{
    Events,
    exchange::{Begun, Exchange, Failed, release},
};
use crate::{
    clock,
    dispatch::{Event, Outcome},
    front::Body,
    routing::Kind,
    unit::Span,
};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::{io, time::Duration};

/// Multiple of the route's objective for pauses between events after which a stream counts as
/// stalled.
const SILENT_PAUSES: u64 = 3;
/// Time added to that multiple.
const SILENT_EXTRA: Span = Span::from_millis(300);

/// How received bytes are processed.
enum Mode {
    /// Only complete events are passed on, so that another target can continue after the last one.
    Events(Events),
    /// Bytes are passed on unchanged, beginning with those already buffered.
    Bytes(Option<Bytes>),
}

/// Relay of a response body, which continues a stream at another target after a failure.
pub(super) struct Relay {
    exchange: Exchange,
    /// Response being read; `None` once the relay has ended.
    begun: Option<Begun>,
    mode: Mode,
}

/// Result of waiting for bytes of a target.
enum Came {
    Bytes(Bytes),
    End,
    Failed(Outcome, Box<str>),
    /// The request's deadline passed.
    Expired,
}

impl Relay {
    /// Creates the relay of a stream of events.
    pub(super) fn events(exchange: Exchange, begun: Begun) -> Self {
        let events = Events::after(exchange.call.head.last_event.as_deref());
        Self {
            exchange,
            begun: Some(begun),
            mode: Mode::Events(events),
        }
    }

    /// Creates the relay of a large response of which some bytes are buffered.
    pub(super) fn bytes(exchange: Exchange, begun: Begun, gathered: Bytes) -> Self {
        Self {
            exchange,
            begun: Some(begun),
            mode: Mode::Bytes(Some(gathered)),
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

    /// Returns the next bytes for the client; `None` at the end of the response.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Mode::Bytes(gathered) = &mut self.mode
            && let Some(bytes) = gathered.take()
        {
            return Some(Ok(bytes));
        }
        loop {
            self.begun.as_ref()?;
            let (end, cause) = match self.receive().await {
                Came::Bytes(bytes) => match self.take(bytes) {
                    Ok(bytes) if bytes.is_empty() => continue,
                    Ok(bytes) => {
                        self.exchange.note_first();
                        return Some(Ok(bytes));
                    }
                    Err(cause) => (Outcome::Broken, cause),
                },
                Came::End if self.is_whole() => {
                    self.finish();
                    return None;
                }
                Came::End => (Outcome::Broken, "the stream ended within an event".into()),
                Came::Failed(end, cause) => (end, cause),
                Came::Expired => return Some(Err(self.cut("the deadline of the request passed"))),
            };
            if let Err(cause) = self.go_on(end, cause).await {
                return Some(Err(self.cut(&cause)));
            }
        }
    }

    /// Waits for bytes from the target.
    async fn receive(&mut self) -> Came {
        let left = self.exchange.call.remaining(clock::now());
        let silence = match (&self.mode, self.exchange.call.route.kind) {
            (
                Mode::Events(events),
                Kind::Stream {
                    pause,
                    resumable: true,
                },
            ) if events.count() > 0 => Span(pause.0 * SILENT_PAUSES + SILENT_EXTRA.0),
            _ => Span(u64::MAX),
        };
        let limit = Duration::from(left.min(silence));
        let Some(begun) = &mut self.begun else {
            return Came::End;
        };
        tokio::select! {
            frame = begun.body.frame() => match frame {
                Some(Ok(frame)) => Came::Bytes(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => Came::Failed(Outcome::Broken, error.to_string().into()),
                None => Came::End,
            },
            () = self.exchange.ticket.abandoned() => {
                Came::Failed(Outcome::Silent, "no event within the expected time".into())
            }
            () = tokio::time::sleep(limit) => {
                if left <= silence {
                    Came::Expired
                } else {
                    Came::Failed(Outcome::Silent, "the pause between two events was too long".into())
                }
            }
        }
    }

    fn take(&mut self, bytes: Bytes) -> Result<Bytes, Box<str>> {
        match &mut self.mode {
            Mode::Events(events) => events.feed(&bytes).map_err(|f| f.to_string().into()),
            Mode::Bytes(_) => Ok(bytes),
        }
    }

    fn is_whole(&self) -> bool {
        match &self.mode {
            Mode::Events(events) => events.is_whole(),
            Mode::Bytes(_) => true,
        }
    }

    fn count(&self) -> u64 {
        match &self.mode {
            Mode::Events(events) => events.count(),
            Mode::Bytes(_) => 0,
        }
    }

    fn finish(&mut self) {
        if let Some(begun) = self.begun.take() {
            self.exchange.finish(&begun.target, begun.head.status);
            release(begun.lease, &begun.reply);
        }
    }

    /// Breaks the response off with an error, so that the client cannot take it for complete.
    fn cut(&mut self, cause: &str) -> io::Error {
        self.begun = None;
        self.exchange.cut(cause, self.count());
        io::Error::new(io::ErrorKind::UnexpectedEof, cause.to_owned())
    }

    /// Continues a stream at another target after a failure. Returns the cause if that is not
    /// possible.
    async fn go_on(&mut self, end: Outcome, cause: Box<str>) -> Result<(), Box<str>> {
        let Some(begun) = self.begun.take() else {
            return Err(cause);
        };
        let (mut failed, number) = (
            Failed::broken(&begun, end, &cause),
            self.exchange.call.number,
        );
        // Dropping the lease closes the connection, which ends the run at the target.
        drop(begun);
        loop {
            self.exchange.note_end(&failed);
            let can_retry = matches!(self.mode, Mode::Events(_));
            self.exchange.ticket.tell(Event::Ended {
                number,
                outcome: failed.end,
                can_retry,
            });
            let left = Duration::from(self.exchange.call.remaining(clock::now()));
            let decision = tokio::time::timeout(left, self.exchange.ticket.decision()).await;
            let Ok(Some(Ok((estimate, _)))) = decision else {
                return Err(cause);
            };
            if let Mode::Events(events) = &mut self.mode {
                events.resume();
                if let Some(last) = events.last() {
                    self.exchange.call.head.last_event = Some(last.to_string().into());
                }
            }
            let left = Duration::from(self.exchange.call.remaining(clock::now()));
            match tokio::time::timeout(left, self.exchange.attempt(&estimate)).await {
                Ok(Ok(begun)) if begun.head.status.is_success() => {
                    self.begun = Some(begun);
                    return Ok(());
                }
                Ok(Ok(begun)) => {
                    failed = Failed::broken(
                        &begun,
                        Outcome::Failed,
                        "the target did not resume the stream",
                    )
                }
                Ok(Err(next)) => failed = next,
                Err(_) => return Err(cause),
            }
        }
    }
}
