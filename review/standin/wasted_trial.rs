//! A part of the prompts of one tenant crashes replicas; another tenant sends most of the requests.

use crate::{
    Setting,
    fatal_part::{
        EARLIER, FATAL, LATER, MIN_REQUESTS, PACE, SETTLED, count, send_fatal, send_sound,
    },
    replica::Replica,
    router::Router,
    store::Store,
    streams::{self, KEY, OTHER_KEY},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 2] = ["vake", "didube"];
/// First part of the other tenant's prompts.
const OTHER: (u64, u32) = (0x5a2, 5_382);
/// Time between two sound requests of the tenant, and of the other one: three and seven a second.
const GAP: Duration = Duration::from_millis(333);
const OTHER_GAP: Duration = Duration::from_millis(143);
/// Time of the tenant's requests with the earlier first part, and of those with the later one. Requests with the fatal
/// part come all the latter time.
const BEFORE: Duration = Duration::from_secs(12);
/// Requests with the fatal part at the beginning of that.
const FIRST_FATAL: usize = 10;
const AFTER: Duration = Duration::from_secs(16);

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let start_time = Instant::now();
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
    let routers = [start_router(ZONES[0])?, start_router(ZONES[1])?];
    for router in &routers {
        router.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let fronts = routers.each_ref().map(|router| router.front);
    let fronts = &fronts;
    let (before, after, end, other) = thread::scope(|scope| {
        let times = (OTHER_GAP, BEFORE + AFTER);
        let other = scope.spawn(move || send_sound(setting, fronts, OTHER_KEY, OTHER, times));
        let before = send_sound(setting, fronts, KEY, EARLIER, (GAP, BEFORE));
        record.line("the first part of one tenant's prompts changes");
        if setting.trouble {
            send_fatal(setting, fronts, FIRST_FATAL, AFTER);
        }
        let end = Instant::now() + AFTER;
        let after = send_sound(setting, fronts, KEY, LATER, (GAP, AFTER));
        // A client that failed has counted nothing.
        (before, after, end, other.join().unwrap_or_default())
    });
    let mut crashes: Vec<Instant> = replicas.iter().flat_map(Replica::crashes).collect();
    crashes.sort_unstable();
    let decisive = crashes.get(4).or(crashes.last()).copied();
    // Without a crash the same time is counted.
    let settled = decisive.unwrap_or(end - AFTER) + SETTLED;
    let ((sent, begun), (later_sent, later_begun)) =
        (count(&before, start_time, end), count(&after, settled, end));
    let (other_sent, other_begun) = count(&other, settled, end);
    record.line(&format!(
        "{} crashes; sound requests of the tenant that began at the first attempt: {begun} of {sent} before, \
         {later_begun} of {later_sent} later than {SETTLED:?} after the fifth or last crash; of the other tenant then: \
         {other_begun} of {other_sent}",
        crashes.len()
    ));
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let counts = sent >= MIN_REQUESTS && later_sent >= MIN_REQUESTS;
    Ok(!counts || share(later_begun, later_sent) >= share(begun, sent) / 2.0)
}
