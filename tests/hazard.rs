//! End-to-end tests of requests with a part in their prompts that crashes the targets that answer them.

#![allow(
    clippy::disallowed_methods,
    reason = "callers wait by the system's clock"
)]

mod world;

use nix::sys::signal::Signal;
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use world::{Caller, Router, Stage, World};

/// `stability-window-ms` of the users' deployments.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Crashes after which the part counts as known, and requests that may reach targets later than
/// [`STABILITY_WINDOW`] after the last of them.
const MAX_CRASHES: usize = 5;
const MAX_LATER: usize = 3;
const ROUTERS: usize = 5;
const ENGINES: usize = 10;
const SOUND_CALLERS: usize = 24;
/// Time before the first crash, and from it to the end.
const BEFORE: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(16);
/// First part of the prompts of all requests.
const FIRST_PART: &str = "a0:300";

/// What happens besides sound requests.
struct Trouble {
    /// Prompts that crash targets, each with the route of its requests; one caller each.
    prompts: &'static [(&'static str, &'static str)],
    stage: Stage,
    /// A router is killed and another one starts again and again.
    restarts: bool,
    /// Targets crash by themselves, one at a time.
    crashes: bool,
}

const NONE: Trouble = Trouble {
    prompts: &[],
    stage: Stage::AfterHead,
    restarts: false,
    crashes: false,
};

/// What targets and callers saw; times are from the start.
struct Report {
    crashes: Vec<Duration>,
    /// Requests with a fatal part that reached targets, after which the next one may have crashed.
    fatal: Vec<Duration>,
    sound: Vec<Sound>,
    log: String,
}

struct Sound {
    at: Duration,
    begun: bool,
}

/// Returns the name of a part.
fn name_of(part: &str) -> &str {
    part.split(':').next().unwrap()
}

/// Returns the fatal parts of the prompts, all of which begin with `f`.
fn fatal_parts(trouble: &Trouble) -> Vec<&'static str> {
    let parts = trouble
        .prompts
        .iter()
        .flat_map(|(_, parts)| parts.split(','));
    parts
        .map(name_of)
        .filter(|name| name.starts_with('f'))
        .collect()
}

fn is_fatal(parts: &str) -> bool {
    parts.split(',').any(|part| part.starts_with('f'))
}

