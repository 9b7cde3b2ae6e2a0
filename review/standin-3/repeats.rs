//! All replicas of a service are full, and the routers are stopped and started again, one after the other.

use crate::{Case, world::*};
use std::{
    collections::HashSet,
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ROUTERS: usize = 6;
const REPLICAS: usize = 6;
const BETWEEN_REQUESTS: Duration = Duration::from_millis(50);
/// Time from the beginning of the traffic until the replicas are full, from that to the first stop, and from the last
/// start to the end.
const FULL_AFTER: Duration = Duration::from_secs(3);
const STOP_AFTER: Duration = Duration::from_secs(1);
const END_AFTER: Duration = Duration::from_secs(6);
/// Time without a stop, in place of all stops.
const UNDISTURBED: Duration = Duration::from_secs(20);
/// Time from SIGTERM until the balancer has missed two answers, and until a process that has ended starts again.
const OUT_OF_ROTATION: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(300);
/// `grace-s`, after which the platform kills a process.
const GRACE: Duration = Duration::from_secs(8);
/// `budget-window-s`, `retry-ratio` and `retry-extra` of the settings.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const EXTRA: f64 = 52.0;

pub fn play(case: &Case) -> bool {
    let record = &case.record;
    let store = Store::open();
    // Time of each arrival, and whether it is the first one of its request.
    let arrivals: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let known: Arc<Mutex<HashSet<String>>> = Arc::default();
    let full = Arc::new(AtomicBool::new(false));
    for index in 0..REPLICAS {
        let name = format!("i-a{index}");
        let own = name.clone();
        let (arrivals, known, full, record) = (
            arrivals.clone(),
            known.clone(),
            full.clone(),
            record.clone(),
        );
        let address = serve("127.0.0.1:0", move |mut stream| {
            while let Some(request) = read_message(&mut stream) {
                let id = request.header("x-marlrun-request-id").to_owned();
                if request.header("x-marlrun-expect-instance") != own {
                    let _ = stream.write_all(not_run(421, &id, "").as_bytes());
                    continue;
                }
                let is_first = known.lock().unwrap().insert(id.clone());
                arrivals.lock().unwrap().push((Instant::now(), is_first));
                let repeat = if is_first { "" } else { ", a repeat" };
                let answer = if full.load(Ordering::Relaxed) {
                    record.line(&format!(
                        "{own} gets {id}{repeat}: it is full and doesn't run it"
                    ));
                    not_run(503, &id, "")
                } else {
                    record.line(&format!("{own} runs {id}{repeat}"));
                    success(&id, "")
                };
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
        let entry = format!(
            r#"{{"service":"app","address":"{address}","zone":"za","version":"1","slots":6,"state":"ready","cold-left-ms":0,"seq":1,"born":{}}}"#,
            unix_ms()
        );
        store.put("servers", &name, &entry);
    }
    store.put(
        "op",
        "config",
        r#"{"version":1,"routes":[{"name":"look","host":"app.example","prefix":"/look/","kind":"safe","timeout-ms":1500,
"slo-ms":150,"priority":1,"service":"app","attempts":3,"no-auth":false,"sticky":false,"resumable":false}],
"services":[{"name":"app","max-conns":100}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"east","api-keys":["key-east"]}]}"#,
    );
    let mut machines = Machine::start_all(&case.folder, ROUTERS, |_| store.address);
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.front).collect();
    let rotation = Arc::new(Mutex::new(vec![true; ROUTERS]));
    let sent: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let (log, is_over, lines, used) =
        (sent.clone(), stop.clone(), record.clone(), rotation.clone());
    let traffic = thread::spawn(move || {
        for number in 0.. {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            let used: Vec<usize> = used
                .lock()
                .unwrap()
                .iter()
                .enumerate()
                .filter(|(_, used)| **used)
                .map(|(r, _)| r)
                .collect();
            let router = used[number % used.len()];
            let (front, record) = (fronts[router], lines.clone());
            log.lock().unwrap().push(Instant::now());
            thread::spawn(move || {
                let id = new_id();
                let request = format!(
                    "GET /look/1 HTTP/1.1\r\nHost: app.example\r\nX-Marlrun-Request-Id: {id}\r\n\
                     X-Marlrun-Deadline-Ms: 1500\r\nAuthorization: Bearer key-east\r\nConnection: close\r\n\r\n"
                );
                record.line(&format!("{id} sent to front-{router}"));
                let answer = exchange(front, request.as_bytes(), Duration::from_millis(1_500));
                record.line(&format!(
                    "{id} answered {}",
                    answer.map_or(0, |answer| answer.status())
                ));
            });
            thread::sleep(BETWEEN_REQUESTS);
        }
    });
    thread::sleep(FULL_AFTER);
    full.store(true, Ordering::Relaxed);
    record.line("all replicas are full");
    thread::sleep(STOP_AFTER);
    if !case.trouble {
        thread::sleep(UNDISTURBED);
    }
    for (index, machine) in machines.iter_mut().enumerate().filter(|_| case.trouble) {
        record.line(&format!("front-{index} gets SIGTERM"));
        machine.terminate();
        thread::sleep(OUT_OF_ROTATION);
        rotation.lock().unwrap()[index] = false;
        machine.wait_for_end(GRACE);
        thread::sleep(DOWN);
        machine.start();
        wait_for("the router is ready again", Duration::from_secs(10), || {
            machine.is_ready()
        });
        rotation.lock().unwrap()[index] = true;
        record.line(&format!("front-{index} has started again and is ready"));
    }
    thread::sleep(END_AFTER);
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    let arrivals = arrivals.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let within = |at: Instant, end: Instant| at <= end && end - at < BUDGET_WINDOW;
    let windows = arrivals.iter().map(|(end, _)| {
        let repeats = arrivals
            .iter()
            .filter(|(at, is_first)| !is_first && within(*at, *end));
        let requests = |end: Instant| sent.iter().filter(|at| within(**at, end)).count();
        // Those of the window, the one before it or the one half a window before it, whichever has most.
        let ends = [*end, *end - BUDGET_WINDOW / 2, *end - BUDGET_WINDOW];
        let requests = ends.into_iter().map(requests).max().unwrap_or_default();
        (repeats.count(), RATIO * requests as f64 + EXTRA)
    });
    let worst =
        windows.max_by(|one, other| (one.0 as f64 - one.1).total_cmp(&(other.0 as f64 - other.1)));
    let (repeats, bound) = worst.unwrap_or_default();
    let text = format!("{repeats} repeats in {BUDGET_WINDOW:?}, {bound} may");
    record.line(&text);
    println!("{text}");
    machines.clear();
    repeats as f64 > bound
}
