//! Targets that leave while a router can't read their list, and those whose entries expire while the store is away.
#![allow(clippy::disallowed_methods)]

mod world;

use nix::sys::signal::Signal;
use std::{
    thread,
    time::{Duration, Instant},
};
use world::{Caller, Fault, Harm, Proxy, Router, World, free_address, wait_for};

/// Time after the platform accepted the departure of a target, until which it may get requests.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after a disturbance until which a router may act on what it knew before.
const WINDOW: Duration = Duration::from_millis(3_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Routers that reach the store through a proxy each, before two targets.
struct Scene {
    world: World,
    links: Vec<Proxy>,
    routers: Vec<Router>,
}

impl Scene {
    fn open() -> Self {
        Self::open_in(&["east"])
    }

    /// Starts a router in each of some failure domains.
    fn open_in(domains: &[&str]) -> Self {
        let world = World::open(0, 2);
        let link = |_: &&str| Proxy::bind(world.store.address());
        let links: Vec<Proxy> = domains.iter().map(link).collect();
        let starts = domains.iter().zip(&links).enumerate();
        let routers = starts.map(|(index, (domain, link))| {
            let name = format!("r{index}");
            Router::spawn_in(domain, link.address, free_address(), &name, &[])
        });
        let routers: Vec<Router> = routers.collect();
        for router in &routers {
            wait_for("the router is ready", || router.is_ready());
            wait_for("both targets are known", || {
                router.log().contains(r#""live":2"#)
            });
        }
        Self {
            world,
            links,
            routers,
        }
    }

    fn cut(&self) {
        self.links.iter().for_each(Proxy::cut);
    }

    fn heal(&self) -> Instant {
        self.links.iter().for_each(|link| link.harm(Harm::None));
        Instant::now()
    }

    /// Has the second target report that it is draining.
    fn drain(&self) -> Instant {
        let leaving = &self.world.apps[1];
        leaving.announce_leaving(true);
        leaving.register("draining");
        Instant::now()
    }

    /// Has the second target leave without a word, in the moment at which its entry is removed.
    fn leave(&self) -> Instant {
        let leaving = &self.world.apps[1];
        leaving.announce_leaving(true);
        leaving.unregister();
        Instant::now()
    }

    /// Sends requests at once, to each router as many, and returns the number of those that were answered.
    fn call(&self, round: &str, count: usize) -> usize {
        let requests = (0..count).flat_map(|index| self.routers.iter().map(move |to| (index, to)));
        let calls = requests.map(|(index, router)| {
            let request = format!("q-{round}-{index}-{}", router.listen);
            let caller = Caller::new(router.listen, "GET", "/look/it", &request);
            thread::spawn(move || caller.call().status == 200)
        });
        let calls: Vec<_> = calls.collect();
        let answered = calls.into_iter().filter_map(|call| call.join().ok());
        answered.filter(|answered| *answered).count()
    }

    /// Sends requests from the moment on at which the departure of the second target binds the router, and returns how many
    /// reached it.
    fn late(&self, disturbed: Instant, removed: Instant) -> usize {
        let bound = (removed + DRAIN).max(disturbed + WINDOW);
        thread::sleep(bound.saturating_duration_since(Instant::now()));
        for round in ["a", "b", "c"] {
            let count = 4 * self.routers.len();
            assert_eq!(self.call(round, 4), count, "round {round}");
            thread::sleep(millis(100));
        }
        let arrivals = self.world.apps[1].arrivals();
        arrivals.into_iter().filter(|at| *at > bound).count()
    }

    /// Cuts all routers off for a time, has a target leave just after that, and returns the number of late requests.
    fn late_after_cut(&self, length: Duration) -> usize {
        self.cut();
        thread::sleep(length);
        let healed = self.heal();
        thread::sleep(millis(300));
        let removed = self.leave();
        self.late(healed, removed)
    }
}

/// Plays a case with each of some times at the same moment; each returns the number of late requests.
fn play(cases: &[u64], case: fn(Duration) -> usize) {
    let plays = cases.iter().map(|time| {
        let time = millis(*time);
        thread::spawn(move || case(time))
    });
    let plays: Vec<_> = plays.collect();
    let late: Vec<usize> = plays.into_iter().map(|play| play.join().unwrap()).collect();
    assert_eq!(late, vec![0; cases.len()], "late requests by case");
}

/// Lengths of cuts, which end at different moments between two calls of the router.
const CUTS: [u64; 12] = [
    300, 900, 1_500, 2_100, 2_500, 2_900, 3_300, 3_700, 4_100, 4_500, 4_900, 5_500,
];

/// Guards against a target that is used for longer than the drain time because its entry was removed just after a cut.
#[test]
fn target_that_leaves_after_a_cut() {
    play(&CUTS, |length| Scene::open().late_after_cut(length));
}

/// The same for a target that reports that it is draining, and whose entry is removed in the end.
#[test]
fn target_that_drains_around_a_cut() {
    play(&CUTS, |length| {
        let scene = Scene::open();
        scene.cut();
        thread::sleep(length / 2);
        let drained = scene.drain();
        thread::sleep(length / 2);
        let healed = scene.heal();
        thread::sleep(millis(200));
        scene.leave();
        scene.late(healed, drained)
    });
}

#[test]
fn target_that_leaves_after_all_routers_were_cut_off() {
    play(&[1_500, 2_500, 3_700, 4_600, 5_500], |length| {
        Scene::open_in(&["east", "east", "west"]).late_after_cut(length)
    });
}

#[test]
fn target_that_leaves_after_two_cuts() {
    play(&[300, 900, 1_500, 2_500, 4_100, 5_500], |length| {
        let scene = Scene::open();
        scene.cut();
        thread::sleep(length);
        scene.heal();
        thread::sleep(millis(300));
        scene.cut();
        thread::sleep(length);
        let healed = scene.heal();
        let removed = scene.leave();
        scene.late(healed, removed)
    });
}

/// The same for a target that leaves while the router is cut off.
#[test]
fn target_that_leaves_during_a_cut() {
    play(&CUTS, |length| {
        let scene = Scene::open();
        scene.cut();
        thread::sleep(length / 2);
        let removed = scene.leave();
        thread::sleep(length / 2);
        scene.late(scene.heal(), removed)
    });
}

/// Guards against reads of the list that wait on one silent connection after the other, with no outage at all.
#[test]
fn target_that_leaves_after_connections_went_silent() {
    play(&[0, 150, 300, 450, 600, 750, 900, 1_050], |pause| {
        let scene = Scene::open();
        thread::sleep(pause);
        scene.links.iter().for_each(Proxy::silence);
        let silent = Instant::now();
        thread::sleep(millis(400));
        let removed = scene.leave();
        scene.late(silent, removed)
    });
}

#[test]
fn target_that_leaves_after_router_stood_still() {
    play(&[500, 1_500, 2_500, 5_500], |length| {
        let scene = Scene::open();
        scene.routers[0].signal(Signal::SIGSTOP);
        thread::sleep(length);
        scene.routers[0].signal(Signal::SIGCONT);
        let woken = Instant::now();
        thread::sleep(millis(300));
        let removed = scene.leave();
        scene.late(woken, removed)
    });
}

/// The router wakes up in the middle of a cut.
#[test]
fn target_that_leaves_while_router_stands_still() {
    play(&[500, 1_500, 2_500, 5_500], |length| {
        let scene = Scene::open();
        scene.cut();
        thread::sleep(length / 4);
        scene.routers[0].signal(Signal::SIGSTOP);
        thread::sleep(length / 4);
        let removed = scene.leave();
        thread::sleep(length / 4);
        scene.routers[0].signal(Signal::SIGCONT);
        thread::sleep(length / 4);
        scene.late(scene.heal(), removed)
    });
}

/// The store itself was away, and closed connections.
#[test]
fn target_that_leaves_after_an_outage_of_the_store() {
    play(&CUTS, |length| {
        let scene = Scene::open();
        scene.world.store.fail(Fault::Reset);
        thread::sleep(length);
        scene.world.store.fail(Fault::None);
        let returned = Instant::now();
        thread::sleep(millis(300));
        let removed = scene.leave();
        scene.late(returned, removed)
    });
}

/// Plays an outage of the store in which the entries of both targets expire. One registers again shortly before the two
/// seconds are over that it has for it; the other one is gone.
fn play_outage(fault: Fault, is_cut_off: bool, length: Duration) -> usize {
    let scene = Scene::open();
    if is_cut_off {
        scene.cut();
    }
    scene.world.store.fail(fault);
    thread::sleep(length);
    for app in &scene.world.apps {
        app.unregister();
    }
    scene.world.store.fail(Fault::None);
    let returned = scene.heal();
    let mut served = 0;
    for round in 0..18 {
        thread::sleep((returned + millis(100 * round)).saturating_duration_since(Instant::now()));
        served += scene.call(&format!("away-{round}"), 1);
    }
    assert_eq!(served, 18, "requests served while targets register again");
    scene.world.apps[0].register("ready");
    scene.late(returned, returned)
}

#[test]
fn entries_that_expired_while_store_was_away() {
    play(&[3_700, 4_300, 5_500], |length| {
        play_outage(Fault::Reset, false, length)
    });
}

#[test]
fn entries_that_expired_while_store_was_silent() {
    play(&[3_700, 4_300, 5_500], |length| {
        play_outage(Fault::Silent, false, length)
    });
}

#[test]
fn entries_that_expired_while_router_was_cut_off_too() {
    play(&[3_700, 4_300, 5_500], |length| {
        play_outage(Fault::Reset, true, length)
    });
}

/// Guards against requests that reach a target after a cut though they were given up long before: the system sends what the
/// cut has held up.
#[test]
fn request_given_up_during_a_cut_never_arrives() {
    let world = World::open(0, 1);
    let (app, link) = (&world.apps[0], Proxy::bind(world.apps[0].address()));
    app.list_at(link.address);
    let router = Router::spawn_at(world.store.address(), "r1", &[]);
    let call = |route: &str, deadline: &str| {
        let path = format!("/{route}/it");
        let caller = Caller::new(
            router.listen,
            "POST",
            &path,
            &format!("q-{route}-{deadline}"),
        );
        caller.with("x-marlrun-deadline-ms", deadline).call().status
    };
    wait_for("the router is ready", || router.is_ready());
    wait_for("the target serves", || call("look", "900") == 200);
    link.harm(Harm::Silence);
    let before = app.arrivals().len();
    let statuses = [("look", "300"), ("book", "400"), ("book", "500")];
    let statuses = statuses.map(|(route, deadline)| call(route, deadline));
    assert_eq!(statuses, [504; 3]);
    link.harm(Harm::None);
    wait_for("the target serves again", || call("look", "1000") == 200);
    thread::sleep(millis(500));
    let requests = app.runs().into_iter().skip(before).map(|run| run.request);
    let requests: Vec<String> = requests.collect();
    assert!(
        requests.iter().all(|request| request == "q-look-1000"),
        "{requests:?}"
    );
}
