//! Randomized faults on routers as processes, on targets and on the store, while callers check what
//! the pages promise.
//!
//! `SOAK_SEED`, `SOAK_SECONDS` and `SOAK_SEEDS` choose the first seed, the length of a run and the
//! number of runs. Seeds that ever failed stay in [`REGRESSIONS`], each with its cause.

// A soak runs by the system's clock.
#![allow(clippy::disallowed_methods)]

mod world;

use nix::sys::signal::Signal;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use std::{
    env,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use world::{Answer, Caller, Fault, Mode, Router, World, event, wait_for};

/// Seed of the run in CI.
const SEED: u64 = 20_261_203;
/// Seeds that ever failed, with the cause.
const REGRESSIONS: [u64; 0] = [];
/// Routers of a run.
const ROUTERS: usize = 3;
/// Callers of a run.
const CALLERS: u64 = 8;
/// Events of each stream.
const EVENTS: u64 = 5;

/// What a caller saw.
struct Seen {
    request: String,
    route: &'static str,
    /// `None` if the router was gone.
    answer: Option<Answer>,
}

fn number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.map_or(default, |text| text.parse().unwrap())
}

#[test]
fn faults_any_order() {
    let first = number("SOAK_SEED", SEED);
    let seconds = number("SOAK_SECONDS", 6);
    let fresh = first..first + number("SOAK_SEEDS", 1);
    for seed in REGRESSIONS.into_iter().chain(fresh) {
        println!("soak seed {seed}, {seconds} s");
        run(seed, Duration::from_secs(seconds));
    }
}

fn run(seed: u64, length: Duration) {
    let world = World::open(3, 3);
    let start = |index: usize| Router::spawn(&world.store, &format!("r{index}"));
    let routers: Vec<Mutex<Router>> = (0..ROUTERS).map(|i| Mutex::new(start(i))).collect();
    let all_ready = || {
        let ready = |router: &Mutex<Router>| router.lock().unwrap().is_ready();
        wait_for("all routers are ready", || routers.iter().all(ready));
    };
    all_ready();
    let stop = AtomicBool::new(false);
    let next = AtomicU64::new(1);
    let seen = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (routers, stop, next, seen) = (&routers, &stop, &next, &seen);
            scope.spawn(move || {
                let mut random = ChaCha8Rng::seed_from_u64(seed ^ caller << 32);
                while !stop.load(Ordering::Relaxed) {
                    let router = random.next_u64() as usize % ROUTERS;
                    let address = routers[router].lock().unwrap().listen;
                    let name = format!("q{}", next.fetch_add(1, Ordering::Relaxed));
                    let found = ask(address, random.next_u64(), name);
                    seen.lock().unwrap().push(found);
                }
            });
        }
        let mut faults = Faults {
            world: &world,
            routers: &routers,
            random: ChaCha8Rng::seed_from_u64(seed),
            version: 1,
        };
        let end = Instant::now() + length;
        while Instant::now() < end {
            faults.next();
        }
        faults.heal();
        all_ready();
        stop.store(true, Ordering::Relaxed);
    });
    for seen in seen.into_inner().unwrap() {
        check(seed, &world, &seen);
    }
    for (index, router) in routers.iter().enumerate() {
        let address = router.lock().unwrap().listen;
        for (route, count) in [("plan", 0), ("book", 1)] {
            wait_for("requests are served after the faults", || {
                let name = format!(
                    "after-{index}-{route}-{}",
                    next.fetch_add(1, Ordering::Relaxed)
                );
                ask(address, count, name)
                    .answer
                    .is_some_and(|answer| answer.status == 200 && answer.whole)
            });
        }
    }
}

/// Sends one request.
fn ask(address: SocketAddr, draw: u64, request: String) -> Seen {
    let (route, caller) = match draw % 4 {
        0 => ("plan", Caller::stream(address, "plan", &request)),
        1 => ("book", Caller::new(address, "POST", "/book/x", &request)),
        2 => ("look", Caller::new(address, "GET", "/look/x", &request)),
        _ => ("sum", Caller::stream(address, "sum", &request)),
    };
    let caller = caller.with("x-marlrun-deadline-ms", "3000");
    Seen {
        request,
        route,
        answer: caller.try_call().ok(),
    }
}

