//! Refused connections that stay open until their callers have read the refusal.

use super::Problem;
use crate::{
    clock, metric,
    unit::{Span, Time},
};
use bytes::Bytes;
use std::{
    collections::VecDeque,
    io::{self, Write},
    net::{Shutdown, TcpStream},
};

/// Time for which a refused connection stays open so that the caller can read the refusal: closing
/// a connection with unread bytes resets it, and the refusal may be lost.
const READ_GRACE: Span = Span::from_millis(500);
/// Maximum number of refused connections kept open, since each takes a file descriptor; beyond it
/// the oldest one is closed, whose refusal has most likely been read.
const MAX_OPEN: usize = 800;

/// Refused connections that stay open until their callers have read the refusal.
///
/// A refusal takes a few system calls and no task, so that an overloaded router has time left for
/// the requests that it accepted.
#[derive(Default)]
pub(super) struct Refused {
    connections: VecDeque<(Time, TcpStream)>,
    /// Last problem that was sent, and its encoding.
    encoded: Option<(Problem, Bytes)>,
}

impl Refused {
    /// Sends a refusal on a connection without reading the request.
    pub(super) fn refuse(&mut self, stream: TcpStream, problem: &Problem) {
        let known = self.encoded.take().filter(|(known, _)| known == problem);
        let (_, message) = self
            .encoded
            .insert(known.unwrap_or_else(|| (problem.clone(), problem.message())));
        let result = match write_refusal(stream, message) {
            Ok(stream) => {
                if self.connections.len() >= MAX_OPEN {
                    self.connections.pop_front();
                }
                self.connections
                    .push_back((clock::now() + READ_GRACE, stream));
                "answered"
            }
            // The caller disconnected before the refusal was written.
            Err(_) => "left",
        };
        metrics::counter!(metric::REFUSED_UNREAD, "result" => result).increment(1);
    }

    /// Closes connections whose time is over.
    pub(super) fn close_expired(&mut self) {
        let now = clock::now();
        while self
            .connections
            .front()
            .is_some_and(|(expiry, _)| *expiry <= now)
        {
            self.connections.pop_front();
        }
    }

    /// Returns the time until the next connection closes.
    pub(super) fn next_expiry(&self) -> Option<Span> {
        let first = self.connections.front();
        first.map(|(expiry, _)| expiry.since(clock::now()))
    }
}

/// Writes the refusal, which fits in the send buffer of a new connection, and shuts down that side.
fn write_refusal(mut stream: TcpStream, message: &[u8]) -> io::Result<TcpStream> {
    stream.write_all(message)?;
    stream.shutdown(Shutdown::Write)?;
    Ok(stream)
}
