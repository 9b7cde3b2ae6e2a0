//! Machines are lost for good, one after the other, and others take their place.

use crate::{
    Setting,
    router::Router,
    store::Store,
    streams::{self, Outcome},
};
use std::{io, net::SocketAddr, thread, time::Duration};

const ZONES: [&str; 2] = ["vake", "didube"];
const PER_ZONE: usize = 2;
/// Machines of each zone that are lost.
const LOST_PER_ZONE: usize = 7;
/// Time between two losses.
const PAUSE: Duration = Duration::from_millis(1_000);
const GRACE: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(12);

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::open(record)?;
    streams::configure(&store, streams::SLOTS);
    let _replicas = streams::start_replicas(setting, &store, ZONES)?;
    let start = |zone: &str, number: usize| {
        let name = format!("front-{zone}-{number}");
        Router::start(&setting.folder, record, (&name, zone), store.address)
    };
    let mut fleets: [Vec<Router>; 2] = [Vec::new(), Vec::new()];
    for number in 1..=PER_ZONE {
        for (zone, fleet) in ZONES.iter().zip(&mut fleets) {
            fleet.push(start(zone, number)?);
        }
    }
    thread::sleep(Duration::from_secs(3));
    for number in 1..=LOST_PER_ZONE {
        for (zone, fleet) in ZONES.iter().zip(&mut fleets) {
            let mut machine = fleet.remove(0);
            if setting.trouble {
                machine.kill()?;
            } else {
                // It leaves as planned; another one waits in its place meanwhile.
                thread::spawn(move || machine.stop(GRACE));
            }
            let machine = start(zone, PER_ZONE + number)?;
            machine.wait_ready()?;
            fleet.push(machine);
            thread::sleep(PAUSE);
        }
    }
    thread::sleep(CALM);
    record.line(&format!("routers listed: {:?}", store.keys("routers")));
    let addresses =
        |fleet: &[Router]| -> Vec<SocketAddr> { fleet.iter().map(|r| r.front).collect() };
    let [lost, stay] = &mut fleets;
    let outcome: &'static Outcome = Box::leak(Box::default());
    let running = streams::begin(setting, &addresses(lost), &addresses(stay), outcome);
    thread::sleep(Duration::from_millis(1_000));
    if setting.trouble || std::env::var("KILL").is_ok() {
        for machine in lost {
            machine.kill()?;
        }
    }
    let new = streams::begin_new(setting, &addresses(stay), outcome);
    streams::join(running);
    streams::join(new);
    Ok(outcome.holds(setting))
}
