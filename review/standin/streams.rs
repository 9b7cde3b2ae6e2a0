//! Streams that break off and are taken up elsewhere, and the rule for them.

use crate::{
    Setting,
    caller::{Answer, Ask, call},
    replica::{Pace, Replica},
    store::Store,
};
use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    thread::{self, JoinHandle},
    time::Duration,
};

/// Version of the first configuration.
pub const FIRST_VERSION: u64 = 7;
pub const HOST: &str = "ficu95.example";
/// Keys of two tenants.
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
pub const OTHER_KEY: &str = "k7b2ex5wa5xwyhks8nbk";
const DEADLINE_MS: u64 = 10_000;
pub const PACE: Pace = Pace {
    events: 60,
    gap: Duration::from_millis(50),
};
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Replicas; two of each version and zone serve, so that the loss of one leaves two of its version.
const REPLICAS: usize = 8;
/// Requests that a replica runs at once.
pub const SLOTS: u32 = 64;
/// Streams that are begun and broken off; the rule counts from 12 on.
pub const STREAMS: usize = 24;

/// Writes the first configuration.
pub fn configure(store: &Store, slots: u32) {
    write_configuration(store, FIRST_VERSION, slots);
}

/// Writes a version of the configuration; all have the same routes.
pub fn write_configuration(store: &Store, version: u64, slots: u32) {
    let configuration = format!(
        r#"{{"version":{version},"routes":[{{"name":"r-plan","host":"{HOST}","prefix":"/plan/","kind":"stream","timeout-ms":10000,
        "slo-ms":600,"priority":1,"service":"llm","attempts":2,"no-auth":false,"sticky":true,"resumable":true,
        "gap-aim-ms":250}}],"services":[{{"name":"llm","health-path":"/healthz","max-conns":360,"protocol":"h1",
        "tls":false,"engine":{{"slots":{slots},"kv-tokens":444000}}}}],"limits":{{"max-header-bytes":16384,
        "max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000,"tokens-per-s":470000}},
        "tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}},{{"name":"puxa403","api-keys":["{OTHER_KEY}"],"priority":1}}]}}"#
    );
    store.put("op", "config", &configuration);
}

/// Starts replicas, of two software versions by turns.
pub fn start_replicas(
    setting: &Setting,
    store: &Store,
    zones: [&str; 2],
) -> io::Result<Vec<Replica>> {
    let start = |number: usize| {
        let id = format!("i-7f3a91c{number}");
        let (version, zone) = (VERSIONS[number % 2], zones[number / 2 % 2]);
        Replica::start(
            store,
            &setting.record,
            (&id, "llm", version, zone),
            PACE,
            None,
        )
    };
    (0..REPLICAS).map(start).collect()
}

/// Returns a request with the prompt of all streams.
pub fn ask(name: &str) -> Ask {
    Ask {
        name: name.into(),
        path: "/plan/".into(),
        host: HOST.into(),
        key: KEY.into(),
        deadline_ms: DEADLINE_MS,
        parts: vec![(0xaa, 60)],
        resumes: None,
    }
}

/// What became of the streams.
#[derive(Default)]
pub struct Outcome {
    /// Streams that clients took up, and those that went on.
    taken_up: AtomicUsize,
    went_on: AtomicUsize,
    /// Streams that began anew at the same machines meanwhile, of those that were asked for.
    asked: AtomicUsize,
    begun: AtomicUsize,
    /// Streams that hold events of two software versions.
    mixed: AtomicUsize,
}

impl Outcome {
    /// ORDER: more than two streams hold events from replicas of two software versions.
    pub fn is_in_order(&self, setting: &Setting) -> bool {
        let mixed = self.mixed.load(Ordering::Relaxed);
        let taken_up = self.taken_up.load(Ordering::Relaxed);
        setting.record.line(&format!(
            "{mixed} of {taken_up} streams that were taken up hold events of two software versions"
        ));
        mixed <= 2
    }

