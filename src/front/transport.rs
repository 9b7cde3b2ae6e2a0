//! Byte stream of a caller's connection: enforces timeouts, and replaces the empty responses that
//! hyper sends for an invalid request head by problem details.

use super::{Problem, Responder, timer::Timer};
use crate::{
    memory::{Account, Stage},
    metric,
};
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
const MAX_GENERATED_BYTES: usize = 256;
/// Size of the buffer for reads that are discarded while a connection closes.
const DISCARD_BYTES: usize = 4_096;

/// Maximum number of bytes that are discarded if bodies are limited to less.
const MIN_DISCARDED_BYTES: usize = 64 << 10;
/// Bytes of a response by which a blocked caller makes progress: a caller that reads a byte now and then holds
/// the rest for as long as it likes.
const WRITE_PROGRESS_BYTES: usize = 16 << 10;

/// Maximum time of a blocked write while memory is too short to buffer the response: the target waits for the caller
/// then, and callers that never read would keep all of its slots until the idle timeout.
const UNBUFFERED_TIMEOUT: Duration = Duration::from_secs(2);

/// Progress of the requests on a connection; shared by the service and the transport.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Number of requests whose head was received.
    requests: AtomicU64,
    /// A request is in progress: received, and its response is not written completely.
    active: AtomicBool,
    /// A part of a response that was written is not sent. The response may still be waiting then
    /// after its request has ended.
    unsent: AtomicBool,
    /// A response was broken off whose end is marked by that of the connection alone.
    truncated: AtomicBool,
}

impl Progress {
    /// Reports whether a request is in progress.
    pub(super) fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    /// Reports whether a part of a response is not sent.
    pub(super) fn is_unsent(&self) -> bool {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Records that a response was broken off whose end is marked by that of the connection alone. The
    /// connection is then reset, so that the response doesn't look complete.
    pub(super) fn record_truncation(&self) {
        self.truncated.store(true, Ordering::Relaxed);
    }

    fn set_unsent(&self, unsent: bool) {
        self.unsent.store(unsent, Ordering::Relaxed);
    }
}

/// Marks a request as in progress until it is dropped.
pub(super) struct Guard(Arc<Progress>);

impl Guard {
    pub(super) fn begin(progress: &Arc<Progress>) -> Self {
        progress.requests.fetch_add(1, Ordering::Relaxed);
        progress.active.store(true, Ordering::Relaxed);
        Self(progress.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.active.store(false, Ordering::Relaxed);
    }
}

/// Byte stream of a caller's connection.
pub(super) struct Transport {
    stream: TcpStream,
    /// Tells the timeouts in force.
    responder: Arc<dyn Responder>,
    progress: Arc<Progress>,
    account: Account,
    /// The account knows that a request head is awaited.
    awaits_head_noted: bool,
    /// Bytes written since a write was last blocked without progress; `None` if none is.
    blocked_written: Option<usize>,
    /// Bytes discarded while the connection closes.
    discarded: usize,
    /// Value of `Progress::requests` at the last check.
    requests: u64,
    /// A part of a request head was received.
    head_started: bool,
    /// Timed out; nothing more is read.
    timed_out: bool,
    /// Unsent rest of a response that the transport generated.
    generated: Bytes,
    /// Timeout of the wait for a request head.
    head_timer: Option<Timer>,
    /// Timeout of a blocked write.
    write_timer: Option<Timer>,
    /// Timeout of the wait for the caller to close.
    linger_timer: Option<Pin<Box<Sleep>>>,
}

impl Transport {
    pub(super) fn new(
        stream: TcpStream,
        responder: Arc<dyn Responder>,
        progress: Arc<Progress>,
        account: Account,
    ) -> Self {
        Self {
            stream,
            responder,
            progress,
            account,
            awaits_head_noted: false,
            blocked_written: None,
            discarded: 0,
            requests: 0,
            head_started: false,
            timed_out: false,
            generated: Bytes::new(),
            head_timer: None,
            write_timer: None,
            linger_timer: None,
        }
    }

    /// Reports whether a request head is awaited; clears its timer once the request has begun.
    fn awaits_head(&mut self) -> bool {
        let requests = self.progress.requests.load(Ordering::Relaxed);
        if requests != self.requests {
            self.requests = requests;
            self.head_started = false;
            self.head_timer = None;
            self.awaits_head_noted = false;
        }
        let awaits = !self.progress.active.load(Ordering::Relaxed);
        if !awaits {
            self.head_timer = None;
            self.awaits_head_noted = false;
        } else if !std::mem::replace(&mut self.awaits_head_noted, true) {
            self.account.enter(Stage::Head);
        }
        awaits
    }

