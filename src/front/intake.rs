//! Reading of request bodies within the budget of memory.

use super::Problem;
use crate::{
    clock,
    memory::{Account, Builder, Payload, Refusal, Stage},
    unit::Span,
};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::{future::poll_fn, time::Duration};

/// Bytes that a request takes beside its body: its head as parsed, its task, and the read buffer of the
/// connection to its target.
const REQUEST_BYTES: u64 = 24 << 10;
/// Bytes that are held first for a body of unknown length; doubled whenever they are used up.
const FIRST_BYTES: usize = 8 << 10;
/// Part of the body timeout that is divided into steps of progress: a caller that is just within the limits sends
/// this part of its body in half a second of a timeout of 30 s.
const PROGRESS_DIVISOR: usize = 60;
/// `Retry-After` of a request that is refused for memory: stalled callers are closed by then.
const RETRY_AFTER: Span = Span::from_millis(1_000);

/// Limits on a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Intake {
    /// Maximum size.
    pub(crate) body_bytes: usize,
    /// Maximum time for it to arrive.
    pub(crate) timeout: Span,
}

impl Intake {
    /// Reads a body. A refusal closes the connection, on which a part of the body may still arrive.
    pub(crate) async fn read(&self, body: Incoming, account: &Account) -> Result<Payload, Problem> {
        let read = self.read_within(body, account).await;
        account.enter(Stage::Run);
        read.map_err(Problem::closing)
    }

    async fn read_within(&self, mut body: Incoming, account: &Account) -> Result<Payload, Problem> {
        let announced = body.size_hint().exact();
        let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced.is_some_and(|bytes| bytes > self.body_bytes) {
            return Err(self.too_large());
        }
        let mut room = announced.unwrap_or(FIRST_BYTES);
        let mut charge = account
            .hold(REQUEST_BYTES + room as u64)
            .await
            .map_err(refused)?;
        let deadline = clock::now() + self.timeout;
        let mut builder = Builder::new(announced);
        account.enter(Stage::Body);
        let mut noted = 0;
        loop {
            let left = Duration::from(deadline.since(clock::now()));
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout(left, body.frame()) => frame,
                () = poll_fn(|cx| account.poll_shed(cx)) => return Err(stalled()),
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => {
                    let detail = format!("cannot read the request body: {error}");
                    return Err(Problem::invalid(StatusCode::BAD_REQUEST, detail));
                }
                Ok(None) => break,
                Err(_) => return Err(self.too_late()),
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let length = builder.len() + bytes.len();
            if length > self.body_bytes {
                return Err(self.too_large());
            }
            while length > room {
                charge.merge(account.hold(room as u64).await.map_err(refused)?);
                room *= 2;
            }
            builder.push(bytes);
            if length - noted >= (room / PROGRESS_DIVISOR).max(1) {
                noted = length;
                account.record_progress();
            }
        }
        charge.shrink(REQUEST_BYTES + builder.len() as u64);
        Ok(builder.finish(charge))
    }

    fn too_large(&self) -> Problem {
        let detail = format!("the request body is larger than {} bytes", self.body_bytes);
        Problem::invalid(StatusCode::PAYLOAD_TOO_LARGE, detail)
    }

    fn too_late(&self) -> Problem {
        let detail = format!("the request body did not arrive within {}", self.timeout);
        Problem::invalid(StatusCode::REQUEST_TIMEOUT, detail)
    }
}

fn refused(_: Refusal) -> Problem {
    let detail = "the router is short of memory for requests";
    Problem::not_run(detail, RETRY_AFTER)
}

fn stalled() -> Problem {
    let detail = "the request body stopped arriving while the router is short of memory";
    Problem::invalid(StatusCode::REQUEST_TIMEOUT, detail)
}
