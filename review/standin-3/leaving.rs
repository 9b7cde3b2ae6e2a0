//! A replica leaves without a word, and the store comes back from a copy in which it is still listed.

use crate::{Case, world::*};
use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `drain-ms` and `stability-window-ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
const WINDOW: Duration = Duration::from_millis(3_000);
/// Time from the copy to the removal of the entry, from that to the store's absence, and its length.
const COPY_BEFORE: Duration = Duration::from_millis(1_500);
const LEFT_BEFORE: Duration = Duration::from_millis(700);
const AWAY: Duration = Duration::from_millis(500);
/// Time that a replica works on a request, and after which the leaving one exits.
const WORK: Duration = Duration::from_millis(300);
const EXIT_AFTER: Duration = Duration::from_millis(150);

/// A route that may run a request once.
pub const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"book","host":"app.example","prefix":"/book/","kind":"unsafe","timeout-ms":1500,
"slo-ms":150,"priority":1,"service":"app","attempts":2,"no-auth":false,"sticky":false,"resumable":false}],
"services":[{"name":"app","max-conns":100}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"east","api-keys":["key-east"]}]}"#;

/// A replica that has `Server-Leaving` in its answers while it leaves.
pub struct Replica {
    pub name: &'static str,
    pub leaves: AtomicBool,
    pub gone: AtomicBool,
    pub runs: Mutex<Vec<Instant>>,
    record: Record,
}

impl Replica {
    pub fn start(name: &'static str, record: &Record) -> (Arc<Self>, SocketAddr) {
        let replica = Arc::new(Self {
            name,
            leaves: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let served = replica.clone();
        let address = serve("127.0.0.1:0", move |mut stream| {
            while let Some(request) = read_message(&mut stream) {
                if served.gone.load(Ordering::Relaxed) {
                    return;
                }
                let id = request.header("x-marlrun-request-id").to_owned();
                let says = if served.leaves.load(Ordering::Relaxed) {
                    "Server-Leaving: 1\r\nConnection: close\r\n"
                } else {
                    ""
                };
                if request.header("x-marlrun-expect-instance") != served.name {
                    let _ = stream.write_all(not_run(421, &id, says).as_bytes());
                    continue;
                }
                served.runs.lock().unwrap().push(Instant::now());
                served.record.line(&format!("{} runs {id}", served.name));
                thread::sleep(WORK);
                if served.gone.load(Ordering::Relaxed) {
                    return;
                }
                if stream.write_all(success(&id, says).as_bytes()).is_err() {
                    return;
                }
            }
        });
        (replica, address)
    }
}

pub fn play(case: &Case) -> bool {
    let record = &case.record;
    let store = Store::open();
    let (leaving, address) = Replica::start("i-a1", record);
    let (staying, other_address) = Replica::start("i-a2", record);
    let born = unix_ms();
    let entry = move |address: SocketAddr, seq: u64| {
        format!(
            r#"{{"service":"app","address":"{address}","zone":"za","version":"1","slots":2,"state":"ready","cold-left-ms":0,"seq":{seq},"born":{born}}}"#
        )
    };
    store.put("servers", leaving.name, &entry(address, 1));
    store.put("servers", staying.name, &entry(other_address, 1));
    store.put("op", "config", CONFIGURATION);
    let mut machines = Machine::start_all(&case.folder, 2, |_| store.address);
    let (beats, left) = (store.clone(), leaving.clone());
    let staying_name = staying.name;
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(HEARTBEAT);
            if !left.leaves.load(Ordering::Relaxed) {
                beats.beat(left.name, &entry(address, seq));
            }
            beats.beat(staying_name, &entry(other_address, seq));
        }
    });
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front).collect();
    thread::sleep(Duration::from_secs(4));
    send(case, &fronts, 4);
    thread::sleep(Duration::from_secs(1));
    let copy = store.copy();
    record.line("the store's copy is made");
    thread::sleep(COPY_BEFORE);
    leaving.leaves.store(true, Ordering::Relaxed);
    store.remove("servers", leaving.name);
    let acknowledged = Instant::now();
    record.line("i-a1 leaves: the store has acknowledged that its entry is removed");
    thread::sleep(LEFT_BEFORE);
    if case.trouble {
        store.leave();
        record.line("the store is away");
        thread::sleep(AWAY);
        store.restore(copy);
        record.line("the store is back from its copy");
    } else {
        thread::sleep(AWAY);
    }
    let back = Instant::now();
    let (removal, log) = (store.clone(), record.clone());
    thread::spawn(move || {
        thread::sleep(3 * HEARTBEAT);
        removal.remove("servers", "i-a1");
        log.line("i-a1 was silent for three heartbeats: its entry is removed");
    });
    // All machines are in touch again.
    let in_touch = back + WINDOW + Duration::from_millis(100);
    thread::sleep(in_touch - Instant::now());
    let (exits, log) = (leaving.clone(), record.clone());
    thread::spawn(move || {
        thread::sleep(EXIT_AFTER);
        exits.gone.store(true, Ordering::Relaxed);
        log.line("i-a1 exits");
    });
    send(case, &fronts, 6);
    let runs = leaving.runs.lock().unwrap();
    let late = runs.iter().filter(|at| **at > acknowledged + DRAIN).count();
    let text = format!(
        "{late} requests reached i-a1 later than {DRAIN:?} after the store had acknowledged its leaving"
    );
    record.line(&text);
    println!("{text}");
    machines.clear();
    late > 0
}

/// Sends requests at the same moment and waits for their answers.
pub fn send(case: &Case, fronts: &[SocketAddr], count: usize) {
    let threads = (0..count).map(|index| {
        let (front, record) = (fronts[index % fronts.len()], case.record.clone());
        thread::spawn(move || {
            let id = new_id();
            let request = format!(
                "POST /book/1 HTTP/1.1\r\nHost: app.example\r\nX-Marlrun-Request-Id: {id}\r\n\
                 X-Marlrun-Deadline-Ms: 1500\r\nAuthorization: Bearer key-east\r\nConnection: close\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            record.line(&format!("{id} sent to front-{}", index % 2));
            let answer = exchange(front, request.as_bytes(), Duration::from_secs(2));
            record.line(&format!("{id} answered {}", answer.map_or(0, |answer| answer.status())));
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        let _ = thread.join();
    }
}