    /// Ends the connection if the head timeout has passed: with a 408 response if a part of the
    /// head was received, silently if not.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let responder = &self.responder;
        let limit = || {
            let limits = responder.limits();
            Duration::from(if self.head_started {
                limits.head_timeout
            } else {
                limits.idle_timeout
            })
        };
        let timer = self.head_timer.get_or_insert_with(|| Timer::open(limit()));
        let is_shed = self.account.poll_shed(cx).is_ready();
        let limit = if is_shed {
            limit()
        } else {
            ready!(timer.poll(cx, limit))
        };
        let reason = match (is_shed, self.head_started) {
            (true, _) => "memory",
            (false, true) => "head",
            (false, false) => "idle",
        };
        count_closed(reason);
        if self.head_started {
            let detail = if is_shed {
                "the request head stopped arriving while the router is short of memory".into()
            } else {
                format!("the request head did not arrive within {limit:?}")
            };
            self.generated = Problem::invalid(StatusCode::REQUEST_TIMEOUT, detail).message();
        }
        self.timed_out = true;
        Poll::Ready(())
    }

    /// Sends the rest of a response that the transport generated.
    fn poll_generated(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.generated.is_empty() {
            let written = Pin::new(&mut self.stream).poll_write(cx, &self.generated);
            let written = ready!(self.check_stall(cx, written))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.generated.advance(written);
        }
        Poll::Ready(Ok(()))
    }

    /// Fails a write that was blocked for longer than the idle timeout.
    fn check_stall(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = &written {
            self.write_timer = None;
            if let (Some(total), Ok(count)) = (&mut self.blocked_written, result) {
                *total += count;
                if *total >= WRITE_PROGRESS_BYTES {
                    self.blocked_written = Some(0);
                    self.account.record_progress();
                }
            }
            return written;
        }
        if self.blocked_written.is_none() {
            self.blocked_written = Some(0);
            self.account.enter(Stage::Response);
        }
        if self.account.poll_shed(cx).is_ready() {
            count_closed("memory");
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let (responder, account) = (&self.responder, &self.account);
        let limit = || {
            let idle = Duration::from(responder.limits().idle_timeout);
            if account.is_unbuffered() {
                idle.min(UNBUFFERED_TIMEOUT)
            } else {
                idle
            }
        };
        let timer = self.write_timer.get_or_insert_with(|| Timer::open(limit()));
        ready!(timer.poll(cx, limit));
        count_closed("write");
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Returns problem details to send in place of `bytes`, if they are an error response that
    /// hyper generated by itself.
    fn replace_generated(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if !self.awaits_head() || !self.head_started || bytes.len() > MAX_GENERATED_BYTES {
            return None;
        }
        let head = std::str::from_utf8(bytes).ok()?;
        let status = head.strip_prefix("HTTP/1.1 ")?.get(..3)?;
        let is_generated = head.ends_with("\r\n\r\n")
            && head.contains("\r\ncontent-length: 0\r\n")
            && !head.contains("\r\nmarlrun-");
        let status: StatusCode = status.parse().ok()?;
        if !is_generated || !status.is_client_error() {
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
            .linger_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let most = self.responder.limits().body_bytes.max(MIN_DISCARDED_BYTES);
        while self.discarded <= most {
            let mut space = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut space);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer)) {
                // Part of a request that crossed the end of the connection.
                Ok(()) if !buffer.filled().is_empty() => {
                    if self.discarded == 0 {
                        count_closed("crossed");
                    }
                    self.discarded += buffer.filled().len();
                }
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
        count_closed("discarded");
        Poll::Ready(())
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        if self.progress.truncated.load(Ordering::Relaxed) {
            // If this fails, the caller is gone.
            let _ = self.stream.set_zero_linger();
        }
    }
}

fn count_closed(reason: &'static str) {
    metrics::counter!(metric::CALLERS_CLOSED, "reason" => reason).increment(1);
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let awaits_head = this.awaits_head();
        if !this.timed_out {
            let before = buffer.filled().len();
            if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(cx, buffer) {
                if awaits_head && !this.head_started && buffer.filled().len() > before {
                    this.head_started = true;
                    // Restart the timer: the head timeout applies now instead of the idle timeout.
                    this.head_timer = None;
                }
                return Poll::Ready(read);
            }
            if !awaits_head {
                return Poll::Pending;
            }
            ready!(this.poll_head_timeout(cx));
        }
        this.poll_generated(cx)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.progress.set_unsent(true);
        ready!(this.poll_generated(cx))?;
        if let Some(generated) = this.replace_generated(bytes) {
            this.generated = generated;
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.check_stall(cx, written)
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
        this.progress.set_unsent(true);
        ready!(this.poll_generated(cx))?;
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, slices);
        this.check_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_generated(cx))?;
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.progress.set_unsent(false);
        if self.blocked_written.take().is_some() {
            self.awaits_head_noted = false;
            self.account.enter(Stage::Run);
        }
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        ready!(this.poll_generated(cx))?;
        if this.linger_timer.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        if this.timed_out && !this.head_started {
            // No response needs protection, and a request that crosses the close stays unread.
            return Poll::Ready(Ok(()));
        }
        ready!(this.poll_linger(cx));
        Poll::Ready(Ok(()))
    }
}