    /// LOST: of 12 or more streams that clients take up again, the share that goes on is under half of the share of
    /// new streams that begin.
    pub fn holds(&self, setting: &Setting) -> bool {
        let read = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        let (taken_up, went_on) = (read(&self.taken_up), read(&self.went_on));
        let (asked, begun) = (read(&self.asked), read(&self.begun));
        setting.record.line(&format!(
            "{went_on} of {taken_up} streams that were taken up went on, {begun} of {asked} new ones began"
        ));
        let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
        taken_up < 12 || share(went_on, taken_up) >= share(begun, asked) / 2.0
    }
}

/// Begins streams at one of some machines each; those that break off are taken up at one of others.
pub fn begin(
    setting: &Setting,
    first: &[SocketAddr],
    then: &[SocketAddr],
    outcome: &'static Outcome,
) -> Vec<JoinHandle<()>> {
    let start = |number: usize| {
        let record = setting.record.clone();
        let first = first[number % first.len()];
        let then = then[number % then.len()];
        thread::spawn(move || {
            let mut ask = ask(&format!("{number:016x}"));
            let began = ask.name.clone();
            record.line(&format!("client: sends {began} to {first}"));
            let answer = call(first, &ask, |_| {});
            record.line(&format!("client: {began}: {}", show(&answer)));
            let Some((last, version)) = answer.events.last().filter(|_| !answer.whole) else {
                return;
            };
            outcome.taken_up.fetch_add(1, Ordering::Relaxed);
            // A client retries a few times.
            for attempt in 1..=3 {
                ask.name = format!("{attempt}{number:015x}");
                ask.resumes = Some((began.clone(), *last));
                record.line(&format!(
                    "client: sends {} to {then}: takes {began} up after event {last}",
                    ask.name
                ));
                let answer = call(then, &ask, |_| {});
                record.line(&format!("client: {}: {}", ask.name, show(&answer)));
                if answer.status == 200 {
                    let goes_on =
                        answer.events.first().map(|(number, _)| *number) == Some(last + 1);
                    outcome
                        .went_on
                        .fetch_add(usize::from(goes_on), Ordering::Relaxed);
                    let is_mixed = answer.events.iter().any(|(_, other)| other != version);
                    outcome
                        .mixed
                        .fetch_add(usize::from(is_mixed), Ordering::Relaxed);
                    return;
                }
                thread::sleep(Duration::from_secs_f64(answer.retry_after.unwrap_or(0.3)));
            }
        })
    };
    (0..STREAMS).map(start).collect()
}

/// Asks for new streams.
pub fn begin_new(
    setting: &Setting,
    machines: &[SocketAddr],
    outcome: &'static Outcome,
) -> Vec<JoinHandle<()>> {
    let start = |number: usize| {
        let record = setting.record.clone();
        let machine = machines[number % machines.len()];
        thread::spawn(move || {
            let ask = ask(&format!("f{number:015x}"));
            record.line(&format!("client: sends {} to {machine}", ask.name));
            let answer = call(machine, &ask, |_| {});
            record.line(&format!("client: {}: {}", ask.name, show(&answer)));
            outcome.asked.fetch_add(1, Ordering::Relaxed);
            let has_begun = answer.status == 200 && !answer.events.is_empty();
            outcome
                .begun
                .fetch_add(usize::from(has_begun), Ordering::Relaxed);
        })
    };
    (0..STREAMS).map(start).collect()
}

pub fn show(answer: &Answer) -> String {
    let (status, count) = (answer.status, answer.events.len());
    let end = if answer.whole { "whole" } else { "broken off" };
    match status {
        0 => "no answer".into(),
        200 => {
            let version = answer.events.first().map_or("", |(_, version)| version);
            format!("200, {count} events of {version}, {end}")
        }
        _ => format!("{status}, Retry-After {:?}", answer.retry_after),
    }
}

pub fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        // A client that failed has counted nothing.
        let _ = thread.join();
    }
}
