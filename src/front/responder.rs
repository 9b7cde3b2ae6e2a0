//! Request handler of a listener.

use super::{Body, Limits, Problem};
use crate::{memory, unit::Span};
use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use std::io;

/// Request handler of a listener.
pub trait Responder: Send + Sync {
    /// Responds to one request. The future is dropped early if the caller disconnects.
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>>;

    /// Returns the limits in force. Open connections ask for them, too, when a timeout starts or has
    /// passed.
    fn limits(&self) -> Limits;

    /// Returns the budget of memory for connections; `None` if there is none.
    fn memory(&self) -> Option<memory::Pool> {
        None
    }

    /// Returns the refusal to send on a new connection without reading its request, if no request
    /// can be accepted now: an overloaded router cannot afford to read the request and respond as
    /// usual. `full` tells that the connection limit is reached. Called once for each connection.
    fn refusal(&self, full: bool) -> Option<Problem> {
        let detail = "the router has reached its connection limit";
        full.then(|| Problem::not_run(detail, Span::from_secs(1)))
    }

    /// Reports whether further connections would be refused, except for the connection limit.
    fn is_full(&self) -> bool {
        false
    }

    /// Records that new connections are reset for a while, because refusing takes too much time.
    fn record_closed(&self) {}

    /// Records that the listener can't be opened again; it is tried until it can. Called once for each time that it
    /// was closed.
    fn record_unopened(&self, _cause: &io::Error) {}

    /// Records the time that it took to refuse connections without reading their requests.
    fn record_refusing(&self, _spent: Span) {}
}
