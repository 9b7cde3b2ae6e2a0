//! Targets that name how many requests they take of all routers together, behind routers as processes.
// Tests wait by the system's clock.
#![allow(clippy::disallowed_methods)]

mod world;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};
use world::{Caller, FIRST_START_MS, Mode, Replica, Router, World, wait_for};

/// Routers of each test.
const ROUTERS: usize = 5;
/// Time from the first response that names a limit until the limit has to hold.
const SETTLE: Duration = Duration::from_secs(3);

/// Routers before a world, and callers that never stop.
struct Setting {
    world: World,
    routers: Vec<Router>,
}

impl Setting {
    fn open(engines: usize, apps: usize) -> Self {
        let world = World::open(engines, apps);
        for engine in &world.engines {
            engine.pace(2, Duration::from_millis(20));
        }
        let spawn = |index: usize| Router::spawn(&world.store, &format!("r{index}"));
        let routers: Vec<Router> = (0..ROUTERS).map(spawn).collect();
        wait_for("the routers are ready", || {
            routers.iter().all(Router::is_ready)
        });
        Self { world, routers }
    }

    /// Has callers of all routers send requests, 30 a second at each, while something runs.
    fn load(&mut self, route: &str, run: impl FnOnce(&World, &mut [Router])) {
        let stopped = AtomicBool::new(false);
        let addresses: Vec<_> = self.routers.iter().map(|router| router.listen).collect();
        thread::scope(|scope| {
            for (index, address) in addresses.into_iter().enumerate() {
                for caller in 0..3 {
                    let (stopped, route) = (&stopped, route.to_owned());
                    scope.spawn(move || {
                        let mut number = 0;
                        while !stopped.load(Ordering::Relaxed) {
                            number += 1;
                            let name = format!("q{index}-{caller}-{number}");
                            let request = if route == "plan" {
                                Caller::stream(address, &route, &name)
                            } else {
                                Caller::new(address, "POST", &format!("/{route}/x"), &name)
                            };
                            // The router may be gone.
                            drop(request.try_call());
                            thread::sleep(Duration::from_millis(90));
                        }
                    });
                }
            }
            let _stop = Stop(&stopped);
            run(&self.world, &mut self.routers);
        });
    }
}

/// Stops the callers, also when a check fails.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Returns the requests that reached a target within some time, and the most within four seconds of it.
fn reached(target: &Replica, from: Instant, to: Instant) -> (usize, usize) {
    let arrivals = target.arrivals();
    let within = arrivals.iter().filter(|at| (from..to).contains(at));
    let times: Vec<Instant> = within.copied().collect();
    let four = Duration::from_secs(4);
    let counts = times
        .iter()
        .enumerate()
        .map(|(first, start)| times[first..].partition_point(|at| *at < *start + four));
    (times.len(), counts.max().unwrap_or_default())
}

fn allowed(per_s: f64) -> usize {
    (6.0 * per_s + 5.0) as usize
}

#[test]
fn limit_exceeded_by_five_routers() {
    let mut setting = Setting::open(6, 0);
    setting.load("plan", |world, routers| {
        thread::sleep(Duration::from_secs(1));
        let limited = &world.engines[0];
        limited.name_limits(&["4"]);
        let begun = Instant::now();
        thread::sleep(SETTLE);
        let settled = Instant::now();
        thread::sleep(Duration::from_millis(3_500));
        // A router that starts knows nothing.
        routers[0].restart();
        thread::sleep(Duration::from_secs(4));
        limited.name_limits(&[]);
        let ended = Instant::now();
        let (all, most) = reached(limited, settled, ended);
        assert!(
            most <= allowed(4.0),
            "{most} requests in 4 s at a limit of 4"
        );
        let due = 4.0 * (ended - settled).as_secs_f64();
        assert!(
            all as f64 >= due * 0.5,
            "{all} requests, {due:.0} are allowed"
        );
        thread::sleep(Duration::from_secs(3));
        let (all, _) = reached(limited, ended + Duration::from_secs(2), Instant::now());
        assert!(all >= 8, "{all} requests in a second after the limit");
        let lines = routers[1].log().matches("\"target limited\"").count();
        assert!(
            (2..=20).contains(&lines),
            "{lines} lines in {:?}",
            begun.elapsed()
        );
    });
}

#[test]
fn limits_of_all_targets_leave_callers_waiting() {
    let mut setting = Setting::open(0, 3);
    setting.load("book", |world, routers| {
        for app in &world.apps {
            app.name_limits(&["2.5"]);
        }
        thread::sleep(SETTLE);
        let settled = Instant::now();
        let mut refused = 0;
        while settled.elapsed() < Duration::from_secs(5) {
            let answer = Caller::new(routers[0].listen, "POST", "/book/x", "probe").call();
            if answer.status == 503 {
                refused += 1;
                let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
                assert!((0.3..=3.0).contains(&after), "{answer:?}");
                assert!(answer.after < Duration::from_millis(600), "{answer:?}");
            }
            thread::sleep(Duration::from_millis(50));
        }
        assert!(refused > 20, "{refused} refusals");
        let served: usize = world
            .apps
            .iter()
            .map(|app| {
                let (all, most) = reached(app, settled, Instant::now());
                assert!(
                    most <= allowed(2.5),
                    "{most} requests in 4 s at a limit of 2.5"
                );
                all
            })
            .sum();
        let due = 3.0 * 2.5 * settled.elapsed().as_secs_f64();
        assert!(
            served as f64 >= due * 0.7,
            "{served} requests, {due:.0} are allowed"
        );
    });
}

#[test]
fn unreadable_limits_restrict_nothing() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    let app = &world.apps[0];
    let unreadable: [&[&str]; 8] = [
        &["NaN"],
        &["-3"],
        &["1e400"],
        &[""],
        &["inf"],
        &["4,5"],
        &["0", "0"],
        &["none"],
    ];
    let call = || Caller::new(router.listen, "POST", "/book/x", "q").call();
    for values in unreadable {
        app.name_limits(values);
        for _ in 0..10 {
            let answer = call();
            assert_eq!(answer.status, 200, "{values:?}: {answer:?}");
        }
        thread::sleep(Duration::from_millis(150));
    }
    wait_for("log lines", || {
        router.log().contains("target limit unreadable")
    });
    let lines = router.log().matches("target limit unreadable").count();
    assert!(lines <= 20, "{lines} lines");
    assert!(router.log().contains("i-app0"), "lines name the target");
}

#[test]
fn limit_of_a_former_run_outlives_its_restart() {
    let mut setting = Setting::open(0, 1);
    setting.load("book", |world, _| {
        let app = &world.apps[0];
        app.name_limits(&["0.5"]);
        thread::sleep(SETTLE);
        app.name_limits(&[]);
        app.register_run("ready", FIRST_START_MS + 1);
        let restarted = Instant::now();
        thread::sleep(Duration::from_secs(2));
        let (all, _) = reached(app, restarted + Duration::from_millis(500), Instant::now());
        assert!(all >= 30, "{all} requests after the restart");
    });
}

#[test]
fn refusals_name_limits_too() {
    let mut setting = Setting::open(0, 2);
    setting.load("book", |world, _| {
        let app = &world.apps[0];
        app.behave(Mode::Full);
        app.name_limits(&["1"]);
        thread::sleep(SETTLE);
        let settled = Instant::now();
        thread::sleep(Duration::from_millis(4_500));
        let (_, most) = reached(app, settled, Instant::now());
        assert!(
            most <= allowed(1.0),
            "{most} requests in 4 s at a limit of 1"
        );
    });
}
