//! Servers that start again under their ids with another software version while a router is cut off from the store.

use crate::{
    Verdict,
    fleet::{self, HOST, KEY, Route, Router},
    http::Connection,
    proxy::Proxy,
    record::{Record, Tally},
    replica::{Replica, Request},
    store::Store,
};
use std::{
    collections::BTreeSet,
    io::{self, Write},
    path::Path,
    sync::{
        Arc, OnceLock, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// As many engines as at the small sites.
const ENGINES: usize = 12;
/// Engines that crash at a time: a share of 0.17, `srv_crash` of the site file.
const CRASHED: usize = 2;
const CLIENTS: u64 = 160;
const EVENTS: u64 = 24;
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Length of the cut: `core_cut` of the site file.
const CUT: Duration = Duration::from_millis(5_500);
/// Time from the beginning of the cut to the first crash, and from it to the second.
const FIRST_CRASH: Duration = Duration::from_millis(500);
const NEXT_CRASH: Duration = Duration::from_millis(2_000);
const DOWN: Duration = Duration::from_millis(400);
/// "More than two streams" break the rule.
const ALLOWED: usize = 2;

pub fn run(folder: &Path, record: &Record, is_troubled: bool) -> Verdict {
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
    let engines: Vec<Arc<Replica>> = (0..ENGINES).map(|index| engine(&store, index)).collect();
    let link = Proxy::open(store.address);
    let router = Router::start(folder, "front-saburtalo-1", link.address);
    if !router.wait_ready(Duration::from_secs(10)) {
        return Err(format!("the router isn't ready: {}", router.log()));
    }
    thread::sleep(fleet::STABILITY + Duration::from_millis(500));
    let is_over = AtomicBool::new(false);
    let tally = Tally::default();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (router, is_over, tally) = (&router, &is_over, &tally);
            scope.spawn(move || {
                // Streams are at different events when an engine crashes.
                thread::sleep(Duration::from_millis(10) * client as u32);
                call_until(is_over, client, router, tally, record);
            });
        }
        thread::sleep(Duration::from_secs(6));
        if is_troubled {
            record.line("the router is cut off from the store");
            link.cut(true);
            thread::sleep(FIRST_CRASH);
            restart(&engines[..CRASHED], record);
            thread::sleep(NEXT_CRASH);
            restart(&engines[CRASHED..2 * CRASHED], record);
            thread::sleep(CUT - FIRST_CRASH - NEXT_CRASH - 2 * DOWN);
            record.line("the cut heals");
            link.cut(false);
        }
        thread::sleep(Duration::from_secs(5));
        is_over.store(true, Ordering::Relaxed);
    });
    let what = "streams that hold events from servers of two versions";
    tally.verdict(record, what, ALLOWED)
}

/// Lets engines crash, which start again under their ids with the next version.
fn restart(engines: &[Arc<Replica>], record: &Record) {
    for engine in engines {
        record.line(&format!("{} crashes", engine.id));
        engine.crash();
    }
    thread::sleep(DOWN);
    for engine in engines {
        engine.restart("v2");
        record.line(&format!(
            "{} is back under its id, with version v2",
            engine.id
        ));
    }
}

fn engine(store: &Arc<Store>, index: usize) -> Arc<Replica> {
    let own: Arc<OnceLock<Weak<Replica>>> = Arc::default();
    let known = own.clone();
    let handle = move |request: &mut Request<'_>| {
        let replica = known.get().and_then(Weak::upgrade);
        stream(request, replica.map_or("v1", |replica| replica.version()))
    };
    let replica = Replica::open(store, &format!("i-llm{index}"), "llm", handle);
    let _ = own.set(Arc::downgrade(&replica));
    replica
}

/// Answers with events that name the version of the server.
fn stream(request: &mut Request<'_>, version: &str) -> io::Result<bool> {
    request.read_body()?;
    let last = request
        .head
        .header("last-event-id")
        .and_then(|last| last.parse().ok());
    request.begin_stream()?;
    for number in last.unwrap_or(0_u64) + 1..=EVENTS {
        let event = format!("id: {number}\ndata: piece-{number} {version}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        request.writer.write_all(chunk.as_bytes())?;
        thread::sleep(EVENT_GAP);
    }
    request.end_stream()?;
    Ok(true)
}

/// Sends one stream after the other; those with events of two versions are wrong.
fn call_until(is_over: &AtomicBool, client: u64, router: &Router, tally: &Tally, record: &Record) {
    for number in 0_u64.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let Ok(mut connection) = Connection::open(router.front, Duration::from_secs(12)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let id = format!("{client:04x}{number:012x}");
        let answer = connection.call(&message(&id));
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let versions: BTreeSet<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data: ")?.split(' ').nth(1))
            .collect();
        let is_joined = versions.len() > 1;
        if is_joined {
            tally.count_wrong();
        }
        tally.count(answer.status() == 200 && answer.whole && !is_joined);
        if is_joined || !answer.whole || answer.status() != 200 {
            let first_v2 = text
                .lines()
                .find(|line| line.ends_with("v2"))
                .unwrap_or("-");
            record.line(&format!(
                "request {id}: status {}, whole: {}, versions {versions:?}, first of v2: {first_v2}",
                answer.status(),
                answer.whole
            ));
        }
        if answer.status() != 200 {
            thread::sleep(Duration::from_millis(200));
        }
    }
}

fn message(id: &str) -> Vec<u8> {
    let client = &id[..4];
    let text = format!(
        "POST /plan/2f HTTP/1.1\r\nhost: {HOST}\r\nx-marlrun-request-id: {id}\r\n\
         x-marlrun-model: m\r\nx-marlrun-token-count: 1460,80\r\n\
         x-marlrun-prompt-prefix: 5c1e{client}:800,{id}:660\r\nx-marlrun-deadline-ms: 10000\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
    );
    text.into_bytes()
}
