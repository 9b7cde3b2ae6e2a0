//! Byte stream of a caller's connection: enforces timeouts, and replaces the empty responses that
//! hyper sends for an invalid request head by problem details.

use super::Problem;
use bytes::{Buf, Bytes};
use http::StatusCode;
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// Maximum time to wait for the caller to close, after the router has shut down its side: closing a
/// connection with unread bytes may reset it before the caller has read the response.
const LINGER: Duration = Duration::from_secs(1);
/// Maximum size of a response that hyper generates by itself.
const MAX_OWN_HEAD: usize = 256;
/// Size of the buffer for reads that are discarded while a connection closes.
const DISCARD_BYTES: usize = 4_096;

/// Progress of the requests on a connection; shared by the service and the transport.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Number of requests whose head was received.
    begun: AtomicU64,
    /// A request is in progress: received, and its response is not sent completely.
    running: AtomicBool,
}

impl Progress {
    /// Reports whether a request is in progress.
    pub(super) fn is_running(&self) -> bool {
        self.running.load(Ordering::Relaxed)
    }
}

/// Timeouts of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    /// From the first byte of a request head to its last.
    pub(super) head: Duration,
    /// Until the next request head begins, and for writes on which the caller makes no progress.
    pub(super) idle: Duration,
}

/// Marks a request as in progress until it is dropped.
pub(super) struct Running(Arc<Progress>);

impl Running {
    pub(super) fn begin(progress: &Arc<Progress>) -> Self {
        progress.begun.fetch_add(1, Ordering::Relaxed);
        progress.running.store(true, Ordering::Relaxed);
        Self(progress.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.store(false, Ordering::Relaxed);
    }
}

/// Byte stream of a caller's connection.
pub(super) struct Transport {
    stream: TcpStream,
    times: Times,
    progress: Arc<Progress>,
    /// Value of `Progress::begun` at the last check.
    begun: u64,
    /// A part of a request head was received.
    partial: bool,
    /// Timed out; nothing more is read.
    ended: bool,
    /// Unsent rest of a response that the transport generated.
    answer: Bytes,
    /// Timeout of the wait for a request head.
    head: Option<Pin<Box<Sleep>>>,
    /// Timeout of a blocked write.
    stall: Option<Pin<Box<Sleep>>>,
    /// Timeout of the wait for the caller to close.
    linger: Option<Pin<Box<Sleep>>>,
}

impl Transport {
    pub(super) fn new(stream: TcpStream, times: Times, progress: Arc<Progress>) -> Self {
        Self {
            stream,
            times,
            progress,
            begun: 0,
            partial: false,
            ended: false,
            answer: Bytes::new(),
            head: None,
            stall: None,
            linger: None,
        }
    }

    /// Reports whether a request head is awaited; clears its timer once the request has begun.
    fn awaits_head(&mut self) -> bool {
        let begun = self.progress.begun.load(Ordering::Relaxed);
        if begun != self.begun {
            self.begun = begun;
            self.partial = false;
            self.head = None;
        }
        let awaits = !self.progress.running.load(Ordering::Relaxed);
        if !awaits {
            self.head = None;
        }
        awaits
    }

    /// Ends the connection if the head timeout has passed: with a 408 response if a part of the
    /// head was received, silently if not.
    fn expire(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let limit = if self.partial {
            self.times.head
        } else {
            self.times.idle
        };
        let timer = self
            .head
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        if self.partial {
            let detail = format!("the request head did not arrive within {limit:?}");
            self.answer = Problem::invalid(StatusCode::REQUEST_TIMEOUT, detail).message();
        }
        self.ended = true;
        Poll::Ready(())
    }

    /// Sends the rest of a response that the transport generated.
    fn poll_answer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.answer.is_empty() {
            let written = Pin::new(&mut self.stream).poll_write(cx, &self.answer);
            let written = ready!(self.limit(cx, written))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.answer.advance(written);
        }
        Poll::Ready(Ok(()))
    }

    /// Fails a write that was blocked for longer than the idle timeout.
    fn limit<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let idle = self.times.idle;
        let timer = self
            .stall
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(idle)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Returns problem details to send in place of `bytes`, if they are an error response that
    /// hyper generated by itself.
    fn replacement(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if !self.awaits_head() || !self.partial || bytes.len() > MAX_OWN_HEAD {
            return None;
        }
        let head = std::str::from_utf8(bytes).ok()?;
        let status = head.strip_prefix("HTTP/1.1 ")?.get(..3)?;
        let own = head.ends_with("\r\n\r\n")
            && head.contains("\r\ncontent-length: 0\r\n")
            && !head.contains("\r\nmarlrun-");
        let status: StatusCode = status.parse().ok()?;
        if !own || !status.is_client_error() {
            return None;
        }
        let detail = match status {
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => "the request head is too large",
            StatusCode::URI_TOO_LONG => "the request path is too long",
            _ => "the request head is not valid HTTP/1.1",
        };
        Some(Problem::invalid(status, detail).message())
    }

    /// Reads and discards until the caller closes or the timeout passes.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .linger
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        loop {
            let mut space = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut space);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let awaits = this.awaits_head();
        if !this.ended {
            let before = buffer.filled().len();
            if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(cx, buffer) {
                if awaits && !this.partial && buffer.filled().len() > before {
                    this.partial = true;
                    // Restart the timer: the head timeout applies now instead of the idle timeout.
                    this.head = None;
                }
                return Poll::Ready(read);
            }
            if !awaits {
                return Poll::Pending;
            }
            ready!(this.expire(cx));
        }
        this.poll_answer(cx)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        ready!(this.poll_answer(cx))?;
        if let Some(answer) = this.replacement(bytes) {
            this.answer = answer;
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.limit(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let [bytes] = slices {
            return self.poll_write(cx, bytes);
        }
        let this = &mut *self;
        ready!(this.poll_answer(cx))?;
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, slices);
        this.limit(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_answer(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        ready!(this.poll_answer(cx))?;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        ready!(this.poll_linger(cx));
        Poll::Ready(Ok(()))
    }
}
