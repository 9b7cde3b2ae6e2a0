//! Limit on what a connection may send before its peer has proved to have the fleet key.

use futures::io::AsyncRead;
use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

/// Maximum number of bytes of a handshake; usual ones have a few hundred. A message is announced with its size, so
/// that anyone could have the router fill 64 MB for each connection.
const MAX_HELLO_BYTES: usize = 16 << 10;

/// Reader that fails once more than a handshake was read without a proof.
pub(super) struct Gate<R> {
    reader: R,
    authenticated: Rc<Cell<bool>>,
    read: usize,
}

impl<R> Gate<R> {
    pub(super) fn new(reader: R, authenticated: Rc<Cell<bool>>) -> Self {
        Self {
            reader,
            authenticated,
            read: 0,
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Gate<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        space: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.authenticated.get() {
            return Pin::new(&mut self.reader).poll_read(cx, space);
        }
        let room = MAX_HELLO_BYTES - self.read;
        if room == 0 {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let most = room.min(space.len());
        let count = ready!(Pin::new(&mut self.reader).poll_read(cx, &mut space[..most]))?;
        self.read += count;
        Poll::Ready(Ok(count))
    }
}
