//! HTTP front end: receives the callers' requests, executes the commands of the control thread and
//! relays responses from targets to callers.

mod answer;
mod call;
mod command;
mod event;
mod exchange;
mod handler;
pub(crate) mod header;
mod intake;
mod limits;
mod problem;
mod refused;
mod responder;
mod seconds;
mod server;
mod socket;
mod throttle;
mod timer;
mod transport;

pub(crate) use self::intake::Intake;

pub use self::{
    answer::Answer,
    call::Call,
    command::Command,
    event::Event,
    handler::Handler,
    limits::Limits,
    problem::{Execution, Problem},
    responder::Responder,
    seconds::Seconds,
    server::{Server, Settings},
    throttle::Throttle,
};

/// Receiver of the front end's events; the control thread in the daemon.
pub trait Sink: Send + Sync {
    /// Queues an event without blocking.
    fn send(&self, event: Event);
}

/// Body of a response to a caller.
pub(crate) type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, std::io::Error>;

/// Returns a body whose bytes are all in memory.
pub(crate) fn full_body(bytes: impl Into<bytes::Bytes>) -> Body {
    use http_body_util::BodyExt;
    let full = http_body_util::Full::new(bytes.into());
    full.map_err(|never| match never {}).boxed_unsync()
}
