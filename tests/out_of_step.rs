//! End-to-end tests of streams that are taken up at a router which the others don't reach, while targets of a new
//! software version (build) join.
// Tests wait by the system's clock.
#![allow(clippy::disallowed_methods)]

mod world;

use nix::sys::signal::Signal;
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use world::{Begun, Fault, Harm, Mesh, Proxy, Router, World, wait_for};

const NEXT_BUILD: &str = "v2";
/// Events of each stream, and the time between two.
const EVENTS: u64 = 40;
const GAP: Duration = Duration::from_millis(20);
/// Engines of the next build, which come first, and of the first one.
const NEXT: usize = 4;
const FIRST: usize = 2;
/// Streams of each test.
const STREAMS: usize = 12;
/// Router at which streams are taken up.
const OUT_OF_STEP: usize = 0;

/// Routers with a proxy on each link: to the store, and between each other.
struct Setting {
    routers: Vec<Router>,
    stores: Vec<Proxy>,
    mesh: Mesh,
    world: World,
}

impl Setting {
    /// Starts routers of one failure domain.
    fn open(routers: usize) -> Self {
        Self::open_in(&vec!["east"; routers])
    }

    /// Starts a router in each failure domain, before engines of the first build; those of the next one aren't listed
    /// yet.
    fn open_in(domains: &[&str]) -> Self {
        let routers = domains.len();
        let world = World::open(NEXT + FIRST, 0);
        for (index, engine) in world.engines.iter().enumerate() {
            engine.pace(EVENTS, GAP);
            if index < NEXT {
                engine.upgrade(NEXT_BUILD);
                engine.unregister();
            }
        }
        let addresses: Vec<SocketAddr> = (0..routers).map(|_| world::free_address()).collect();
        let mesh = Mesh::open(&world.store, &addresses);
        let stores = addresses.iter().map(|_| Proxy::bind(world.store.address()));
        let stores: Vec<Proxy> = stores.collect();
        let spawned = addresses.iter().zip(&stores).enumerate();
        let spawned = spawned.map(|(index, (peer, store))| {
            let name = format!("r{index}");
            Router::spawn_in(domains[index], store.address, *peer, &name, &[])
        });
        let setting = Self {
            routers: spawned.collect(),
            stores,
            mesh,
            world,
        };
        let know_all = |router: &Router| {
            let log = router.log();
            router.is_ready() && log.matches("\"router listed\"").count() >= routers - 1
        };
        wait_for("all routers know each other", || {
            setting.routers.iter().all(know_all)
        });
        // Summaries of all have arrived.
        thread::sleep(Duration::from_millis(300));
        setting
    }

    /// Has the engines of the next build join, and waits until the routers from an index on know.
    fn join_next(&self, first: usize) {
        for engine in &self.world.engines[..NEXT] {
            engine.register("ready");
        }
        let live = format!("\"live\":{},", FIRST + NEXT);
        for router in &self.routers[first..] {
            wait_for("the engines are listed", || router.log().contains(&live));
        }
    }

    /// Begins streams at the routers from an index on.
    fn begin(&self, first: usize) -> Vec<Begun> {
        let addresses: Vec<SocketAddr> = self.routers[first..].iter().map(|r| r.listen).collect();
        let calls = self.world.store.calls();
        let names: Vec<String> = (0..STREAMS)
            .map(|number| format!("q{number}-{calls}"))
            .collect();
        Begun::open_all(&addresses, &names)
    }

    /// Cuts the routers up to an index off from the others and from the store; they still reach each other.
    fn cut_off(&self, count: usize) {
        for router in 0..count {
            self.mesh.cut(router, count..self.routers.len());
            self.stores[router].harm(Harm::Silence);
        }
    }

    /// Takes up streams at a router; returns how many went on, and how many of these went on at another build.
    fn take_up(&self, router: usize, streams: &[Begun]) -> (usize, usize) {
        let addresses = [self.routers[router].listen];
        Begun::take_up_all(streams, &addresses, &[NEXT_BUILD], EVENTS)
    }
}

/// Cuts a router off from the others and from the store, has engines of the next build join, and takes up streams
/// there.
fn joined_at_a_router_cut_off(store: impl Fn(&Proxy)) {
    let setting = Setting::open(4);
    setting.mesh.cut(OUT_OF_STEP, 1..4);
    store(&setting.stores[OUT_OF_STEP]);
    setting.join_next(OUT_OF_STEP + 1);
    let streams = setting.begin(OUT_OF_STEP + 1);
    let next = streams
        .iter()
        .filter(|stream| stream.events.contains(NEXT_BUILD));
    assert!(next.count() >= STREAMS / 4, "streams begin at both builds");
    let (_, joined) = setting.take_up(OUT_OF_STEP, &streams);
    assert_eq!(joined, 0, "of {STREAMS} streams");
}

#[test]
fn streams_joined_at_a_router_that_hears_nothing() {
    joined_at_a_router_cut_off(|store| store.harm(Harm::Silence));
}

#[test]
fn streams_joined_at_a_router_whose_store_resets_connections() {
    joined_at_a_router_cut_off(|store| {
        store.harm(Harm::Refuse);
        store.reset();
    });
}

