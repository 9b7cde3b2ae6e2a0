//! Routers behind a balancer, with a proxy on each link: from callers, to the store, to targets, and between
//! routers.

use super::{Mesh, Proxy, Router, World, process::free_address, wait_for};
use nix::sys::signal::Signal;
use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval of the balancer's checks, and how many must fail in a row for a router to get no more
/// connections.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const MAX_MISSES: u32 = 2;
/// Time between SIGTERM and SIGKILL, `grace-s` of [`Router::spawn`].
const GRACE: Duration = Duration::from_secs(8);
/// Time between two looks at a process that is to end.
const POLL: Duration = Duration::from_millis(20);

/// Routers as processes, and all that they reach.
pub(crate) struct Fleet {
    pub(crate) world: World,
    /// Links from callers, one a router.
    pub(crate) fronts: Vec<Proxy>,
    /// Links to the store, one a router.
    pub(crate) stores: Vec<Proxy>,
    /// Links to targets: those of the engines, then those of the apps.
    pub(crate) targets: Vec<Proxy>,
    /// Links between routers.
    pub(crate) mesh: Mesh,
    routers: Vec<Mutex<Router>>,
    /// Routers that the balancer sends new connections to.
    rotation: Vec<AtomicBool>,
}

impl Fleet {
    /// Starts routers and waits until all of them are ready.
    pub(crate) fn open(routers: usize) -> Self {
        let world = World::open(3, 3);
        let replicas = world.engines.iter().chain(&world.apps);
        let targets = replicas.map(|replica| {
            let proxy = Proxy::bind(replica.address());
            replica.list_at(proxy.address);
            proxy
        });
        let targets = targets.collect();
        let stores: Vec<Proxy> = (0..routers)
            .map(|_| Proxy::bind(world.store.address()))
            .collect();
        let peers: Vec<SocketAddr> = (0..routers).map(|_| free_address()).collect();
        let mesh = Mesh::open(&world.store, &peers);
        let started = stores.iter().zip(&peers).enumerate();
        let routers: Vec<Router> = started
            .map(|(index, (store, peer))| {
                Router::spawn_between(store.address, *peer, &format!("r{index}"), &[])
            })
            .collect();
        let fronts = routers.iter().map(|router| Proxy::bind(router.listen));
        let fleet = Self {
            fronts: fronts.collect(),
            rotation: routers.iter().map(|_| AtomicBool::new(true)).collect(),
            routers: routers.into_iter().map(Mutex::new).collect(),
            world,
            stores,
            targets,
            mesh,
        };
        wait_for("all routers are ready", || fleet.is_ready());
        fleet
    }

    pub(crate) fn len(&self) -> usize {
        self.routers.len()
    }

    fn router(&self, index: usize) -> MutexGuard<'_, Router> {
        self.routers[index].lock().unwrap()
    }

    /// Reports whether all routers are ready.
    pub(crate) fn is_ready(&self) -> bool {
        (0..self.len()).all(|index| self.router(index).is_ready())
    }

    /// Sends a signal, unless the process has ended.
    pub(crate) fn signal(&self, index: usize, signal: Signal) {
        let mut router = self.router(index);
        if router.ended().is_none() {
            router.signal(signal);
        }
    }

    /// Tells a router to read its settings again, if it has begun to listen.
    pub(crate) fn reload(&self, index: usize) {
        let mut router = self.router(index);
        if router.ended().is_none() && router.listens() {
            router.signal(Signal::SIGHUP);
        }
    }

    /// Returns the exit code of a router that has ended.
    pub(crate) fn ended(&self, index: usize) -> Option<i32> {
        self.router(index).ended()
    }

    /// Kills a router and starts it again after a pause.
    pub(crate) fn kill(&self, index: usize, pause: Duration) {
        self.signal(index, Signal::SIGKILL);
        thread::sleep(pause);
        self.router(index).restart();
    }

    /// Stops a router as the platform does, and starts it again. Returns the time it took to end,
    /// and its exit code, or `None` if it had to be killed.
    pub(crate) fn stop(&self, index: usize) -> (Duration, Option<i32>) {
        wait_for("the router listens", || {
            let mut router = self.router(index);
            router.listens() || router.ended().is_some()
        });
        self.signal(index, Signal::SIGTERM);
        let start = Instant::now();
        let mut code = None;
        while code.is_none() && start.elapsed() < GRACE {
            thread::sleep(POLL);
            code = self.ended(index);
        }
        let took = start.elapsed();
        self.router(index).restart();
        (took, code)
    }

    /// Checks a router for the balancer until told to stop.
    pub(crate) fn balance(&self, index: usize, stop: &AtomicBool) {
        let health = self.router(index).health;
        let mut misses = 0;
        while !stop.load(Ordering::Relaxed) {
            misses = if Router::is_ready_at(health) {
                0
            } else {
                misses + 1
            };
            self.rotation[index].store(misses < MAX_MISSES, Ordering::Relaxed);
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Returns the router to which the balancer sends a new connection; `draw` is any number.
    pub(crate) fn choose(&self, draw: u64) -> usize {
        let ready = |index: &usize| self.rotation[*index].load(Ordering::Relaxed);
        let mut choices: Vec<usize> = (0..self.len()).filter(ready).collect();
        if choices.len() * 2 < self.len() {
            choices = (0..self.len()).collect();
        }
        choices[draw as usize % choices.len()]
    }

    /// Returns the logs of all routers, each with its name.
    pub(crate) fn logs(&self) -> Vec<(Box<str>, String)> {
        let logs = (0..self.len()).map(|index| {
            let name = format!("r{index}");
            (name.into(), self.router(index).log())
        });
        logs.collect()
    }
}
