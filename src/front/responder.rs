//! What answers requests behind a listener.

use super::{Body, Limits, Problem};
use crate::unit::Span;
use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;

/// What answers requests behind a listener.
pub trait Responder: Send + Sync {
    /// Answers one request. Dropped before its end if the caller goes away.
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>>;

    /// Returns the limits for a connection that opens now.
    fn limits(&self) -> Limits;

    /// Returns the refusal that a new connection gets without being read, if no request can be
    /// taken now: reading and answering it as usual would cost more than the router has left.
    /// `full` tells that there are as many connections as there may be.
    fn refusal(&self, full: bool) -> Option<Problem> {
        let detail = "the router has as many connections as it may have";
        full.then(|| Problem::not_run(detail, Span::from_secs(1)))
    }
}
