//! Open connections that go silent for good, without an end, while new ones work.
#![allow(clippy::disallowed_methods)]

mod world;

use futures::future::join_all;
use marlrun::{mirror, platform, unit::Span, upstream, watch::Source as _};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use world::{Caller, Proxy, Router, World, configuration, free_address, wait_for};

/// Time within which a change of the configuration is in force.
const CONFIG: Duration = Duration::from_millis(2_000);
/// Time after the silence from which on it must be.
const WINDOW: Duration = Duration::from_millis(3_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn call(router: &Router, request: &str) -> u16 {
    let caller = Caller::new(router.listen, "GET", "/look/it", request);
    let caller = caller.with("x-marlrun-deadline-ms", "700");
    caller.call().status
}

/// Numbers of idle connections.
const COUNTS: [usize; 3] = [1, 5, 20];

/// Guards against requests to a target that each wait on another connection of the pool.
#[test]
fn connections_to_a_target() {
    for count in COUNTS {
        let world = World::open(0, 1);
        let link = Proxy::bind(world.apps[0].address());
        world.apps[0].list_at(link.address);
        let router = Router::ready(&world.store, "r1");
        wait_for("the target serves", || call(&router, "q-first") == 200);
        thread::scope(|scope| {
            for index in 0..count {
                let router = &router;
                scope.spawn(move || assert_eq!(call(router, &format!("q-open-{index}")), 200));
            }
        });
        link.silence();
        assert_eq!(call(&router, "q-silent"), 504);
        for index in 0..30 {
            let status = call(&router, &format!("q-after-{index}"));
            assert_eq!(status, 200, "request {index} after {count} connections");
        }
    }
}

/// Guards against reads of the store's tables that each wait on another connection of the pool.
#[tokio::test]
async fn connections_to_the_store() {
    for count in COUNTS {
        let world = World::open(0, 1);
        let link = Proxy::bind(world.store.address());
        let store = platform::Store::open(link.address, Span::from_millis(300));
        let reads = (0..count).map(|_| store.read_table("servers"));
        for read in join_all(reads).await {
            read.unwrap();
        }
        link.silence();
        assert!(store.read_table("servers").await.is_err());
        let page = store.read_table("servers").await;
        assert!(page.is_ok(), "{count} connections: {page:?}");
    }
}

/// Guards against reads of another router's list that each wait on another connection of the pool.
#[tokio::test]
async fn connections_to_another_router() {
    let world = World::open(0, 1);
    let router = Router::ready(&world.store, "r1");
    wait_for("the target is listed", || call(&router, "q-first") == 200);
    for count in COUNTS {
        let link = Proxy::bind(router.peer);
        let peers = Arc::<mirror::Peers>::default();
        peers.set(vec![link.address], Vec::new());
        let nowhere = platform::Store::open(free_address(), Span::from_millis(300));
        let nowhere = Arc::new(platform::Table::open(nowhere, "servers"));
        let (pool, max_age) = (upstream::Pool::default(), Span::from_secs(10));
        let source = mirror::Source::new("targets", nowhere, pool, peers, max_age);
        let reads = (0..count).map(|_| source.read());
        for read in join_all(reads).await {
            read.unwrap();
        }
        link.silence();
        assert!(source.read().await.is_err());
        let page = source.read().await;
        assert!(page.is_ok(), "{count} connections: {page:?}");
    }
}

/// Guards against a configuration that is in force late at routers that read it from each other.
#[test]
fn connections_to_the_store_before_a_change() {
    let rounds = (0..8).map(|round| {
        thread::spawn(move || {
            let world = World::open(0, 1);
            let links = [0; 3].map(|_| Proxy::bind(world.store.address()));
            let routers = links.each_ref().map(|link| {
                let name = format!("r{}", link.address.port());
                Router::spawn_at(link.address, &name, &[])
            });
            for router in &routers {
                wait_for("the router is ready", || router.is_ready());
            }
            thread::sleep(millis(1_000 + 150 * round));
            links.iter().for_each(Proxy::silence);
            let silent = Instant::now();
            thread::sleep(millis(900));
            let mut next = configuration(2);
            next["routes"][3]["prefix"] = "/seek/".into();
            world.store.put("op", "config", &next);
            let bound = (Instant::now() + CONFIG).max(silent + WINDOW);
            thread::sleep(bound - Instant::now());
            routers.each_ref().map(|router| call(router, "q-late"))
        })
    });
    let rounds: Vec<_> = rounds.collect();
    let statuses = rounds.into_iter().map(|round| round.join().unwrap());
    let statuses: Vec<[u16; 3]> = statuses.collect();
    assert_eq!(statuses, [[404; 3]; 8], "the route was moved");
}