/// Checks what a caller saw against what targets ran.
fn check(seed: u64, world: &World, seen: &Seen) {
    let Seen { request, route, .. } = seen;
    let place = format!("seed {seed}, request {request} on {route}");
    let runs = world.runs_of(request).len();
    if matches!(*route, "book" | "sum") {
        assert!(runs <= 1, "{place} ran {runs} times");
    }
    let Some(answer) = &seen.answer else {
        return;
    };
    if matches!(answer.status, 408 | 421 | 429 | 503) {
        assert_eq!(runs, 0, "{place} ran and was answered {}", answer.status);
    }
    if answer.status != 200 {
        return;
    }
    let expected = match *route {
        "book" | "look" => format!("answer to {request}"),
        _ => (1..=EVENTS).map(event).collect(),
    };
    if answer.whole {
        assert_eq!(answer.body, expected, "{place}");
    } else {
        assert!(expected.starts_with(&answer.body), "{place}: {answer:?}");
    }
}

/// Faults in an order that a seed gives.
struct Faults<'w> {
    world: &'w World,
    routers: &'w [Mutex<Router>],
    random: ChaCha8Rng,
    version: u64,
}

impl Faults<'_> {
    fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    /// Waits a little and does the next thing.
    fn next(&mut self) {
        let pause = 30 + self.draw(250);
        thread::sleep(Duration::from_millis(pause));
        let index = self.draw(ROUTERS as u64) as usize;
        let router = &self.routers[index];
        let again = || Router::spawn(&self.world.store, &format!("r{index}"));
        match self.draw(12) {
            0 => router.lock().unwrap().signal(Signal::SIGSTOP),
            1 | 2 => router.lock().unwrap().signal(Signal::SIGCONT),
            // Dropping the old process kills it.
            3 => *router.lock().unwrap() = again(),
            4 => router.lock().unwrap().signal(Signal::SIGHUP),
            5 => {
                let mut old = router.lock().unwrap();
                old.signal(Signal::SIGCONT);
                old.signal(Signal::SIGTERM);
                let leaving = std::mem::replace(&mut *old, again());
                drop(old);
                thread::sleep(Duration::from_millis(300));
                drop(leaving);
            }
            6 => {
                let faults = [
                    Fault::Busy,
                    Fault::Silent,
                    Fault::Reset,
                    Fault::Lost,
                    Fault::Slow(Duration::from_millis(300)),
                ];
                let fault = faults[self.draw(5) as usize];
                self.world.store.fail(fault);
            }
            7 => self.world.store.fail(Fault::None),
            8 => self.world.store.forget(),
            9 => {
                self.version += 1;
                let configuration = world::configuration(self.version);
                self.world.store.put("op", "config", &configuration);
            }
            10 => {
                let target = self.draw(3) as usize;
                let state = ["draining", "ready", "ready"][self.draw(3) as usize];
                self.world.apps[target].register(state);
            }
            _ => {
                let modes = [
                    Mode::Good,
                    Mode::Full,
                    Mode::Failing,
                    Mode::Lost,
                    Mode::Mute,
                    Mode::CutAfter(2),
                    Mode::StallAfter(1),
                    Mode::Crossed,
                    Mode::Unsigned,
                ];
                let mode = modes[self.draw(9) as usize];
                let target = self.draw(3) as usize;
                self.world.engines[target].behave(mode);
                self.world.apps[target].behave(mode);
            }
        }
    }

    /// Ends all faults.
    fn heal(&mut self) {
        self.world.store.fail(Fault::None);
        for replica in self.world.engines.iter().chain(&self.world.apps) {
            replica.behave(Mode::Good);
            replica.register("ready");
        }
        for (index, router) in self.routers.iter().enumerate() {
            let mut router = router.lock().unwrap();
            router.signal(Signal::SIGCONT);
            if router.ended().is_some() {
                *router = Router::spawn(&self.world.store, &format!("r{index}"));
            }
        }
    }
}
