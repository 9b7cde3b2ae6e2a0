//! Servers that reject a few long requests of a stream's route early, before they are in.

use crate::{
    Verdict,
    fleet::{self, HOST, KEY, Route, Router},
    http::Connection,
    record::{Record, Tally},
    replica::{Replica, Request},
    store::Store,
    window::Window,
};
use std::{
    collections::HashMap,
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const CLIENTS: u64 = 30;
const LENGTH: Duration = Duration::from_secs(8);
/// Length of the disruption: `garble` of the site file has 5.0 s with a share of 0.6.
const REJECTION: Duration = Duration::from_secs(5);
const EVENTS: u64 = 10;
const EVENT_GAP: Duration = Duration::from_millis(8);
/// Size of a long request, far below `max-body-bytes` (4 MiB).
const LONG_BYTES: usize = 140_000;
const SERVERS: u64 = 4;
/// Servers that reject requests early: a share of 0.5. `garble` of the site file has 0.6.
const REJECTING: u64 = 2;
/// One request in this many is rejected early by them: 0.029. `garble` of the site file has 0.03.
const REJECTED_EVERY: u64 = 34;
/// Requests that may be lost on kept connections: "more than three times" breaks the rule.
const ALLOWED: usize = 3;

/// What a server did with a request.
#[derive(Clone, Debug, Default)]
struct Seen {
    run: u32,
    rejected: u32,
}

type Ledger = Arc<Mutex<HashMap<String, Seen>>>;

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> Verdict {
    let store = Store::open();
    let route = |name, attempts, resumable| Route {
        name,
        kind: "stream",
        service: "llm",
        attempts,
        timeout_ms: 10_000,
        resumable,
    };
    let routes = [route("plan", 2, true), route("sum", 1, false)];
    store.put("op", "config", &fleet::configuration(7, &routes));
    let ledger = Ledger::default();
    let window = Arc::new(Window::default());
    let servers: Vec<Arc<Replica>> = (0..SERVERS)
        .map(|index| {
            let (ledger, window) = (ledger.clone(), window.clone());
            let count = AtomicU64::new(0);
            let handle = move |request: &mut Request<'_>| {
                let drawn = count.fetch_add(1, Ordering::Relaxed) % REJECTED_EVERY;
                serve(
                    request,
                    &ledger,
                    index < REJECTING && drawn == REJECTED_EVERY - 1 && window.is_open(),
                )
            };
            Replica::open(&store, &format!("i-llm{index}"), "llm", handle)
        })
        .collect();
    let router = Router::start(folder, "front-saburtalo-1", store.address);
    if !router.wait_ready(Duration::from_secs(10)) {
        return Err(format!("the router isn't ready: {}", router.log()));
    }
    thread::sleep(fleet::STABILITY + Duration::from_millis(500));
    if is_troubled {
        record.line("two servers begin to reject requests early");
        window.begin(REJECTION);
    }
    let end = Instant::now() + LENGTH;
    let tally = Tally::default();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (ledger, router, tally) = (&ledger, &router, &tally);
            scope.spawn(move || call_until(end, client, router, ledger, tally, record));
        }
    });
    drop(servers);
    let what = "requests on kept connections that a sound server answered and whose connection was closed without an \
                answer";
    tally.verdict(record, what, ALLOWED)
}

/// Answers a stream, or rejects it before its body is read and reads on later.
fn serve(request: &mut Request<'_>, ledger: &Ledger, is_rejected: bool) -> io::Result<bool> {
    let id = request.id();
    if is_rejected {
        ledger.lock().unwrap().entry(id).or_default().rejected += 1;
        let body = "{\"error\":\"the prompt is too long\"}";
        request.answer(
            "413 Content Too Large",
            "content-type: application/json\r\n",
            body,
        )?;
        thread::sleep(Duration::from_millis(20));
        request.read_body()?;
        return Ok(true);
    }
    request.read_body()?;
    ledger.lock().unwrap().entry(id).or_default().run += 1;
    request.begin_stream()?;
    for number in 1..=EVENTS {
        request.event(number)?;
        thread::sleep(EVENT_GAP);
    }
    request.end_stream()?;
    Ok(true)
}

/// Sends requests on a connection that is kept; those that were lost are wrong.
fn call_until(
    end: Instant,
    client: u64,
    router: &Router,
    ledger: &Ledger,
    tally: &Tally,
    record: &Record,
) {
    let mut connection: Option<Connection> = None;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let is_kept = connection.is_some();
        let mut open = match connection.take() {
            Some(open) => open,
            None => match Connection::open(router.front, Duration::from_secs(12)) {
                Ok(open) => open,
                Err(error) => {
                    record.line(&format!("client {client}: no connection: {error}"));
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
            },
        };
        let id = format!("{client:04x}{number:012x}");
        let route = if number % 2 == 0 { "plan" } else { "sum" };
        let answer = open.call(&message(route, &id));
        let seen = ledger.lock().unwrap().get(&id).cloned().unwrap_or_default();
        let is_answered = answer.head.is_some();
        let is_lost = is_kept && !is_answered && seen.rejected + seen.run > 0;
        if is_lost {
            tally.count_wrong();
        }
        let is_whole = answer.status() == 200 && answer.whole;
        tally.count(is_whole);
        if !is_whole {
            record.line(&format!(
                "request {id} /{route}/ (kept connection: {is_kept}): servers ran it {} times and answered 413 {} \
                 times; the client got status {}, {} bytes, whole: {}{}",
                seen.run,
                seen.rejected,
                answer.status(),
                answer.body.len(),
                answer.whole,
                if answer.end.is_empty() { String::new() } else { format!(", {}", answer.end) },
            ));
        }
        if open.open {
            connection = Some(open);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn message(route: &str, id: &str) -> Vec<u8> {
    let head = format!(
        "POST /{route}/2f HTTP/1.1\r\nhost: {HOST}\r\nx-marlrun-request-id: {id}\r\n\
         x-marlrun-model: m\r\nx-marlrun-token-count: 1460,80\r\n\
         x-marlrun-prompt-prefix: 5c1e07a2:800,{id}:660\r\nx-marlrun-deadline-ms: 10000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {LONG_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + LONG_BYTES, b'p');
    bytes
}
