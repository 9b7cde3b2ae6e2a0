//! Routers as processes while the platform's store comes back from a copy that is some seconds old.

// The tests wait by the system's clock.
#![allow(clippy::disallowed_methods)]

mod world;

use marlrun::{
    gateway::Incumbent,
    platform,
    unit::{Era, Span},
    watch::{Event, Position, Row},
};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::{
    thread,
    time::{Duration, Instant},
};
use world::{Caller, Fault, OTHER_KEY, Replica, Router, World, wait_for};

/// Configuration 5: one route has another prefix, and one workspace has lost its key.
fn newer() -> Value {
    let mut newer = world::configuration(5);
    newer["routes"][3]["prefix"] = "/seek/".into();
    newer["tenants"][1]["api-keys"] = json!([]);
    newer
}

fn status(router: &Router, path: &str) -> u16 {
    Caller::new(router.listen, "GET", path, "q").call().status
}

fn status_of_revoked_key(router: &Router) -> u16 {
    let caller = Caller::new(router.listen, "GET", "/seek/a", "q");
    let caller = caller.with("authorization", &format!("Bearer {OTHER_KEY}"));
    caller.call().status
}

/// Waits until a router has read a list of the store's present era.
fn wait_for_era(world: &World, router: &Router, list: &str) {
    let (list, era) = (json!(list), json!(world.store.era()));
    wait_for("the router reads the restored list", || {
        let log = router.log();
        let mut lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines.any(|line: Value| {
            line["msg"] == "store restored" && line["list"] == list && line["era"] == era
        })
    });
}

/// Writes rows that no router uses until the version is past all versions seen before the restore,
/// and drops the history of changes.
fn pass_versions(world: &World) {
    for number in 0..50 {
        world.store.put("status", "noise", &json!(number));
    }
    world.store.forget();
}

#[test]
fn configuration_newer_than_copy() {
    let world = World::open(0, 1);
    world.store.put("op", "config", &world::configuration(3));
    let router = Router::ready(&world.store, "r1");
    wait_for("the key is used", || status_of_revoked_key(&router) == 404);
    world.store.copy();
    world.store.put("op", "config", &newer());
    wait_for("version 5", || status(&router, "/seek/a") == 200);
    world.store.restore();
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        assert_eq!(status(&router, "/seek/a"), 200);
        assert_eq!(status(&router, "/look/a"), 404);
        assert_eq!(status_of_revoked_key(&router), 401);
    }
    let late = Router::ready(&world.store, "r2");
    wait_for("version 5 at a router that starts", || {
        status(&late, "/seek/a") == 200 && status_of_revoked_key(&late) == 401
    });
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(status(&late, "/look/a"), 404);
    let mut next = newer();
    next["version"] = 6.into();
    next["routes"][3]["prefix"] = "/find/".into();
    world.store.put("op", "config", &next);
    for router in [&router, &late] {
        wait_for("version 6", || status(router, "/find/a") == 200);
    }
    wait_for_era(&world, &router, "configuration");
}

