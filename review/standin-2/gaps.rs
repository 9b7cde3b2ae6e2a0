//! Streams whose events have increasing ids that aren't consecutive numbers.

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
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ENGINES: usize = 3;
const CLIENTS: u64 = 6;
const EVENTS: u64 = 20;
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Tokens of an event at the small sites, by which the ids rise.
const TOKENS: u64 = 8;
const ROUNDS: u32 = 6;
/// `config-ms` of the small sites: requests count that are sent up to it after a SIGHUP.
const CONFIG: Duration = Duration::from_millis(2_000);
const ROUND: Duration = Duration::from_millis(2_500);
/// Time for which a client waits after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// What servers did with each request.
type Ledger = Arc<Mutex<HashMap<String, Vec<String>>>>;

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
    let step = if is_troubled { TOKENS } else { 1 };
    let ledger = Ledger::default();
    let engines: Vec<Arc<Replica>> = (0..ENGINES)
        .map(|index| {
            let (name, ledger) = (format!("i-llm{index}"), ledger.clone());
            let own = name.clone();
            Replica::open(&store, &name, "llm", move |request| {
                let id = request.id();
                let streamed = stream(request, step);
                let end = match &streamed {
                    Ok(_) => "wrote it whole".into(),
                    Err(error) => format!("found its connection closed: {error}"),
                };
                ledger
                    .lock()
                    .unwrap()
                    .entry(id)
                    .or_default()
                    .push(format!("{own} {end}"));
                streamed
            })
        })
        .collect();
    let router = Router::start(folder, "front-saburtalo-1", store.address);
    if !router.wait_ready(Duration::from_secs(10)) {
        return Err(format!("the router isn't ready: {}", router.log()));
    }
    thread::sleep(fleet::STABILITY + Duration::from_millis(500));
    let hup = Mutex::new(Instant::now());
    let is_over = AtomicBool::new(false);
    let tally = Tally::default();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (router, is_over, tally, hup, ledger) = (&router, &is_over, &tally, &hup, &ledger);
            scope.spawn(move || {
                call_until(is_over, client, router, step, hup, ledger, tally, record);
            });
        }
        for _ in 0..ROUNDS {
            *hup.lock().unwrap() = Instant::now();
            fleet::signal(router.pid(), "HUP");
            record.line("SIGHUP");
            thread::sleep(ROUND);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    drop(engines);
    let what = "answers that ended before they were complete, of requests sent up to 2 s after a SIGHUP, of servers that \
                broke nothing off";
    tally.verdict(record, what, 0)
}

fn stream(request: &mut Request<'_>, step: u64) -> io::Result<bool> {
    request.read_body()?;
    let last = request
        .head
        .header("last-event-id")
        .and_then(|last| last.parse().ok());
    let last = last.unwrap_or(0_u64);
    request.begin_stream()?;
    for number in (1..=EVENTS)
        .map(|event| event * step)
        .filter(|number| *number > last)
    {
        request.event(number)?;
        thread::sleep(EVENT_GAP);
    }
    request.end_stream()?;
    Ok(true)
}

/// Sends one stream after the other; those that were lost are wrong.
fn call_until(
    is_over: &AtomicBool,
    client: u64,
    router: &Router,
    step: u64,
    hup: &Mutex<Instant>,
    ledger: &Ledger,
    tally: &Tally,
    record: &Record,
) {
    let events = (1..=EVENTS).map(|event| crate::replica::event(event * step));
    let whole: String = events.collect();
    for number in 0_u64.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let Ok(mut connection) = Connection::open(router.front, Duration::from_secs(12)) else {
            thread::sleep(REFUSED_PAUSE);
            continue;
        };
        let id = format!("{client:04x}{number:012x}");
        let route = if number % 2 == 0 { "plan" } else { "sum" };
        let since_hup = hup.lock().unwrap().elapsed();
        let answer = connection.call(&message(route, &id));
        let is_whole = answer.whole && answer.body == whole.as_bytes();
        tally.count(is_whole);
        if is_whole {
            continue;
        }
        let runs = ledger.lock().unwrap().get(&id).cloned().unwrap_or_default();
        let is_lost = !answer.whole && since_hup <= CONFIG;
        if is_lost {
            tally.count_wrong();
        }
        record.line(&format!(
            "request {id} /{route}/, sent {since_hup:?} after the SIGHUP: status {}, {} bytes of {}, whole: {}, {}; {}",
            answer.status(),
            answer.body.len(),
            whole.len(),
            answer.whole,
            answer.end,
            runs.join("; ")
        ));
        thread::sleep(REFUSED_PAUSE);
    }
}

fn message(route: &str, id: &str) -> Vec<u8> {
    let text = format!(
        "POST /{route}/2f HTTP/1.1\r\nhost: {HOST}\r\nx-marlrun-request-id: {id}\r\n\
         x-marlrun-model: m\r\nx-marlrun-token-count: 1460,160\r\n\
         x-marlrun-prompt-prefix: 5c1e07a2:800,{id}:660\r\nx-marlrun-deadline-ms: 10000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
    );
    text.into_bytes()
}
