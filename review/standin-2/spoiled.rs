//! Servers that spoil a few of their answers: one byte of a stream, in the id of an event.

use crate::{
    Verdict,
    fleet::{self, HOST, KEY, Route, Router},
    http::Connection,
    record::{Record, Tally},
    replica::{self, Replica, Request},
    store::Store,
    window::Window,
};
use std::{
    collections::HashMap,
    io::{self, Write},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SERVERS: u64 = 4;
/// Servers that spoil answers: a share of 0.5. `garble` of the site file has 0.6.
const SPOILING: u64 = 2;
/// One answer in this many is spoiled by them: 0.029. `garble` of the site file has 0.03.
const SPOILED_EVERY: u64 = 34;
/// Length of the disruption: `garble` of the site file has 5.0 s with a share of 0.6.
const SPOILT: Duration = Duration::from_secs(5);
const CLIENTS: u64 = 24;
const LENGTH: Duration = Duration::from_secs(8);
const EVENTS: u64 = 24;
/// Events that a server writes at a time.
const BURST: u64 = 4;
const BURST_GAP: Duration = Duration::from_millis(20);

/// What takes the place of the id of one event.
#[derive(Clone, Copy)]
pub struct Spoiled {
    pub event: u64,
    pub id: &'static str,
}

/// One digit of the id is wrong, of the third event of a burst.
pub const OTHER_NUMBER: Spoiled = Spoiled {
    event: 15,
    id: "17",
};
/// One byte of the id isn't a digit, of the last event of a burst.
pub const NO_NUMBER: Spoiled = Spoiled {
    event: 16,
    id: "1x",
};

/// What servers did with each request.
type Ledger = Arc<Mutex<HashMap<String, Vec<String>>>>;

pub fn run(folder: &Path, record: &Record, is_troubled: bool, spoiled: Spoiled) -> Verdict {
    let store = Store::open();
    let routes = [Route {
        name: "plan",
        kind: "stream",
        service: "llm",
        attempts: 2,
        timeout_ms: 10_000,
        resumable: true,
    }];
    store.put("op", "config", &fleet::configuration(7, &routes));
    let ledger = Ledger::default();
    let window = Arc::new(Window::default());
    let servers: Vec<Arc<Replica>> = (0..SERVERS)
        .map(|index| {
            let (ledger, window) = (ledger.clone(), window.clone());
            let count = AtomicU64::new(0);
            let name = format!("i-llm{index}");
            let own = name.clone();
            Replica::open(&store, &name, "llm", move |request| {
                let drawn = count.fetch_add(1, Ordering::Relaxed) % SPOILED_EVERY;
                let is_spoiled = index < SPOILING && drawn == SPOILED_EVERY - 1 && window.is_open();
                stream(request, &own, is_spoiled.then_some(spoiled), &ledger)
            })
        })
        .collect();
    let router = Router::start(folder, "front-saburtalo-1", store.address);
    if !router.wait_ready(Duration::from_secs(10)) {
        return Err(format!("the router isn't ready: {}", router.log()));
    }
    thread::sleep(fleet::STABILITY + Duration::from_millis(500));
    if is_troubled {
        record.line("two servers begin to spoil answers");
        window.begin(SPOILT);
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
    let what = "streams that ended as complete and in which pieces are missing or come twice";
    tally.verdict(record, what, 0)
}

/// Answers with events that go on after the one that the request names.
fn stream(
    request: &mut Request<'_>,
    name: &str,
    spoiled: Option<Spoiled>,
    ledger: &Ledger,
) -> io::Result<bool> {
    request.read_body()?;
    let last = request
        .head
        .header("last-event-id")
        .and_then(|last| last.parse().ok());
    let first = last.unwrap_or(0_u64) + 1;
    let spoiled = spoiled.filter(|spoiled| first <= spoiled.event);
    let note = if spoiled.is_some() {
        ", spoils one id"
    } else {
        ""
    };
    let line = format!("{name} runs it from event {first}{note}");
    ledger
        .lock()
        .unwrap()
        .entry(request.id())
        .or_default()
        .push(line);
    request.begin_stream()?;
    let mut next = first;
    while next <= EVENTS {
        let end = (next + BURST - 1).min(EVENTS);
        let burst: String =
            (next..=end)
                .map(|number| match spoiled {
                    Some(Spoiled { event, id }) if number == event => replica::event(number)
                        .replacen(&format!("id: {number}"), &format!("id: {id}"), 1),
                    _ => replica::event(number),
                })
                .collect();
        let chunk = format!("{:x}\r\n{burst}\r\n", burst.len());
        request.writer.write_all(chunk.as_bytes())?;
        thread::sleep(BURST_GAP);
        next = end + 1;
    }
    request.end_stream()?;
    Ok(true)
}

/// Sends one stream after the other; those that look whole and aren't are wrong.
fn call_until(
    end: Instant,
    client: u64,
    router: &Router,
    ledger: &Ledger,
    tally: &Tally,
    record: &Record,
) {
    let whole: String = (1..=EVENTS).map(replica::event).collect();
    for number in 0_u64.. {
        if Instant::now() >= end {
            break;
        }
        let Ok(mut connection) = Connection::open(router.front, Duration::from_secs(12)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let id = format!("{client:04x}{number:012x}");
        let answer = connection.call(&message(&id));
        let is_same = answer.body == whole.as_bytes();
        let looks_whole = answer.status() == 200 && answer.whole;
        tally.count(looks_whole && is_same);
        if looks_whole && is_same {
            continue;
        }
        if looks_whole {
            tally.count_wrong();
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let pieces: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data: piece-"))
            .collect();
        let runs = ledger.lock().unwrap().get(&id).cloned().unwrap_or_default();
        record.line(&format!(
            "request {id}: {}; the client got status {}, whole: {}, pieces {}",
            runs.join("; "),
            answer.status(),
            answer.whole,
            pieces.join(" ")
        ));
    }
}

fn message(id: &str) -> Vec<u8> {
    let client = &id[..4];
    let text = format!(
        "POST /plan/2f HTTP/1.1\r\nhost: {HOST}\r\nx-marlrun-request-id: {id}\r\n\
         x-marlrun-model: m\r\nx-marlrun-token-count: 1460,192\r\n\
         x-marlrun-prompt-prefix: 5c1e{client}:800,{id}:660\r\nx-marlrun-deadline-ms: 10000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
    );
    text.into_bytes()
}
