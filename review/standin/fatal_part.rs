//! A part of prompts crashes replicas while a first replica of a new software version joins.

use crate::{
    Setting,
    caller::call,
    replica::{Pace, Replica},
    router::Router,
    store::Store,
    streams::{self, KEY},
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 2] = ["vake", "didube"];
/// Slots of a replica, and its streams: two seconds each.
pub const SLOTS: u32 = 8;
pub const PACE: Pace = Pace {
    events: 40,
    gap: Duration::from_millis(50),
};
/// Time between two sound requests: 12 a second, with 24 streams at a time in 32 slots.
const SOUND_GAP: Duration = Duration::from_millis(83);
/// First parts of the prompts before and after the change, the part that crashes replicas, and their tokens.
pub const EARLIER: (u64, u32) = (0x5a0, 5_382);
pub const LATER: (u64, u32) = (0x5a1, 5_382);
pub const FATAL: (u64, u32) = (0xbad, 200);
/// Time of sound requests with the earlier first part, and of those with the later one.
const BEFORE: Duration = Duration::from_secs(12);
const AFTER: Duration = Duration::from_secs(45);
/// Requests with the fatal part: three at the start, then one in two seconds.
const FIRST_FATAL: usize = 3;
const FATAL_GAP: Duration = Duration::from_millis(200);
const FATAL_PAUSE: Duration = Duration::from_secs(9);
const LATER_FATAL_GAP: Duration = Duration::from_secs(2);
/// Time from the first of these until the replica of the new version joins.
const JOIN: Duration = Duration::from_millis(1_200);
/// Twice `stability-window-ms`.
pub const SETTLED: Duration = Duration::from_millis(6_000);
/// Requests of each time from which the rule counts.
pub const MIN_REQUESTS: usize = 20;

/// Sound requests of a time: when each was sent, and whether it began at the first attempt.
pub type Requests = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Returns the number of requests that were sent in a time, and of those that began.
pub fn count(requests: &Requests, from: Instant, to: Instant) -> (usize, usize) {
    let requests = requests.lock().unwrap();
    let counted = requests.iter().filter(|(at, _)| *at >= from && *at < to);
    let begun = counted.clone().filter(|(_, has_begun)| *has_begun);
    (counted.count(), begun.count())
}

/// Sends sound requests of a tenant with a first part until `length` has passed, and waits for their answers.
pub fn send_sound(
    setting: &Setting,
    routers: &[SocketAddr],
    key: &str,
    first_part: (u64, u32),
    (gap, length): (Duration, Duration),
) -> Requests {
    let requests = Requests::default();
    let end = Instant::now() + length;
    let mut threads = Vec::new();
    let mut number = 0_usize;
    while Instant::now() < end {
        let mut ask = streams::ask(&format!("{:x}{number:012x}", first_part.0));
        ask.key = key.into();
        // The second part is shared by some of the requests.
        ask.parts = vec![first_part, (0xc00 + number as u64 % 8, 300)];
        let (router, record) = (routers[number % routers.len()], setting.record.clone());
        let requests = requests.clone();
        threads.push(thread::spawn(move || {
            let sent = Instant::now();
            let answer = call(router, &ask, |_| {});
            record.line(&format!("client: {}: {}", ask.name, streams::show(&answer)));
            let has_begun = answer.status == 200 && !answer.events.is_empty();
            requests.lock().unwrap().push((sent, has_begun));
        }));
        number += 1;
        thread::sleep(gap);
    }
    streams::join(threads);
    requests
}

/// Sends requests with the fatal part for a time, `first` of them at its beginning.
pub fn send_fatal(setting: &Setting, routers: &[SocketAddr], first: usize, length: Duration) {
    let end = Instant::now() + length;
    let (record, routers) = (setting.record.clone(), routers.to_vec());
    thread::spawn(move || {
        let mut number = 0_usize;
        while Instant::now() < end {
            let mut ask = streams::ask(&format!("bad{number:013x}"));
            ask.parts = vec![LATER, FATAL];
            let (router, record) = (routers[number % routers.len()], record.clone());
            thread::spawn(move || {
                let answer = call(router, &ask, |_| {});
                record.line(&format!("client: {}: {}", ask.name, streams::show(&answer)));
            });
            number += 1;
            thread::sleep(match number {
                _ if number < first => FATAL_GAP,
                _ if number == first => FATAL_PAUSE,
                _ => LATER_FATAL_GAP,
            });
        }
    });
}

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let start_time = Instant::now();
    let store = Store::open(record)?;
    streams::configure(&store, SLOTS);
    let start = |id: &str, version: &str| {
        let named = (id, "llm", version, ZONES[0]);
        Replica::start(&store, record, named, PACE, Some(FATAL.0))
    };
    let mut replicas = vec![
        start("i-old1", "v1")?,
        start("i-old2", "v1")?,
        start("i-old3", "v1")?,
    ];
    let has_canary = std::env::var("ONE_VERSION").is_err();
    let start_router = |zone: &str| {
        let name = format!("front-{zone}-1");
        Router::start(&setting.folder, record, (&name, zone), store.address)
    };
    let routers = [start_router(ZONES[0])?, start_router(ZONES[1])?];
    for router in &routers {
        router.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let fronts = routers.each_ref().map(|router| router.front);
    let before = send_sound(setting, &fronts, KEY, EARLIER, (SOUND_GAP, BEFORE));
    record.line("the first part of the prompts changes");
    if setting.trouble {
        send_fatal(setting, &fronts, FIRST_FATAL, AFTER);
    }
    let joined = Arc::new(Mutex::new(Vec::new()));
    let joining = joined.clone();
    let (late_store, late_record) = (store.clone(), record.clone());
    thread::spawn(move || {
        thread::sleep(JOIN);
        let version = if has_canary { "v2" } else { "v1" };
        let named = ("i-new1", "llm", version, ZONES[0]);
        let replica = Replica::start(&late_store, &late_record, named, PACE, Some(FATAL.0));
        joining.lock().unwrap().extend(replica);
    });
    let begin = Instant::now();
    let after = send_sound(setting, &fronts, KEY, LATER, (SOUND_GAP, AFTER));
    replicas.append(&mut joined.lock().unwrap());
    let mut crashes: Vec<Instant> = replicas.iter().flat_map(Replica::crashes).collect();
    crashes.sort_unstable();
    // Without a crash the same time is counted.
    let decisive = crashes.get(4).or(crashes.last()).copied();
    let decisive = decisive.unwrap_or(begin + FATAL_PAUSE);
    let end = Instant::now();
    let ((sent, begun), (later_sent, later_begun)) = (
        count(&before, start_time, end),
        count(&after, decisive + SETTLED, end),
    );
    record.line(&format!(
        "{} crashes; sound requests that began at the first attempt: {begun} of {sent} before, {later_begun} of \
         {later_sent} later than {SETTLED:?} after the fifth or last crash",
        crashes.len()
    ));
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let counts = sent >= MIN_REQUESTS && later_sent >= MIN_REQUESTS;
    Ok(!counts || share(later_begun, later_sent) >= share(begun, sent) / 2.0)
}
