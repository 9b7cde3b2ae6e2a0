//! What the stand-ins of all targets have in common: health, faults and accounts.

use super::{
    Script, WarmUp,
    cold::Cold,
    labels::{self, Labels},
    ledger::Ledger,
    reply::{self, Body, Dropped, Reply},
    run::Run,
    server::{Pause, Pauses},
    slots::Slots,
};
use crate::{clock, platform::Header, unit::Span};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue, RETRY_AFTER},
};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

/// Header that says whether a refused request was run.
const OUTCOME: HeaderName = HeaderName::from_static("marlrun-outcome");
/// Outcome of a request that was not run.
const NOT_RUN: HeaderValue = HeaderValue::from_static("not-run");
/// Attempt that no router makes.
const WRONG_ATTEMPT: HeaderValue = HeaderValue::from_static("ffffffffffffffff-0");
/// Wait that a refusal asks for, in seconds.
const REFUSAL_RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// State that the stand-ins of all targets have.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) slots: Arc<Slots>,
    ledger: Arc<Ledger>,
    script: Mutex<Script>,
    leaving: AtomicBool,
    pauses: mpsc::UnboundedSender<Pause>,
    cold: Mutex<Cold>,
}

impl Target {
    pub(super) fn open(slots: u32, load_lag: Span) -> (Self, Pauses) {
        let (pauses, receiver) = mpsc::unbounded_channel();
        let target = Self {
            slots: Slots::new(slots, load_lag),
            ledger: Arc::default(),
            script: Mutex::default(),
            leaving: AtomicBool::new(false),
            pauses,
            cold: Mutex::default(),
        };
        (target, receiver)
    }

    /// Answers a call of the control interface, or returns `None` if it is not one.
    pub(super) async fn control(&self, method: &Method, path: &str, body: &Bytes) -> Option<Reply> {
        let reply = match (method, path) {
            (&Method::GET, "/health") => self.health(),
            (&Method::GET, "/load") => reply::json(&self.slots.load()),
            (&Method::GET, "/runs") => reply::json(&self.ledger.copy(self.slots.usage())),
            (&Method::GET, "/stats") => reply::json(&self.ledger.total(self.slots.usage())),
            (&Method::POST, "/leave") => {
                self.leaving.store(true, Ordering::Relaxed);
                reply::done()
            }
            (&Method::POST, "/faults") => match reply::parse(body) {
                Ok(script) => self.set_script(script).await,
                Err(malformed) => malformed.into(),
            },
            (&Method::POST, "/cold") => match reply::parse::<WarmUp>(body) {
                Ok(warm_up) => {
                    self.cold().begin(clock::now(), warm_up);
                    reply::done()
                }
                Err(malformed) => malformed.into(),
            },
            _ => return None,
        };
        Some(reply)
    }

    /// Counts a request to a target that may be cold; returns whether the target crashed under it, and refuses
    /// connections now.
    pub(super) async fn count_cold(&self) -> bool {
        let crashed = self.cold().count(clock::now());
        if let Some(warm_up) = crashed {
            self.refuse_for(warm_up.down).await;
        }
        crashed.is_some()
    }

    fn cold(&self) -> MutexGuard<'_, Cold> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the faults that hit the next request.
    pub(super) fn next_faults(&self) -> Script {
        self.script
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .next()
    }

    /// Takes in a request with this content.
    pub(super) fn admit(&self, headers: &HeaderMap, content: &str) -> Run {
        let leaving = self.leaving.load(Ordering::Relaxed);
        self.ledger.admit(Labels::of(headers, content), leaving)
    }

    /// Puts faults in force; connections are refused from the reply on, if they are to be.
    async fn set_script(&self, script: Script) -> Reply {
        let length = script.refuse_for;
        *self.script.lock().unwrap_or_else(PoisonError::into_inner) = script;
        if length > Span(0) {
            self.refuse_for(length).await;
        }
        reply::done()
    }

    /// Refuses connections for a time; returns once it does.
    async fn refuse_for(&self, length: Span) {
        let (begun, has_begun) = oneshot::channel();
        // The server ends only together with the target.
        let _ = self.pauses.send(Pause { length, begun });
        let _ = has_begun.await;
    }

    fn health(&self) -> Reply {
        if self.leaving.load(Ordering::Relaxed) {
            return reply::problem(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        }
        let mut reply = reply::done();
        let left = self.cold().left(clock::now()).as_millis();
        reply.headers_mut().insert(Header::COLD, left.into());
        reply
    }
}

/// Returns the answer to a request that is not run.
pub(super) fn not_run() -> Reply {
    let mut reply = reply::problem(StatusCode::SERVICE_UNAVAILABLE, "not run");
    reply.headers_mut().insert(OUTCOME, NOT_RUN);
    reply.headers_mut().insert(RETRY_AFTER, REFUSAL_RETRY_AFTER);
    reply
}

/// Returns a whole answer as the faults leave it.
pub(super) async fn whole(body: Bytes, faults: &Script) -> Result<Body, Dropped> {
    sleep(faults.first_byte_delay.into()).await;
    if faults.lose_answer {
        return Err(Dropped);
    }
    if !faults.short_body {
        return Ok(reply::whole(body));
    }
    let half = body.len() as u64 / 2;
    Ok(reply::cut_off(body, half))
}

/// Copies the identifiers of a request to its answer.
pub(super) fn echo(reply: &mut Reply, request: &HeaderMap, faults: &Script) {
    for name in [labels::ATTEMPT, labels::REQUEST] {
        if let Some(value) = request.get(name) {
            reply.headers_mut().insert(name, value.clone());
        }
    }
    if faults.wrong_attempt {
        reply.headers_mut().insert(labels::ATTEMPT, WRONG_ATTEMPT);
    }
}

/// Declares the length of an answer, whatever its body holds.
pub(super) fn declare_length(reply: &mut Reply, length: usize) {
    reply.headers_mut().insert(CONTENT_LENGTH, length.into());
}
