//! The way of an answer from its target to the caller.

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

/// Pauses between events, in allowed pauses, after which a target counts as silent.
const SILENT_PAUSES: u64 = 3;
/// Time beyond that.
const SILENT_EXTRA: Span = Span::from_millis(300);

/// What is made of the bytes.
enum Mode {
    /// Whole events pass, and another target can go on after the last one.
    Events(Events),
    /// All bytes pass as they come; some were read before.
    Bytes(Option<Bytes>),
}

/// The way of an answer from its target to the caller.
pub(super) struct Relay {
    exchange: Exchange,
    /// `None` once the answer has ended.
    begun: Option<Begun>,
    mode: Mode,
}

/// What came of a target.
enum Came {
    Bytes(Bytes),
    End,
    Failed(Outcome, Box<str>),
    /// The request's time is up.
    Expired,
}

impl Relay {
    /// Returns the way of a stream of events.
    pub(super) fn events(exchange: Exchange, begun: Begun) -> Self {
        let events = Events::after(exchange.call.head.last_event.as_deref());
        Self {
            exchange,
            begun: Some(begun),
            mode: Mode::Events(events),
        }
    }

    /// Returns the way of a large answer of which some bytes were read.
    pub(super) fn bytes(exchange: Exchange, begun: Begun, gathered: Bytes) -> Self {
        Self {
            exchange,
            begun: Some(begun),
            mode: Mode::Bytes(Some(gathered)),
        }
    }

    /// Returns the answer's body; dropping it ends the run at the target.
    pub(super) fn into_body(self) -> Body {
        let frames = futures::stream::unfold(self, |mut relay| async move {
            let item = relay.next().await?;
            Some((item.map(Frame::data), relay))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Returns the next bytes for the caller.
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
                Came::End => (Outcome::Broken, "the answer ended within an event".into()),
                Came::Failed(end, cause) => (end, cause),
                Came::Expired => return Some(Err(self.cut("the time of the request is up"))),
            };
            if let Err(cause) = self.go_on(end, cause).await {
                return Some(Err(self.cut(&cause)));
            }
        }
    }

    /// Waits for bytes of the target.
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
                    Came::Failed(Outcome::Silent, "the stream paused for too long".into())
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

    /// Ends the answer so that the caller can see that it is not whole.
    fn cut(&mut self, cause: &str) -> io::Error {
        self.begun = None;
        self.exchange.cut(cause, self.count());
        io::Error::new(io::ErrorKind::UnexpectedEof, cause.to_owned())
    }

    /// Goes on at another target after a break, if there may be one.
    async fn go_on(&mut self, end: Outcome, cause: Box<str>) -> Result<(), Box<str>> {
        let Some(begun) = self.begun.take() else {
            return Err(cause);
        };
        let (mut failed, number) = (
            Failed::broken(&begun, end, &cause),
            self.exchange.call.number,
        );
        // The connection closes here, which ends the run.
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
                Ok(Ok(begun)) => failed = Failed::broken(&begun, Outcome::Failed, "a failure"),
                Ok(Err(next)) => failed = next,
                Err(_) => return Err(cause),
            }
        }
    }
}
