//! Callers' connections below HTTP: limits of time, and problem documents in place of the empty
//! answers that the HTTP library gives to a head that it can't read.

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

/// Time in which a caller has to read its answer and close, after the router closed its side: a
/// connection that is closed with unread bytes may be reset before the answer is read.
const LINGER: Duration = Duration::from_secs(1);
/// Longest head of an answer that the HTTP library gives by itself, in bytes.
const MAX_OWN_HEAD: usize = 256;
/// Bytes that are read and dropped at once while a connection closes.
const DISCARD_BYTES: usize = 4_096;

/// What the service tells the transport about its requests.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Requests whose head came.
    begun: AtomicU64,
    /// A request runs, or its answer is being given.
    running: AtomicBool,
}

impl Progress {
    /// Reports whether a request runs or its answer is being given.
    pub(super) fn is_running(&self) -> bool {
        self.running.load(Ordering::Relaxed)
    }
}

/// Time limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    /// For a head that was begun.
    pub(super) head: Duration,
    /// For the next head, and for a caller that takes nothing of its answer.
    pub(super) idle: Duration,
}

/// A request that runs until this is dropped.
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

/// A caller's connection.
pub(super) struct Transport {
    stream: TcpStream,
    times: Times,
    progress: Arc<Progress>,
    /// Requests begun when the transport last looked.
    begun: u64,
    /// Bytes of a head came that is not whole.
    partial: bool,
    /// No more is read from the caller.
    ended: bool,
    /// Answer of the transport's own that is left to send.
    answer: Bytes,
    /// Limit of the wait for a head.
    head: Option<Pin<Box<Sleep>>>,
    /// Limit of the wait for a caller that reads nothing.
    stall: Option<Pin<Box<Sleep>>>,
    /// Limit of the wait for a caller to close.
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

    /// Reports whether a head is awaited, and starts its time.
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

    /// Ends a connection whose head takes too long: with an answer if a part of it came.
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
            let detail = format!("the head did not arrive within {limit:?}");
            self.answer = Problem::invalid(StatusCode::REQUEST_TIMEOUT, detail).message();
        }
        self.ended = true;
        Poll::Ready(())
    }

    /// Sends what is left of an answer of the transport's own.
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

    /// Fails a write that the caller has held up for too long.
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

    /// Returns the problem document in place of an answer that the HTTP library gives by itself.
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
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => "the head is too large",
            StatusCode::URI_TOO_LONG => "the path is too long",
            _ => "the head is not of HTTP/1.1",
        };
        Some(Problem::invalid(status, detail).message())
    }

    /// Reads and drops what the caller still sends, until it closes.
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
                    // From now on the time of a head counts.
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
