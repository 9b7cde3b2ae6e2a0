//! Socket of a connection to a target.

use super::sending::Sending;
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Socket that records whether the request was sent when the target ended the connection, and resets a connection whose
/// request is given up.
pub(super) struct Wire {
    stream: TcpStream,
    sending: Arc<Sending>,
}

impl Wire {
    pub(super) fn new(stream: TcpStream, sending: Arc<Sending>) -> Self {
        Self { stream, sending }
    }
}

impl Drop for Wire {
    /// After a mere close, the system would go on to send what a partition holds up, so that the target gets the request
    /// long after it was given up.
    fn drop(&mut self) {
        if self.sending.is_unanswered() {
            // Fails only if the connection has ended.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() == before && buffer.remaining() > 0 {
            // Reads don't fail after a reset that followed the end.
            if let Some(error) = self.stream.take_error()? {
                return Poll::Ready(Err(error));
            }
            self.sending.record_end();
        }
        if buffer.filled().len() > before {
            self.sending.record_received();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The client flushes the socket once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.sending.record_flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
