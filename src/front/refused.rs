//! Connections that were refused and wait for their callers to read why.

use super::Problem;
use crate::{
    clock, metric,
    unit::{Span, Time},
};
use std::{
    collections::VecDeque,
    io::{self, Write},
    net::{Shutdown, TcpStream},
};

/// Time in which a refused caller has to read its answer: a connection that is closed with unread
/// bytes is reset, and the answer may be lost with it.
const READ_TIME: Span = Span::from_millis(500);
/// Refused connections that are open at most, each with a descriptor; the oldest one, whose answer
/// has most likely been read, makes way for the next.
const MAX_OPEN: usize = 800;

/// Connections that were refused and wait for their callers to read why.
///
/// Answers the load of a router that can't carry its callers: a refusal costs a few system calls and
/// no task, so that there is time left for the requests that were taken.
#[derive(Default)]
pub(super) struct Refused {
    open: VecDeque<(Time, TcpStream)>,
}

impl Refused {
    /// Answers a connection without reading its request.
    pub(super) fn refuse(&mut self, stream: tokio::net::TcpStream, problem: &Problem) {
        let answered = stream.into_std().and_then(|stream| answer(stream, problem));
        let result = match answered {
            Ok(stream) => {
                if self.open.len() >= MAX_OPEN {
                    self.open.pop_front();
                }
                self.open.push_back((clock::now() + READ_TIME, stream));
                "answered"
            }
            // The caller went away before it was answered.
            Err(_) => "left",
        };
        metrics::counter!(metric::REFUSED_UNREAD, "result" => result).increment(1);
    }

    /// Closes connections whose callers had their time.
    pub(super) fn close(&mut self) {
        let now = clock::now();
        while self.open.front().is_some_and(|(until, _)| *until <= now) {
            self.open.pop_front();
        }
    }

    /// Returns the time until the next connection closes.
    pub(super) fn next(&self) -> Option<Span> {
        let first = self.open.front();
        first.map(|(until, _)| until.since(clock::now()))
    }
}

/// Writes an answer, which fits the buffer of a new connection, and ends it.
fn answer(mut stream: TcpStream, problem: &Problem) -> io::Result<TcpStream> {
    stream.write_all(&problem.message())?;
    stream.shutdown(Shutdown::Write)?;
    Ok(stream)
}
