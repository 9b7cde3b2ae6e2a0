//! The caller's side of a request.

use crate::{front::Body, unit::Span};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::{io, mem, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Chunks buffered between the target and a slow caller, before the target is held back.
const MAX_CHUNKS: usize = 4;

/// The caller's side of a request.
pub(super) enum Caller {
    /// Nothing was answered yet.
    Waiting(oneshot::Sender<Response<Body>>),
    /// A stream is being answered.
    Streaming(Chunks),
}

/// Way of a stream's chunks to the caller. The transfer breaks if the last clone is dropped
/// before [`Chunks::finish`].
#[derive(Clone)]
pub(super) struct Chunks {
    sender: mpsc::Sender<Part>,
    idle: Span,
}

/// Part of a streamed answer.
enum Part {
    Chunk(Bytes),
    End,
}

/// Error of a caller that went away or takes nothing for too long.
#[derive(Debug)]
pub(super) struct Gone;

impl Caller {
    pub(super) fn is_closed(&self) -> bool {
        match self {
            Caller::Waiting(reply) => reply.is_closed(),
            Caller::Streaming(chunks) => chunks.sender.is_closed(),
        }
    }

    /// Waits until the caller goes away.
    pub(super) async fn closed(&mut self) {
        match self {
            Caller::Waiting(reply) => reply.closed().await,
            Caller::Streaming(chunks) => chunks.closed().await,
        }
    }

    /// Starts a streamed answer, or goes on with the one that was started.
    pub(super) fn open(&mut self, head: http::response::Parts, idle: Span) -> Chunks {
        if let Caller::Streaming(chunks) = self {
            return chunks.clone();
        }
        let (sender, inbox) = mpsc::channel(MAX_CHUNKS);
        let frames = futures::stream::unfold(Some(inbox), |inbox| async {
            let mut inbox = inbox?;
            match inbox.recv().await {
                Some(Part::Chunk(chunk)) => Some((Ok(Frame::data(chunk)), Some(inbox))),
                Some(Part::End) => None,
                None => Some((Err(broken()), None)),
            }
        });
        let body = StreamBody::new(frames).boxed_unsync();
        let chunks = Chunks { sender, idle };
        let earlier = mem::replace(self, Caller::Streaming(chunks.clone()));
        if let Caller::Waiting(reply) = earlier {
            // A caller that went away is noticed by the closed channel of the body.
            let _ = reply.send(Response::from_parts(head, body));
        }
        chunks
    }

    /// Gives the caller a whole answer, unless a streamed one was begun.
    pub(super) fn reply(&mut self, response: Response<Body>) {
        let (sender, _) = mpsc::channel(1);
        let idle = Span::default();
        let answered = Caller::Streaming(Chunks { sender, idle });
        if let Caller::Waiting(reply) = mem::replace(self, answered) {
            // The caller may have gone away; the answer is then nobody's.
            let _ = reply.send(response);
        }
    }
}

impl Chunks {
    /// Waits until the caller goes away.
    pub(super) async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Gives a chunk to the caller, and waits while it is slow.
    pub(super) async fn push(&self, chunk: Bytes) -> Result<(), Gone> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.send(Part::Chunk(chunk)).await
    }

    /// Ends the answer as whole.
    pub(super) async fn finish(&self) -> Result<(), Gone> {
        self.send(Part::End).await
    }

    async fn send(&self, part: Part) -> Result<(), Gone> {
        let sent = tokio::time::timeout(Duration::from(self.idle), self.sender.send(part)).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Gone),
        }
    }
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the answer broke off")
}
