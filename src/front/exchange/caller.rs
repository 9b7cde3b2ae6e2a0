//! Response channel to the caller.

use crate::{front::Body, unit::Span};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::{io, mem, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of chunks buffered for a slow caller before backpressure reaches the target.
const MAX_CHUNKS: usize = 4;

/// Response channel to the caller.
pub(super) enum Caller {
    /// No response has been sent yet.
    Pending(oneshot::Sender<Response<Body>>),
    /// A streamed response has begun, or a complete one was sent.
    Streaming(Chunks),
}

/// Sender of the chunks of a streamed response. If the last clone is dropped before
/// [`Chunks::finish`], the response body ends with an error.
#[derive(Clone)]
pub(super) struct Chunks {
    sender: mpsc::Sender<Part>,
    idle_timeout: Span,
}

/// Part of a streamed response.
enum Part {
    Chunk(Bytes),
    End,
}

/// Error for a caller that disconnected or did not read for the idle timeout.
#[derive(Debug)]
pub(super) struct Disconnected;

impl Caller {
    pub(super) fn is_disconnected(&self) -> bool {
        match self {
            Caller::Pending(reply) => reply.is_closed(),
            Caller::Streaming(chunks) => chunks.sender.is_closed(),
        }
    }

    /// Waits until the caller disconnects.
    pub(super) async fn disconnected(&mut self) {
        match self {
            Caller::Pending(reply) => reply.closed().await,
            Caller::Streaming(chunks) => chunks.disconnected().await,
        }
    }

    /// Begins a streamed response, or continues the one that was begun.
    pub(super) fn begin_stream(
        &mut self,
        head: http::response::Parts,
        idle_timeout: Span,
    ) -> Chunks {
        if let Caller::Streaming(chunks) = self {
            return chunks.clone();
        }
        let (sender, inbox) = mpsc::channel(MAX_CHUNKS);
        let frames = futures::stream::unfold(Some(inbox), |inbox| async {
            let mut inbox = inbox?;
            match inbox.recv().await {
                Some(Part::Chunk(chunk)) => Some((Ok(Frame::data(chunk)), Some(inbox))),
                Some(Part::End) => None,
                None => Some((Err(truncated()), None)),
            }
        });
        let body = StreamBody::new(frames).boxed_unsync();
        let chunks = Chunks {
            sender,
            idle_timeout,
        };
        let previous = mem::replace(self, Caller::Streaming(chunks.clone()));
        if let Caller::Pending(reply) = previous {
            // A disconnected caller is noticed by the closed channel of the body.
            let _ = reply.send(Response::from_parts(head, body));
        }
        chunks
    }

    /// Sends a complete response, unless a streamed one has begun.
    pub(super) fn respond(&mut self, response: Response<Body>) {
        let (sender, _) = mpsc::channel(1);
        let idle_timeout = Span::default();
        let streaming = Caller::Streaming(Chunks {
            sender,
            idle_timeout,
        });
        if let Caller::Pending(reply) = mem::replace(self, streaming) {
            // If the caller has disconnected, the response is dropped.
            let _ = reply.send(response);
        }
    }
}

impl Chunks {
    /// Waits until the caller disconnects.
    pub(super) async fn disconnected(&self) {
        self.sender.closed().await;
    }

    /// Sends a chunk; waits while the buffer is full.
    pub(super) async fn push(&self, chunk: Bytes) -> Result<(), Disconnected> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.send(Part::Chunk(chunk)).await
    }

    /// Ends the response as complete.
    pub(super) async fn finish(&self) -> Result<(), Disconnected> {
        self.send(Part::End).await
    }

    async fn send(&self, part: Part) -> Result<(), Disconnected> {
        let sent =
            tokio::time::timeout(Duration::from(self.idle_timeout), self.sender.send(part)).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Disconnected),
        }
    }
}

fn truncated() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the response was truncated")
}
