//! A router is stopped while clients on slow lines send long requests.

use crate::{
    Verdict,
    fleet::{self, HOST, KEY, Route, Router},
    http::Connection,
    record::{Record, Tally},
    replica::{Replica, Request},
    store::Store,
};
use std::{
    collections::HashMap,
    io,
    path::Path,
    sync::{Arc, Barrier, Mutex},
    thread,
    time::{Duration, Instant},
};

const SERVERS: usize = 3;
const CLIENTS: u64 = 24;
const ROUNDS: u64 = 5;
/// `grace-s` of the small sites.
const GRACE: Duration = Duration::from_secs(8);
/// Time from SIGTERM to the first byte of a request, and from that to its last byte.
const SENT_AFTER: Duration = Duration::from_millis(1_500);
const UPLOAD: Duration = Duration::from_millis(2_500);
/// Pieces in which a client sends its body.
const PIECES: usize = 50;
/// Size of a body: the largest of `daily-digest` at the site.
const BODY_BYTES: usize = 140_000;
/// Events of a stream: the most of `desk-answer` at the site.
const EVENTS: u64 = 119;
const EVENT_GAP: Duration = Duration::from_millis(32);
/// Time after `grace-s` up to which an answer that ends counts.
const SLACK: Duration = Duration::from_secs(1);
/// Requests that are sent later than this after SIGTERM count, also if the server is still at work in the end.
const EXCUSED: Duration = Duration::from_secs(3);

/// Number of the event that a server wrote last, by request.
type Ledger = Arc<Mutex<HashMap<String, u64>>>;

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> Verdict {
    let store = Store::open();
    let routes = [Route {
        name: "sum",
        kind: "stream",
        service: "llm",
        attempts: 1,
        timeout_ms: 10_000,
        resumable: false,
    }];
    store.put("op", "config", &fleet::configuration(7, &routes));
    let ledger = Ledger::default();
    let servers: Vec<Arc<Replica>> = (0..SERVERS)
        .map(|index| {
            let ledger = ledger.clone();
            let handle = move |request: &mut Request<'_>| stream(request, &ledger);
            Replica::open(&store, &format!("i-llm{index}"), "llm", handle)
        })
        .collect();
    let tally = Tally::default();
    for round in 0..ROUNDS {
        let mut router = Router::start(folder, &format!("front-saburtalo-{round}"), store.address);
        if !router.wait_ready(Duration::from_secs(10)) {
            return Err(format!("the router isn't ready: {}", router.log()));
        }
        thread::sleep(fleet::STABILITY + Duration::from_millis(500));
        let begin = Barrier::new(CLIENTS as usize + 1);
        thread::scope(|scope| {
            for client in 0..CLIENTS {
                let (begin, ledger, router, tally) = (&begin, &ledger, &router, &tally);
                scope.spawn(move || {
                    let id = format!("{round:04x}{client:012x}");
                    call(&id, router, begin, ledger, tally, record);
                });
            }
            begin.wait();
            if is_troubled {
                record.line(&format!("round {round}: SIGTERM"));
                fleet::signal(router.pid(), "TERM");
            }
        });
        if is_troubled {
            thread::sleep(Duration::from_millis(500));
            record.line(&format!(
                "round {round}: the router has ended: {}",
                router.has_ended()
            ));
        }
    }
    drop(servers);
    let what = "answers that ended before they were complete, of requests that the router took from clients and passed \
                on, and whose last byte was sent later than 3 s after SIGTERM";
    tally.verdict(record, what, 0)
}

fn stream(request: &mut Request<'_>, ledger: &Ledger) -> io::Result<bool> {
    request.read_body()?;
    let id = request.id();
    ledger.lock().unwrap().insert(id.clone(), 0);
    request.begin_stream()?;
    for number in 1..=EVENTS {
        request.event(number)?;
        ledger.lock().unwrap().insert(id.clone(), number);
        thread::sleep(EVENT_GAP);
    }
    request.end_stream()?;
    Ok(true)
}

/// Sends a request on a kept connection, whose body takes its time.
fn call(
    id: &str,
    router: &Router,
    begin: &Barrier,
    ledger: &Ledger,
    tally: &Tally,
    record: &Record,
) {
    let opened = Connection::open(router.front, Duration::from_secs(12));
    // The connection was used before: for a path without a route.
    let first = opened.map(|mut open| {
        let answer = open.call(unrouted().as_bytes());
        (open, answer.status())
    });
    begin.wait();
    let start = Instant::now();
    let Ok((mut connection, 404)) = first else {
        record.line(&format!("request {id}: no kept connection"));
        return;
    };
    thread::sleep(SENT_AFTER);
    let mut pieces: Vec<Vec<u8>> = vec![head(id).into_bytes()];
    pieces.extend(vec![vec![b'p'; BODY_BYTES / PIECES]; PIECES]);
    let mut last_byte = start.elapsed();
    let answer = connection.call_in(pieces.iter().map(|piece| {
        thread::sleep(UPLOAD / (PIECES as u32 + 1));
        last_byte = start.elapsed();
        piece.as_slice()
    }));
    let end = start.elapsed();
    let is_whole = answer.status() == 200 && answer.whole;
    tally.count(is_whole);
    if is_whole {
        return;
    }
    let written = ledger.lock().unwrap().get(id).copied();
    let refused = [429, 503].contains(&answer.status());
    let counts = written.is_some() && !refused && last_byte > EXCUSED && end < GRACE + SLACK;
    if counts {
        tally.count_wrong();
    }
    record.line(&format!(
        "request {id}: first byte {SENT_AFTER:?} and last byte {last_byte:.1?} after SIGTERM; a server wrote {written:?} \
         of {EVENTS} events; after {end:.1?} the client has status {}, {} bytes, whole: {}, {}",
        answer.status(),
        answer.body.len(),
        answer.whole,
        answer.end
    ));
}

fn unrouted() -> String {
    format!("GET /nowhere/ HTTP/1.1\r\nhost: {HOST}\r\nx-marlrun-request-id: 0\r\n\r\n")
}

fn head(id: &str) -> String {
    format!(
        "POST /sum/2f HTTP/1.1\r\nhost: {HOST}\r\nx-marlrun-request-id: {id}\r\n\
         x-marlrun-model: m\r\nx-marlrun-token-count: 1460,952\r\n\
         x-marlrun-prompt-prefix: 5c1e07a2:800,{id}:660\r\nx-marlrun-deadline-ms: 10000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    )
}
