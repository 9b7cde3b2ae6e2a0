//! Stand-in of a model replica: streams of numbered events.

use crate::{
    http::{self, Power, Request},
    record::Record,
    store::Store,
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

/// Time from the beginning of an answer to the crash that it causes.
const CRASH_AFTER: Duration = Duration::from_millis(100);
/// Time for which a replica that crashed is gone.
const DOWN: Duration = Duration::from_millis(4_000);
/// Interval at which a replica writes its entry. The platform removes it after three of silence.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time from the start until the entry is written.
const RESTART: Duration = Duration::from_millis(20);

fn unix_millis() -> u128 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

#[derive(Clone, Copy)]
pub struct Pace {
    pub events: u64,
    pub gap: Duration,
}

/// What changes when a replica crashes.
struct State {
    /// Unix milliseconds of its start.
    born: u128,
    /// Times of its crashes.
    crashes: Vec<Instant>,
    is_down: bool,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    service: String,
    version: String,
    zone: String,
    address: SocketAddr,
    pace: Pace,
    /// Part of prompts that crashes it.
    fatal: Option<u64>,
    power: Arc<Power>,
    state: Arc<Mutex<State>>,
    seq: Arc<AtomicU64>,
    store: Store,
    record: Record,
}

impl Replica {
    pub fn start(
        store: &Store,
        record: &Record,
        (id, service, version, zone): (&str, &str, &str, &str),
        pace: Pace,
        fatal: Option<u64>,
    ) -> io::Result<Self> {
        let mut replica = Self {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            zone: zone.into(),
            address: http::free_address()?,
            pace,
            fatal,
            power: Arc::default(),
            state: Arc::new(Mutex::new(State {
                born: unix_millis(),
                crashes: Vec::new(),
                is_down: false,
            })),
            seq: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let serving = replica.clone();
        let address = Arc::new(OnceLock::new());
        let known = address.clone();
        replica.address = http::serve_with(replica.power.clone(), move |request, stream| {
            let mut serving = serving.clone();
            serving.address = *known.get().unwrap_or(&serving.address);
            serving.serve(request, stream)
        })?;
        address.get_or_init(|| replica.address);
        let beating = replica.clone();
        thread::spawn(move || {
            loop {
                if !beating.state().is_down {
                    beating.register();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(replica)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Returns the times of its crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state().crashes.clone()
    }

    /// Crashes, and starts again under the same id after a while.
    fn crash(&self) {
        let mut state = self.state();
        if state.is_down {
            return;
        }
        state.is_down = true;
        state.crashes.push(Instant::now());
        drop(state);
        self.record.line(&format!("replica {}: crashes", self.id));
        self.power.turn_off();
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            replica.store.write("servers", &replica.id, None);
            thread::sleep(DOWN - 3 * HEARTBEAT);
            let mut state = replica.state();
            state.born = unix_millis();
            state.is_down = false;
            drop(state);
            replica.power.turn_on();
            thread::sleep(RESTART);
            replica
                .record
                .line(&format!("replica {}: is back", replica.id));
            replica.register();
        });
    }

    fn register(&self) {
        let born = self.state().born;
        let Self {
            service,
            version,
            zone,
            address,
            ..
        } = self;
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":64,"state":"ready","cold-left-ms":0,"born":{born},"seq":{seq}}}"#
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if request.method == "GET" && request.path == "/healthz" {
            return http::answer(stream, 200, &[("x-marlrun-instance-id", &self.id)], b"");
        }
        let name = request.header("x-marlrun-request-id").unwrap_or("");
        if request.header("x-marlrun-expect-instance") != Some(&self.id) {
            let headers = [("x-marlrun-instance-id", self.id.as_str())];
            return http::answer(stream, 421, &headers, b"");
        }
        let last = request.header("last-event-id");
        let after: u64 = last.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        self.record.line(&format!(
            "replica {}: runs {name} after event {after}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-marlrun-request-id: {name}\r\nx-marlrun-response-stamp: 1.{}.1\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        let parts = request.header("x-marlrun-prompt-prefix").unwrap_or("");
        let mut parts = parts.split(',').filter_map(|part| part.split(':').next());
        let fatal = self.fatal.map(|part| format!("{part:x}"));
        if fatal.is_some_and(|fatal| parts.any(|part| part == fatal)) {
            thread::sleep(CRASH_AFTER);
            self.crash();
            return Ok(false);
        }
        for number in after + 1..=self.pace.events {
            thread::sleep(self.pace.gap);
            let event = format!("id: {number}\ndata: piece {number} of {}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if let Err(error) = stream.write_all(chunk.as_bytes()) {
                self.record
                    .line(&format!("replica {}: {name} was dropped", self.id));
                return Err(error);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
