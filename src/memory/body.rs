//! A payload as the body of a request.

use super::Payload;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

/// A payload as the body of a request.
#[derive(Debug)]
pub struct Body {
    payload: Payload,
    /// Segment to send next.
    next: usize,
    sent: usize,
}

impl Body {
    pub(super) fn new(payload: Payload) -> Self {
        Self {
            payload,
            next: 0,
            sent: 0,
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.payload.segment(self.next).cloned();
        self.next += 1;
        self.sent += segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.payload.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.payload.len() - self.sent) as u64)
    }
}