/// Cuts the routers of one failure domain off together, has engines of the next build join and streams begin at the
/// others, kills these, and takes the streams up at those that are cut off, some time after the cut at the earliest.
fn joined_at_routers_cut_off_together(domains: &[&str], after: Duration) {
    let setting = Setting::open_in(domains);
    let count = domains.iter().filter(|domain| **domain == "west").count();
    setting.cut_off(count);
    let cut = Instant::now();
    setting.join_next(count);
    let streams = setting.begin(count);
    for router in &setting.routers[count..] {
        router.signal(Signal::SIGKILL);
    }
    thread::sleep(after.saturating_sub(cut.elapsed()));
    for router in 0..count {
        let (_, joined) = setting.take_up(router, &streams);
        assert_eq!(joined, 0, "of {STREAMS} streams at router {router}");
    }
}

/// Guards against streams that go on at another build where routers that are cut off hear each other.
#[test]
fn streams_joined_at_two_routers_cut_off_together() {
    joined_at_routers_cut_off_together(&["west", "west", "east"], Duration::ZERO);
}

/// The same where most routers are cut off, and some time after they last heard the others.
#[test]
fn streams_joined_at_three_routers_cut_off_together() {
    let domains = ["west", "west", "west", "east", "south"];
    joined_at_routers_cut_off_together(&domains, Duration::from_millis(350));
}

/// Guards against a fleet that refuses streams of a router that was killed while there is a single build.
#[test]
fn streams_refused_once_their_router_was_killed_with_a_single_build() {
    let setting = Setting::open(3);
    // Nobody is told where they began.
    for router in 1..3 {
        setting.mesh.cut(OUT_OF_STEP, router..router + 1);
    }
    let streams = setting.begin(1);
    setting.routers[1].signal(Signal::SIGKILL);
    setting.mesh.heal();
    setting.routers[2].signal(Signal::SIGKILL);
    assert_eq!(setting.take_up(OUT_OF_STEP, &streams), (STREAMS, 0));
}

#[test]
fn streams_joined_at_a_router_that_stood_still() {
    let setting = Setting::open(4);
    setting.routers[OUT_OF_STEP].signal(Signal::SIGSTOP);
    setting.join_next(OUT_OF_STEP + 1);
    let streams = setting.begin(OUT_OF_STEP + 1);
    setting.routers[OUT_OF_STEP].signal(Signal::SIGCONT);
    let (went_on, joined) = setting.take_up(OUT_OF_STEP, &streams);
    assert_eq!(joined, 0, "of {STREAMS} streams");
    assert!(went_on * 2 >= STREAMS, "{went_on} of {STREAMS} went on");
}

#[test]
fn streams_joined_at_a_router_cut_off_from_the_others_only() {
    let setting = Setting::open(4);
    setting.mesh.cut(OUT_OF_STEP, 1..4);
    setting.join_next(OUT_OF_STEP + 1);
    let streams = setting.begin(OUT_OF_STEP + 1);
    let (_, joined) = setting.take_up(OUT_OF_STEP, &streams);
    assert_eq!(joined, 0, "of {STREAMS} streams");
}

#[test]
fn streams_refused_at_a_router_that_is_back() {
    let setting = Setting::open(4);
    setting.mesh.cut(OUT_OF_STEP, 1..4);
    setting.stores[OUT_OF_STEP].harm(Harm::Silence);
    setting.join_next(OUT_OF_STEP + 1);
    setting.stores[OUT_OF_STEP].harm(Harm::None);
    setting.stores[OUT_OF_STEP].reset();
    setting.mesh.heal();
    thread::sleep(Duration::from_millis(2_500));
    let streams = setting.begin(OUT_OF_STEP + 1);
    assert_eq!(setting.take_up(OUT_OF_STEP, &streams), (STREAMS, 0));
}

#[test]
fn streams_refused_without_the_store() {
    let setting = Setting::open(4);
    let streams = setting.begin(OUT_OF_STEP + 1);
    setting.world.store.fail(Fault::Silent);
    thread::sleep(Duration::from_secs(6));
    let later = setting.begin(OUT_OF_STEP + 1);
    assert_eq!(setting.take_up(OUT_OF_STEP, &streams), (STREAMS, 0));
    assert_eq!(setting.take_up(OUT_OF_STEP, &later), (STREAMS, 0));
    // Also those of a router that is gone.
    let last = setting.begin(OUT_OF_STEP + 1);
    setting.routers[1].signal(Signal::SIGKILL);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(setting.take_up(OUT_OF_STEP, &last), (STREAMS, 0));
}

#[test]
fn streams_refused_at_a_single_router_without_the_store() {
    let setting = Setting::open(1);
    setting.world.store.fail(Fault::Silent);
    thread::sleep(Duration::from_secs(5));
    // It doesn't know the request that began it.
    let mut unknown = setting.begin(OUT_OF_STEP);
    unknown.truncate(1);
    unknown[0].name = "q-unknown".into();
    assert_eq!(setting.take_up(OUT_OF_STEP, &unknown), (1, 0));
}
