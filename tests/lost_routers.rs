//! End-to-end tests of fleets whose list of routers has entries of routers that are gone.
// Tests wait by the system's clock.
#![allow(clippy::disallowed_methods)]

mod world;

use nix::sys::signal::Signal;
use serde_json::json;
use std::{net::SocketAddr, thread, time::Duration};
use world::{Begun, Mesh, Proxy, Router, World, free_address, wait_for, wait_within};

const NEXT_BUILD: &str = "v2";
/// Events of each stream, and the time between two.
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(25);
const STREAMS: usize = 12;
/// Time within which entries of lost routers are removed: ten seconds of silence, five for an answer, and some for the
/// list to reach all.
const REMOVAL_TIME: Duration = Duration::from_secs(25);
const DOMAINS: [&str; 2] = ["east", "west"];

/// Returns engines of two builds.
fn open_world() -> World {
    let world = World::open(6, 0);
    for (index, engine) in world.engines.iter().enumerate() {
        engine.pace(EVENTS, GAP);
        if index % 2 == 0 {
            engine.upgrade(NEXT_BUILD);
        }
    }
    for engine in &world.engines {
        engine.register("ready");
    }
    world
}

/// Lists a router that was lost without a trace: nothing is at its address.
fn list_lost(world: &World, name: &str, domain: &str) {
    let entry = json!({
        "domain": domain, "peer": free_address().to_string(), "millicores": 500,
        "answers_probes": true,
    });
    world.store.put("routers", name, &entry);
}

/// Starts a router in a failure domain.
fn start(world: &World, domain: &str, name: &str) -> Router {
    let store = world.store.address();
    let router = Router::spawn_in(domain, store, free_address(), name, &[]);
    wait_for("the router is ready", || router.is_ready());
    router
}

/// Begins streams at the routers of one failure domain, kills these, and takes the streams up at those of the other;
/// returns how many went on.
fn move_streams(lost: &[Router], stay: &[Router], tag: &str) -> usize {
    let addresses = |routers: &[Router]| routers.iter().map(|r| r.listen).collect::<Vec<_>>();
    let names: Vec<String> = (0..STREAMS)
        .map(|number| format!("q{number}-{tag}"))
        .collect();
    let begun = Begun::open_all(&addresses(lost), &names);
    thread::sleep(Duration::from_millis(300));
    for router in lost {
        router.signal(Signal::SIGKILL);
    }
    let (went_on, joined) = Begun::take_up_all(&begun, &addresses(stay), &[NEXT_BUILD], EVENTS);
    assert_eq!(joined, 0, "of {STREAMS} streams");
    went_on
}

/// Starts two routers in each failure domain while a number of others are listed that are gone, and returns how many
/// streams go on once one of the domains is lost.
fn streams_beside_lost_routers(count: usize, name: impl Fn(usize) -> String) -> usize {
    let world = open_world();
    for number in 0..count {
        list_lost(&world, &name(number), DOMAINS[number % DOMAINS.len()]);
    }
    let fleets = DOMAINS.map(|domain| {
        let names = (1..=2).map(|number| format!("r-{domain}-{number}"));
        names
            .map(|name| start(&world, domain, &name))
            .collect::<Vec<_>>()
    });
    thread::sleep(Duration::from_secs(4));
    move_streams(&fleets[0], &fleets[1], "lost")
}

/// Guards against failure domains that no longer hear each other once routers that are gone rank as their leaders.
#[test]
fn streams_refused_beside_entries_of_lost_routers() {
    let went_on = streams_beside_lost_routers(14, |number| format!("front-{number}"));
    assert!(went_on * 2 >= STREAMS, "{went_on} of {STREAMS} went on");
}

/// The same after a month of losses.
#[test]
fn streams_refused_beside_entries_of_many_lost_routers() {
    let went_on = streams_beside_lost_routers(150, |number| format!("vm-{:x}", number * 7919));
    assert!(went_on * 2 >= STREAMS, "{went_on} of {STREAMS} went on");
}

/// The same for routers that are lost and replaced while the fleet runs.
#[test]
fn streams_refused_once_routers_were_replaced() {
    let world = open_world();
    let mut fleets = DOMAINS.map(|domain| vec![start(&world, domain, &format!("r-{domain}-0"))]);
    for number in 1..=8 {
        for (domain, fleet) in DOMAINS.iter().zip(&mut fleets) {
            fleet.push(start(&world, domain, &format!("r-{domain}-{number}")));
            if number > 1 {
                fleet.remove(0).signal(Signal::SIGKILL);
            }
        }
    }
    thread::sleep(Duration::from_secs(3));
    let went_on = move_streams(&fleets[0], &fleets[1], "replaced");
    assert!(went_on * 2 >= STREAMS, "{went_on} of {STREAMS} went on");
}

/// Guards against entries of lost routers that stay in the list for good, and against the removal of others.
#[test]
fn entry_of_a_lost_router_stays_listed() {
    let world = open_world();
    list_lost(&world, "gone", "east");
    list_lost(&world, "elsewhere", "north");
    let (one, two) = (start(&world, "east", "r1"), start(&world, "west", "r2"));
    let frozen = start(&world, "west", "r3");
    let lost = start(&world, "east", "r4");
    lost.signal(Signal::SIGKILL);
    thread::sleep(Duration::from_secs(2));
    frozen.signal(Signal::SIGSTOP);
    let listed = || world.store.keys("routers");
    wait_within(REMOVAL_TIME, "entries of lost routers are removed", || {
        listed() == ["r1", "r2"]
    });
    frozen.signal(Signal::SIGCONT);
    wait_for("a router that was away is listed again", || {
        listed() == ["r1", "r2", "r3"]
    });
    drop((one, two));
}

/// Guards against a router that hears no other and takes these for lost.
#[test]
fn entries_removed_by_a_router_that_is_cut_off() {
    let world = open_world();
    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let mesh = Mesh::open(&world.store, &addresses);
    let store = Proxy::bind(world.store.address());
    let routers = addresses.iter().enumerate().map(|(index, peer)| {
        let name = format!("r{index}");
        Router::spawn_in("east", store.address, *peer, &name, &[])
    });
    let routers: Vec<Router> = routers.collect();
    for router in &routers {
        wait_for("the router is ready", || router.is_ready());
    }
    thread::sleep(Duration::from_secs(1));
    mesh.cut(0, 1..3);
    let listed = || world.store.keys("routers");
    for _ in 0..200 {
        assert_eq!(listed(), ["r0", "r1", "r2"]);
        thread::sleep(Duration::from_millis(100));
    }
    let log = routers[0].log();
    assert!(log.contains("\"router entry doubted\""), "{log}");
    assert!(!log.contains("entry of a lost router removed"), "{log}");
}
