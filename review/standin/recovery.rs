//! All routers are killed at the same moment and start again, while a part of prompts crashes replicas.

use crate::{
    Setting,
    caller::call,
    fatal_part::FATAL,
    replica::{Pace, Replica},
    router::Router,
    store::Store,
    streams::{self, KEY},
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 2] = ["vake", "didube"];
const PACE: Pace = Pace {
    events: 20,
    gap: Duration::from_millis(50),
};
/// First parts of prompts: two that nearly half of the requests have each, and one that a few have.
const FIRST_PARTS: [(u64, u32); 3] = [(0x5a1, 5_382), (0x5a2, 5_382), (0x5a3, 5_382)];
/// Time between two sound requests, and between two with the fatal part.
const GAP: Duration = Duration::from_micros(16_600);
const FATAL_GAP: Duration = Duration::from_millis(450);
/// Time of sound requests alone, and with the others, before the routers are killed.
const ALONE: Duration = Duration::from_secs(6);
const BEFORE: Duration = Duration::from_secs(14);
/// Time for which the routers are gone, and time of requests after it.
const DOWN: Duration = Duration::from_millis(1_400);
const AFTER: Duration = Duration::from_secs(16);
/// `recovery-s`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Sound requests: when each was sent, and whether it was served.
type Served = Arc<Mutex<Vec<(Instant, bool)>>>;

fn first_part(number: usize) -> (u64, u32) {
    match number * 7 % 25 {
        ..12 => FIRST_PARTS[0],
        12..24 => FIRST_PARTS[1],
        _ => FIRST_PARTS[2],
    }
}

/// Sends requests until told to stop; `fatal` tells whether they have the fatal part.
fn send(
    setting: &Setting,
    fronts: [SocketAddr; 2],
    fatal: bool,
    (served, stop): (&Served, &AtomicBool),
) {
    let mut threads = Vec::new();
    let mut number = 0_usize;
    while !stop.load(Ordering::Relaxed) {
        let kind = if fatal { "bad" } else { "f00" };
        let mut ask = streams::ask(&format!("{kind}{number:013x}"));
        ask.key = KEY.into();
        ask.parts = if fatal {
            vec![FIRST_PARTS[number % 2], FATAL]
        } else {
            vec![first_part(number), (0xc00 + number as u64 % 8, 300)]
        };
        // Spreads each kind of prompt over both routers.
        let router = fronts[(number / 2 + number) % 2];
        let (record, served) = (setting.record.clone(), served.clone());
        threads.push(thread::spawn(move || {
            let sent = Instant::now();
            let answer = call(router, &ask, |_| {});
            record.line(&format!("client: {}: {}", ask.name, streams::show(&answer)));
            if !fatal {
                let is_served = answer.status == 200 && answer.whole;
                served.lock().unwrap().push((sent, is_served));
            }
        }));
        number += 1;
        thread::sleep(if fatal { FATAL_GAP } else { GAP });
    }
    streams::join(threads);
}

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::open(record)?;
    streams::configure(&store, streams::SLOTS);
    let start = |number: usize| {
        let id = format!("i-7f3a91c{number}");
        let named = (id.as_str(), "llm", "v1", ZONES[number % 2]);
        Replica::start(&store, record, named, PACE, Some(FATAL.0))
    };
    let replicas = [start(0)?, start(1)?, start(2)?];
    let start_router = |zone: &str| {
        let name = format!("front-{zone}-1");
        Router::start(&setting.folder, record, (&name, zone), store.address)
    };
    let mut routers = [start_router(ZONES[0])?, start_router(ZONES[1])?];
    for router in &routers {
        router.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let fronts = routers.each_ref().map(|router| router.front);
    let (served, stop) = (Served::default(), AtomicBool::new(false));
    let begin = Instant::now();
    let (killed, back, end) = thread::scope(|scope| -> io::Result<_> {
        let shared = (&served, &stop);
        scope.spawn(move || send(setting, fronts, false, shared));
        thread::sleep(ALONE);
        if setting.trouble {
            record.line("requests with the fatal part begin");
            scope.spawn(move || send(setting, fronts, true, shared));
        }
        thread::sleep(BEFORE);
        streams::write_configuration(&store, streams::FIRST_VERSION + 1, streams::SLOTS);
        record.line("a configuration is acknowledged");
        let killed = Instant::now();
        if setting.trouble || std::env::var("KILL").is_ok() {
            for router in &mut routers {
                router.kill()?;
            }
            thread::sleep(DOWN);
            for router in &mut routers {
                router.restart()?;
            }
        }
        let back = Instant::now();
        thread::sleep(AFTER);
        stop.store(true, Ordering::Relaxed);
        Ok((killed, back, Instant::now()))
    })
    .inspect_err(|_| stop.store(true, Ordering::Relaxed))?;
    let crashes = replicas.iter().flat_map(Replica::crashes).count();
    let served = served.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let sent = served.iter().filter(|(at, _)| *at >= from && *at < to);
        let whole = sent.clone().filter(|(_, is_served)| *is_served);
        (whole.count(), sent.count())
    };
    let (before, after) = (share(begin, killed), share(back + RECOVERY, end));
    record.line(&format!(
        "{crashes} crashes; sound requests served: {} of {} before the routers were killed, {} of {} later than \
         {RECOVERY:?} after they were back",
        before.0, before.1, after.0, after.1
    ));
    Ok(before.0 * 4 < before.1 || after.0 * 4 >= after.1)
}