/// All targets of the stand-in are in `east`. A router that starts during an evacuation sends nothing there, one that
/// can't read the store neither, and a copy from before the evacuation doesn't end it.
#[test]
fn evacuation_at_start_without_store_and_missing_from_copy() {
    let world = World::open(0, 1);
    let runs = || world.apps[0].runs().len();
    world.store.put("op", "evacuate/east", &json!({}));
    let router = Router::ready(&world.store, "r1");
    assert_eq!(
        (status(&router, "/look/a"), runs()),
        (503, 0),
        "at the start"
    );
    world.store.remove("op", "evacuate/east");
    wait_for("the domain is in use", || status(&router, "/look/a") == 200);
    world.store.copy();
    // The value can't be read, and bars the domain all the same.
    let unreadable = b"?".to_vec();
    world.store.put_bytes("op", "evacuate/east", unreadable);
    wait_for("the domain is evacuated", || {
        status(&router, "/look/a") == 503
    });
    let before = runs();
    for fault in [Fault::Reset, Fault::None] {
        world.store.fail(fault);
        let end = Instant::now() + Duration::from_millis(1_500);
        while Instant::now() < end {
            assert_eq!(status(&router, "/look/a"), 503, "{fault:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
    world.store.restore();
    wait_for_era(&world, &router, "configuration");
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        assert_eq!(status(&router, "/look/a"), 503, "the copy lacks the row");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(runs(), before);
    world.store.put("op", "evacuate/east", &json!({}));
    world.store.remove("op", "evacuate/east");
    wait_for("the domain is in use", || status(&router, "/look/a") == 200);
    let log = router.log();
    for message in [
        "failure domain evacuated",
        "failure domain in use again",
        "evacuation unclear",
        "evacuation missing from restored store",
    ] {
        assert!(log.contains(message), "{message}");
    }
}

#[test]
fn target_missing_from_copy() {
    let world = World::open(0, 0);
    let router = Router::ready(&world.store, "r1");
    world.store.copy();
    let target = Replica::bind(&world.store, "app", "i-late");
    wait_for("the target is used", || status(&router, "/look/a") == 200);
    world.store.restore();
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        assert_eq!(status(&router, "/look/a"), 200, "it may register again");
        thread::sleep(Duration::from_millis(20));
    }
    wait_for("the target is gone", || status(&router, "/look/a") == 503);
    target.register("ready");
    wait_for("the target is used", || status(&router, "/look/a") == 200);
}

#[test]
fn target_registered_again() {
    let world = World::open(0, 0);
    let router = Router::ready(&world.store, "r1");
    world.store.copy();
    let target = Replica::bind(&world.store, "app", "i-late");
    wait_for("the target is used", || status(&router, "/look/a") == 200);
    world.store.restore();
    thread::sleep(Duration::from_millis(700));
    target.register("ready");
    let end = Instant::now() + Duration::from_millis(3_500);
    while Instant::now() < end {
        assert_eq!(status(&router, "/look/a"), 200);
        thread::sleep(Duration::from_millis(20));
    }
    target.register("draining");
    wait_for("the target has left", || status(&router, "/look/a") == 503);
    wait_for_era(&world, &router, "targets");
}

#[test]
fn target_that_left_in_copy() {
    type Leave = fn(&Replica);
    let ways: [Leave; 2] = [|target| target.register("draining"), Replica::unregister];
    for leave in ways {
        let world = World::open(0, 1);
        let router = Router::ready(&world.store, "r1");
        assert_eq!(status(&router, "/look/a"), 200);
        world.store.copy();
        leave(&world.apps[0]);
        wait_for("the target has left", || status(&router, "/look/a") == 503);
        let runs = world.apps[0].runs().len();
        world.store.restore();
        pass_versions(&world);
        let end = Instant::now() + Duration::from_millis(4_000);
        while Instant::now() < end {
            assert_eq!(status(&router, "/look/a"), 503, "its entry is an old one");
            thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(world.apps[0].runs().len(), runs);
        wait_for_era(&world, &router, "targets");
        world.apps[0].register("ready");
        wait_for("the target is used", || status(&router, "/look/a") == 200);
    }
}

#[test]
fn registration_missing_from_copy() {
    let world = World::open(0, 1);
    world.store.copy();
    let router = Router::ready(&world.store, "r1");
    let registered = || world.store.get("routers", "r1").is_some();
    wait_for("the router is registered", registered);
    world.store.restore();
    assert!(!registered());
    wait_for("the router is registered again", registered);
    wait_for_era(&world, &router, "routers");
    let page = router.page("/metrics").unwrap();
    let restores = "marlrun_store_restores_total{list=\"routers\"} 1";
    assert!(page.contains(restores), "{page}");
}

#[test]
fn registration_of_stopping_router() {
    for in_copy in [true, false] {
        let world = World::open(1, 1);
        if !in_copy {
            world.store.copy();
        }
        let mut router = Router::ready(&world.store, "r1");
        let registered = || world.store.get("routers", "r1").is_some();
        wait_for("the router is registered", registered);
        if in_copy {
            world.store.copy();
        }
        world.engines[0].pace(50, Duration::from_millis(60));
        let listen = router.listen;
        let stream = thread::spawn(move || Caller::stream(listen, "plan", "q1").call());
        wait_for("the stream runs", || world.engines[0].running() == 1);
        router.signal(Signal::SIGTERM);
        wait_for("the router is removed", || !registered());
        world.store.restore();
        assert_eq!(registered(), in_copy);
        wait_for("the router is removed again", || !registered());
        assert!(stream.join().unwrap().whole);
        wait_for("the router ends", || router.ended() == Some(0));
        assert!(!registered());
    }
}

#[test]
fn restore_after_outage() {
    for fault in [Fault::Busy, Fault::Reset, Fault::Silent] {
        let world = World::open(0, 1);
        let router = Router::ready(&world.store, "r1");
        world.store.copy();
        world.store.put("op", "config", &newer());
        wait_for("version 5", || status(&router, "/seek/a") == 200);
        world.store.fail(fault);
        thread::sleep(Duration::from_millis(500));
        world.store.restore();
        world.store.fail(Fault::None);
        assert_eq!(status(&router, "/seek/a"), 200, "after {fault:?}");
        assert_eq!(status_of_revoked_key(&router), 401);
        let mut next = newer();
        next["version"] = 6.into();
        next["routes"][3]["prefix"] = "/find/".into();
        world.store.put("op", "config", &next);
        wait_for("version 6", || status(&router, "/find/a") == 200);
        wait_for_era(&world, &router, "configuration");
        wait_for_era(&world, &router, "targets");
    }
}

#[test]
fn restores_in_a_row() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    world.store.copy();
    world.store.put("op", "config", &newer());
    wait_for("version 5", || status(&router, "/seek/a") == 200);
    for _ in 0..5 {
        world.store.restore();
        pass_versions(&world);
        thread::sleep(Duration::from_millis(60));
    }
    wait_for_era(&world, &router, "configuration");
    wait_for_era(&world, &router, "targets");
    assert_eq!(status(&router, "/seek/a"), 200);
    wait_for("the router is registered", || {
        world.store.get("routers", "r1").is_some()
    });
}

#[test]
fn era_misstated() {
    for era in [
        world::Era::Absent,
        world::Era::Other(1),
        world::Era::Other(0),
    ] {
        let world = World::open(0, 2);
        world.store.copy();
        world.store.restore();
        let router = Router::ready(&world.store, "r1");
        for version in 2..6 {
            world.store.misstate(era);
            let mut configuration = world::configuration(version);
            configuration["routes"][3]["prefix"] = format!("/look{version}/").into();
            world.store.put("op", "config", &configuration);
            world.apps[0].register("ready");
            let path = format!("/look{version}/a");
            wait_for("the new version", || status(&router, &path) == 200);
            wait_for("the misstated answer", || !world.store.misstates());
        }
        let end = Instant::now() + Duration::from_millis(500);
        while Instant::now() < end {
            assert_eq!(status(&router, "/look5/a"), 200);
        }
        assert!(!router.log().contains("store restored"), "after {era:?}");
    }
}

fn row(key: &str, value: &Value) -> Row {
    Row {
        key: key.into(),
        value: Some(value.to_string().into_bytes()),
    }
}

fn whole(era: u64, entries: Vec<Row>) -> Event<Row> {
    let position = Position {
        era: Era(era),
        version: 9,
    };
    Event::Full {
        entries,
        position,
        age: Span(0),
    }
}

fn entries(event: Event<Row>) -> Vec<Row> {
    match event {
        Event::Full { entries, .. } => entries,
        other => panic!("{other:?}"),
    }
}

#[test]
fn configuration_in_served_list() {
    let decode = |row: Row| {
        let decoded = platform::decode_configuration(&row.value?);
        Some(decoded.map(Into::into).map_err(|e| e.to_string().into()))
    };
    let mut incumbent = Incumbent::default();
    let newest = vec![row("config", &newer()), row("other", &json!(1))];
    let mut event = whole(1, newest.clone());
    assert_eq!(incumbent.reconcile(&mut event, decode), 0);
    assert_eq!(entries(event), newest);
    let older = row("config", &world::configuration(3));
    let mut event = whole(2, vec![older, newest[1].clone()]);
    assert_eq!(incumbent.reconcile(&mut event, decode), 1);
    assert_eq!(entries(event), newest, "an older one is replaced");
    let mut event = whole(3, Vec::new());
    assert_eq!(incumbent.reconcile(&mut event, decode), 1);
    assert_eq!(entries(event), newest[..1], "a missing one is added");
    let newest = vec![row("config", &world::configuration(6))];
    let mut event = whole(3, newest.clone());
    assert_eq!(incumbent.reconcile(&mut event, decode), 0);
    assert_eq!(entries(event), newest);
}

/// Interval of the writes of a target that change nothing but their number.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Waits while some targets write.
fn beat(targets: &[&Replica], time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        targets.iter().for_each(|target| target.beat());
        thread::sleep(HEARTBEAT.min(end.saturating_duration_since(Instant::now())));
    }
}

/// Returns the number of targets that a router uses.
fn live_targets(router: &Router) -> u64 {
    let log = router.log();
    let lines = log.lines().rev();
    let mut lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let changed = lines.find(|line| line["msg"] == "targets changed");
    changed.and_then(|line| line["live"].as_u64()).unwrap_or(0)
}

/// Sends requests to each router at once, and returns how many of each reach a target.
fn requests_at(target: &Replica, routers: &[Router]) -> Vec<usize> {
    let requests = routers.iter().map(|router| {
        let before = target.arrivals().len();
        thread::scope(|scope| {
            for _ in 0..6 {
                scope.spawn(|| assert_eq!(status(router, "/look/a"), 200));
            }
        });
        target.arrivals().len() - before
    });
    requests.collect()
}

/// Guards against a copied entry that counts as a sign of life because the target wrote after its last visible change: the
/// target left, and some routers start before and after the store comes back.
#[test]
fn target_that_wrote_before_it_left() {
    for (age, away) in [(500, 0), (2_000, 1_200)] {
        let world = World::open(0, 3);
        let [leaving, first, second] = &world.apps[..] else {
            panic!("three targets");
        };
        let mut routers = vec![
            Router::ready(&world.store, "r1"),
            Router::ready(&world.store, "r2"),
        ];
        beat(&[leaving, first, second], 3 * HEARTBEAT);
        world.store.copy();
        beat(&[leaving, first, second], Duration::from_millis(age));
        leaving.unregister();
        beat(&[first, second], Duration::from_millis(300));
        routers.push(Router::ready(&world.store, "r3"));
        if away > 0 {
            world.store.fail(Fault::Reset);
            thread::sleep(Duration::from_millis(away));
        }
        world.store.restore();
        world.store.fail(Fault::None);
        let returned = Instant::now();
        routers.push(Router::ready(&world.store, "r4"));
        // A router that has just started is bound later.
        let bound = returned.elapsed() + Duration::from_millis(3_000);
        beat(&[first, second], bound - returned.elapsed());
        assert_eq!(requests_at(leaving, &routers), [0; 4]);
        // It wasn't gone: the entry counts again once it writes.
        let begun = Instant::now();
        while !routers.iter().all(|router| live_targets(router) == 3) {
            beat(&[leaving, first, second], HEARTBEAT);
            let waited = begun.elapsed();
            assert!(waited < Duration::from_millis(3_500), "{waited:?}");
        }
    }
}

/// Targets that can't write for a while, as all others, aren't taken for gone.
#[test]
fn targets_that_do_not_write_after_restore() {
    let world = World::open(0, 2);
    let router = Router::ready(&world.store, "r1");
    world.store.copy();
    world.store.restore();
    thread::sleep(Duration::from_millis(3_000));
    let routers = [router];
    for app in &world.apps {
        assert_ne!(requests_at(app, &routers), [0]);
    }
}