/// Runs the fleet with callers until the end.
fn play(trouble: &Trouble) -> Report {
    let world = World::open(ENGINES, 0);
    for engine in &world.engines {
        engine.pace(20, Duration::from_millis(25));
        engine.crash_on(&fatal_parts(trouble), trouble.stage);
    }
    let names: Vec<String> = (0..ROUTERS).map(|index| format!("r{index}")).collect();
    let routers: Vec<Mutex<Router>> = names
        .iter()
        .map(|name| Mutex::new(Router::spawn(&world.store, name)))
        .collect();
    world::wait_for("all routers are ready", || {
        routers
            .iter()
            .all(|router| router.lock().unwrap().is_ready())
    });
    let listen: Vec<_> = routers
        .iter()
        .map(|router| router.lock().unwrap().listen)
        .collect();
    let start = Instant::now();
    let stop = AtomicBool::new(false);
    let next = AtomicU64::new(0);
    let sound = Mutex::new(Vec::new());
    let call = |route: &str, parts: &str| {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let request = format!("q{number}");
        let address = listen[number as usize % ROUTERS];
        // The last part is the request's own.
        let parts = format!("{parts},{:x}:100", 0x1000_0000 + number);
        let caller =
            Caller::stream(address, route, &request).with("x-marlrun-prompt-prefix", &parts);
        caller.try_call()
    };
    thread::scope(|scope| {
        let (stop, sound, call) = (&stop, &sound, &call);
        for index in 0..SOUND_CALLERS {
            scope.spawn(move || {
                let parts = format!("{FIRST_PART},b{}:200", index % 4);
                let route = ["plan", "sum"][index % 2];
                while !stop.load(Ordering::Relaxed) {
                    let at = start.elapsed();
                    let answer = call(route, &parts);
                    let begun = answer.is_ok_and(|answer| answer.status == 200);
                    sound.lock().unwrap().push(Sound { at, begun });
                    if !begun {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
        for (route, parts) in trouble.prompts {
            scope.spawn(move || {
                thread::sleep(BEFORE);
                while !stop.load(Ordering::Relaxed) {
                    // Whatever comes back, the next one follows.
                    let _ = call(route, parts);
                    thread::sleep(Duration::from_millis(150));
                }
            });
        }
        if trouble.crashes {
            scope.spawn(|| {
                thread::sleep(BEFORE);
                for engine in world.engines.iter().cycle() {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    engine.crash();
                    thread::sleep(Duration::from_millis(700));
                }
            });
        }
        if trouble.restarts {
            scope.spawn(|| {
                thread::sleep(BEFORE + Duration::from_secs(3));
                for router in routers.iter().cycle() {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    router.lock().unwrap().signal(Signal::SIGKILL);
                    thread::sleep(Duration::from_millis(500));
                    router.lock().unwrap().restart();
                    thread::sleep(Duration::from_millis(1_500));
                }
            });
        }
        thread::sleep(LENGTH);
        stop.store(true, Ordering::Relaxed);
    });
    let since = |at: Instant| at.saturating_duration_since(start);
    let engines = world.engines.iter();
    let mut crashes: Vec<Duration> = engines
        .clone()
        .flat_map(|engine| engine.crashes())
        .map(since)
        .collect();
    crashes.sort_unstable();
    let runs = engines.flat_map(|engine| engine.runs());
    let fatal = runs.filter(|run| {
        let parts = run.headers.get("x-marlrun-prompt-prefix").unwrap();
        is_fatal(parts.to_str().unwrap())
    });
    let mut fatal: Vec<Duration> = fatal.map(|run| since(run.at)).collect();
    fatal.sort_unstable();
    Report {
        crashes,
        fatal,
        sound: sound.into_inner().unwrap(),
        log: routers
            .iter()
            .map(|router| router.lock().unwrap().log())
            .collect(),
    }
}

impl Report {
    /// Returns the fraction of the sound requests sent within a time that began.
    fn begun(&self, from: Duration, to: Duration) -> f64 {
        let sent = self
            .sound
            .iter()
            .filter(|sound| (from..to).contains(&sound.at));
        let begun = sent.clone().filter(|sound| sound.begun).count();
        let sent = sent.count();
        assert!(
            sent >= 20,
            "{sent} sound requests between {from:?} and {to:?}"
        );
        begun as f64 / sent as f64
    }

    /// Checks the bounds that the users state, for a number of fatal parts.
    fn check(&self, parts: usize) {
        let crashes = &self.crashes;
        println!(
            "{} crashes, the first ones at {:?}",
            crashes.len(),
            &crashes[..crashes.len().min(2 * MAX_CRASHES)]
        );
        assert!(crashes.len() >= 2, "the targets must crash at all");
        let known = crashes.get(MAX_CRASHES * parts - 1).copied();
        if let Some(known) = known {
            let later = self
                .fatal
                .iter()
                .filter(|at| **at > known + STABILITY_WINDOW);
            let later = later.count();
            assert!(
                later <= MAX_LATER * parts,
                "{later} requests reached targets later"
            );
        }
        let before = self.begun(Duration::ZERO, BEFORE);
        // Stricter than stated: from the first crash on, not from the fifth.
        let after = self.begun(crashes[0] + 2 * STABILITY_WINDOW, LENGTH);
        println!("sound requests begun: {before:.2} before, {after:.2} after");
        assert!(
            after * 2.0 >= before,
            "{after} of the sound requests begin, {before} before"
        );
    }
}

#[test]
fn prompt_part_that_crashes_targets_is_held_back() {
    let prompts = &[("plan", "a0:300,f1:200"), ("plan", "a0:300,f1:200")];
    play(&Trouble { prompts, ..NONE }).check(1);
}

#[test]
fn prompt_parts_that_crash_targets_are_held_back_both() {
    let prompts = &[
        ("plan", "f1:300,b0:200"),
        ("sum", "a0:300,b1:200,f2:100,b1:200"),
    ];
    let stage = Stage::WithinEvent;
    play(&Trouble {
        prompts,
        stage,
        ..NONE
    })
    .check(2);
}

#[test]
fn prompt_part_that_crashes_targets_before_any_byte_is_held_back() {
    let prompts = &[("sum", "a0:300,f1:200"), ("plan", "a0:300,f1:200")];
    let stage = Stage::BeforeHead;
    play(&Trouble {
        prompts,
        stage,
        ..NONE
    })
    .check(1);
}

#[test]
fn prompt_part_that_crashes_targets_is_held_back_while_routers_restart() {
    let prompts = &[("plan", "a0:300,f1:200"), ("sum", "a0:300,f1:200")];
    let restarts = true;
    play(&Trouble {
        prompts,
        restarts,
        ..NONE
    })
    .check(1);
}

#[test]
fn crashes_of_targets_without_such_a_part_hold_nothing_back() {
    let report = play(&Trouble {
        crashes: true,
        ..NONE
    });
    assert!(
        report.crashes.len() >= 10,
        "{} crashes",
        report.crashes.len()
    );
    assert!(report.log.contains("target crashed"));
    assert!(!report.log.contains("prompt part held back"));
}
