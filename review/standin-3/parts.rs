//! A part of prompts crashes each replica that begins to answer it. One router gets most of the requests with it.

use crate::{Case, world::*};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const FATAL: &str = "bad0bad0";
const SOUND: &str = "900d900d";
const REPLICAS: usize = 12;
const ROUTERS: usize = 3;
/// Percentage of the requests with the fatal part at the first router, and at each other one: 27 of all.
const PERCENT: [u64; ROUTERS] = [56, 12, 12];
const TRAFFIC: Duration = Duration::from_secs(45);
const BETWEEN_REQUESTS: Duration = Duration::from_millis(50);
/// Time from the beginning of the traffic to the first request with the fatal part.
const SOUND_TRAFFIC: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_secs(3);
/// The rule: `stability-window-ms` after the fifth crash, and the requests that may come later.
const CRASHES: usize = 5;
const WINDOW: Duration = Duration::from_millis(3_000);
const MOST: usize = 3;

struct Seen {
    trouble: bool,
    arrivals: Mutex<Vec<Instant>>,
    crashes: Mutex<Vec<Instant>>,
    store: Store,
    record: Record,
}

pub fn play(case: &Case) -> bool {
    let store = Store::open();
    let seen = Arc::new(Seen {
        trouble: case.trouble,
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        store: store.clone(),
        record: case.record.clone(),
    });
    for index in 0..REPLICAS {
        start_replica(seen.clone(), format!("i-e{index}"));
    }
    store.put(
        "op",
        "config",
        r#"{"version":1,"routes":[{"name":"plan","host":"app.example","prefix":"/plan/","kind":"stream","timeout-ms":10000,
"slo-ms":600,"priority":1,"service":"llm","attempts":2,"no-auth":false,"sticky":true,"resumable":true,"gap-aim-ms":250}],
"services":[{"name":"llm","max-conns":360,"engine":{"slots":64,"kv-tokens":444000}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000,
"tokens-per-s":470000},"tenants":[{"name":"east","api-keys":["key-east"]}]}"#,
    );
    let mut machines = Machine::start_all(&case.folder, ROUTERS, |_| store.address);
    // All machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front).collect();
    let answers: Arc<Mutex<BTreeMap<(&str, u16), u64>>> = Arc::default();
    let began = Instant::now();
    let mut number = 0_u64;
    while began.elapsed() < TRAFFIC {
        number += 1;
        let router = number as usize % ROUTERS;
        let is_fatal = began.elapsed() > SOUND_TRAFFIC && (number * 37) % 100 < PERCENT[router];
        let (record, answers, front) = (case.record.clone(), answers.clone(), fronts[router]);
        thread::spawn(move || {
            let part = if is_fatal { FATAL } else { SOUND };
            let id = new_id();
            let request = format!(
                "POST /plan/1 HTTP/1.1\r\nHost: app.example\r\nX-Marlrun-Request-Id: {id}\r\n\
                 X-Marlrun-Deadline-Ms: 10000\r\nAuthorization: Bearer key-east\r\nX-Marlrun-Model: m\r\n\
                 X-Marlrun-Token-Count: 1000,40\r\n\
                 X-Marlrun-Prompt-Prefix: 5c1e07a2:300,{part}:400,{number:x}:300\r\n\
                 Connection: close\r\nContent-Length: 0\r\n\r\n"
            );
            record.line(&format!("{id} sent to front-{router} with part {part}"));
            let answer = exchange(front, request.as_bytes(), Duration::from_secs(10));
            let status = answer.map_or(0, |answer| answer.status());
            let said = if status == 0 {
                "broken off".into()
            } else {
                status.to_string()
            };
            record.line(&format!("{id} with part {part}: {said}"));
            *answers.lock().unwrap().entry((part, status)).or_default() += 1;
        });
        thread::sleep(BETWEEN_REQUESTS);
    }
    let crashes = seen.crashes.lock().unwrap().clone();
    let arrivals = seen.arrivals.lock().unwrap().clone();
    let late = crashes.get(CRASHES - 1).map_or(0, |fifth| {
        arrivals.iter().filter(|at| **at > *fifth + WINDOW).count()
    });
    case.record.line(&format!(
        "{} requests with the fatal part reached replicas, {} crashes; {late} of them later than {WINDOW:?} after the \
         fifth crash, {MOST} may; answers by part and status, 0 for broken off: {:?}",
        arrivals.len(),
        crashes.len(),
        answers.lock().unwrap()
    ));
    println!(
        "{late} requests later than {WINDOW:?} after the fifth crash, {MOST} may; {} crashes",
        crashes.len()
    );
    machines.clear();
    late > MOST
}

/// Starts a replica that crashes, is gone for a while and starts again under its id.
fn start_replica(seen: Arc<Seen>, name: String) {
    let address: SocketAddr = format!("{}:{}", own_ip(), free_port(&own_ip()))
        .parse()
        .unwrap();
    let entry = move |born: u64| {
        format!(
            r#"{{"service":"llm","address":"{address}","zone":"za","version":"1","slots":64,"state":"ready","cold-left-ms":0,"seq":1,"born":{born}}}"#
        )
    };
    thread::spawn(move || {
        loop {
            let listener = loop {
                match TcpListener::bind(address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            listener.set_nonblocking(true).unwrap();
            seen.store.put("servers", &name, &entry(unix_ms()));
            let crashed = Arc::new(AtomicBool::new(false));
            let mut connections: Vec<TcpStream> = Vec::new();
            while !crashed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let _ = stream.set_nodelay(true);
                connections.push(stream.try_clone().unwrap());
                let (seen, crashed, name) = (seen.clone(), crashed.clone(), name.clone());
                thread::spawn(move || serve_connection(stream, &seen, &crashed, &name));
            }
            drop(listener);
            for stream in connections {
                let _ = stream.shutdown(Shutdown::Both);
            }
            seen.crashes.lock().unwrap().push(Instant::now());
            seen.record.line(&format!("{name} crashes"));
            thread::sleep(DOWN);
        }
    });
}

fn serve_connection(mut stream: TcpStream, seen: &Seen, crashed: &AtomicBool, name: &str) {
    while let Some(request) = read_message(&mut stream) {
        let id = request.header("x-marlrun-request-id").to_owned();
        if request.header("x-marlrun-expect-instance") != name {
            let _ = stream.write_all(not_run(421, &id, "").as_bytes());
            continue;
        }
        let is_fatal = request.header("x-marlrun-prompt-prefix").contains(FATAL);
        if is_fatal {
            seen.arrivals.lock().unwrap().push(Instant::now());
            seen.record
                .line(&format!("{name} gets {id} with part {FATAL}"));
        }
        // It reads the prompt.
        thread::sleep(Duration::from_millis(30));
        if crashed.load(Ordering::Relaxed) {
            return;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Marlrun-Request-Id: {id}\r\nX-Marlrun-Response-Stamp: s\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        if is_fatal && seen.trouble {
            crashed.store(true, Ordering::Relaxed);
            return;
        }
        for number in 1..=5 {
            let event = format!("id: {number}\ndata: x\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if crashed.load(Ordering::Relaxed) || stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        if crashed.load(Ordering::Relaxed) || stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}
