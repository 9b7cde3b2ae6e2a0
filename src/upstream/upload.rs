//! Body of a request on its way to a target.

use super::{pool::Body, sending::Sending};
use bytes::Bytes;
use hyper::body::{Body as _, Frame, SizeHint};
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// Body of a request that records when the client has taken all of it.
#[derive(Debug)]
pub struct Upload {
    body: Body,
    sending: Arc<Sending>,
}

impl Upload {
    pub(super) fn new(body: Body, sending: Arc<Sending>) -> Self {
        let upload = Self { body, sending };
        upload.record();
        upload
    }

    fn record(&self) {
        if self.body.is_end_stream() {
            self.sending.record_taken();
        }
    }
}

impl hyper::body::Body for Upload {
    type Data = Bytes;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.record();
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
