//! Times that outcomes take over real processes: a dead owner's slots, a leaving target, a claim.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Caller, Fleet};
use marlrun::clock;
use nix::sys::signal::Signal;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Slots of each target.
const SLOTS: u32 = 4;
/// Callers that keep the targets busy.
const CALLERS: usize = 16;
/// Time between two looks at a target's account.
const POLL: Duration = Duration::from_millis(20);
/// Time over which a target is looked at after a failure.
const OBSERVED: Duration = Duration::from_secs(5);
/// Calls of which the latency is taken.
const CALLS: usize = 300;

fn main() {
    owner_killed();
    target_leaves();
    claim();
}

/// Callers that send one request after the other through one router.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn spawn(caller: &Caller) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let threads = (0..CALLERS).map(|number| {
            let (caller, stop) = (caller.clone(), stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    // What an answer says is the tests' matter.
                    let _ = caller.complete("assistant", &format!("caller {number}"), 20, true);
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller does not panic");
        }
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&["alpha"]);
    fleet.start_platform();
    let interval = ["--token-interval", "10ms"];
    fleet.start_target("engine-1", "assistant", "east", SLOTS, &interval);
    fleet.start_target("engine-2", "assistant", "east", SLOTS, &interval);
    fleet.start_target("panel-1", "panels", "east", SLOTS, &[]);
    fleet.start_routers(&[("east-1", "east"), ("east-2", "east"), ("west-1", "west")]);
    fleet
}

/// Kills each target's owner in turn and shows the longest time in which the target began no run.
fn owner_killed() {
    for victim in ["east-1", "east-2"] {
        let fleet = fleet();
        let load = Load::spawn(&fleet.caller("west-1", "alpha"));
        thread::sleep(Duration::from_secs(2));
        let before = longest_pause(&fleet, OBSERVED);
        fleet.signal(victim, Signal::SIGKILL);
        let after = longest_pause(&fleet, OBSERVED);
        load.end();
        println!(
            "owner {victim} killed: longest time without a new run, by target: {before:?} before, {after:?} after (ms)"
        );
    }
}

/// Returns the longest time in which each engine began no run, in milliseconds.
fn longest_pause(fleet: &Fleet, observed: Duration) -> [u64; 2] {
    let end = clock::now() + marlrun::unit::Span::from_millis(observed.as_millis() as u64);
    let mut seen = [(0, clock::now()); 2];
    let mut longest = [0; 2];
    while clock::now() < end {
        for (index, engine) in ["engine-1", "engine-2"].into_iter().enumerate() {
            let started = fleet.ask_target(engine, "GET", "/stats", "")["started"]
                .as_u64()
                .unwrap_or(0);
            let now = clock::now();
            if started != seen[index].0 {
                seen[index] = (started, now);
            }
            longest[index] = longest[index].max(now.since(seen[index].1).as_millis());
        }
        thread::sleep(POLL);
    }
    longest
}

/// Lets a target leave under load and shows how long it still got work.
fn target_leaves() {
    let fleet = fleet();
    let load = Load::spawn(&fleet.caller("west-1", "alpha"));
    thread::sleep(Duration::from_secs(2));
    fleet.ask_target("engine-1", "POST", "/leave", "");
    let left = clock::now();
    let (mut admitted, mut last) = (0, left);
    while clock::now().since(left).as_millis() < 4_000 {
        let stats = fleet.ask_target("engine-1", "GET", "/stats", "");
        let count = stats["admitted_leaving"].as_u64().unwrap_or(0);
        if count != admitted {
            (admitted, last) = (count, clock::now());
        }
        thread::sleep(POLL);
    }
    load.end();
    println!(
        "target leaves: {admitted} requests after it, the last one {} ms after it",
        last.since(left).as_millis()
    );
}

/// Shows the latency of calls without a key, with an issued key, and with a key claimed in the table.
fn claim() {
    let fleet = fleet();
    let caller = fleet.caller("east-1", "alpha");
    let issue = || {
        let answer = caller
            .send("POST", "/v1/idempotency-keys", &[], "")
            .expect("a key");
        let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
        body["key"].as_str().expect("a key").to_owned()
    };
    let issued: Vec<_> = (0..CALLS).map(|_| issue()).collect();
    let written = |fleet: &Fleet| {
        let address = fleet.platform.as_ref().expect("a platform").1;
        let answer = Caller::new(address, "")
            .send("GET", "/stats", &[], "")
            .expect("counters");
        let stats: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
        stats["writes"].as_u64().unwrap_or(0)
    };
    for (name, keys) in [
        ("no key", None),
        ("issued key", Some(issued)),
        (
            "caller's key",
            Some((0..CALLS).map(|number| format!("own-{number}")).collect()),
        ),
    ] {
        let before = written(&fleet);
        let mut micros: Vec<_> = (0..CALLS)
            .map(|number| {
                let key = keys
                    .as_ref()
                    .map(|keys| ("idempotency-key", keys[number].as_str()));
                let headers: Vec<_> = key.into_iter().collect();
                let start = clock::now();
                let answer = caller
                    .send("POST", "/s/panels/check-in", &headers, "{}")
                    .expect("an answer");
                assert_eq!(answer.status, 200, "{answer:?}");
                clock::now().since(start).0
            })
            .collect();
        micros.sort_unstable();
        let writes = written(&fleet) - before;
        let millis = |part: usize| micros[CALLS * part / 100] as f64 / 1e3;
        println!(
            "{name}: p50 {:.1} ms, p95 {:.1} ms; {writes} table writes for {CALLS} calls one by one",
            millis(50),
            millis(95)
        );
    }
}
