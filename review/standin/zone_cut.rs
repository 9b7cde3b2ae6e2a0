//! A zone is cut off from the others and from the store while a replica of a new software version joins in another
//! zone, whose machine is then killed.

use crate::{
    Setting, http,
    mesh::{self, Mesh},
    replica::Replica,
    router::Router,
    store::Store,
    streams::{self, Outcome, PACE},
};
use std::{io, thread, time::Duration};

/// The zone that is cut off, with two machines, and another one.
const CUT_ZONE: &str = "didube";
const ZONE: &str = "vake";
/// Time from the cut until the replica joins, until streams begin, and until their machine is killed.
const JOIN: Duration = Duration::from_millis(100);
const BEGIN: Duration = Duration::from_millis(400);
const KILL: Duration = Duration::from_millis(300);

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::open(record)?;
    streams::configure(&store, streams::SLOTS);
    let replica = |id: &str, version: &str, zone: &str| {
        Replica::start(&store, record, (id, "llm", version, zone), PACE, None)
    };
    let _old = (
        replica("i-old1", "v1", CUT_ZONE)?,
        replica("i-old2", "v1", CUT_ZONE)?,
    );
    let mesh = Mesh::default();
    let start = |number: usize, zone: &str| {
        let name = format!("front-{zone}-{number}");
        let is_cut = zone == CUT_ZONE;
        let own_store = match is_cut {
            true => mesh::proxy(store.address, mesh.link())?,
            false => store.address,
        };
        let peer = http::free_address()?;
        store.alias(peer, mesh.add(peer, zone, !is_cut)?);
        Router::start_at(&setting.folder, record, (&name, zone), own_store, peer)
    };
    let mut whole = start(1, ZONE)?;
    let cut = [start(1, CUT_ZONE)?, start(2, CUT_ZONE)?];
    for router in cut.iter().chain([&whole]) {
        router.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(8));
    if setting.trouble {
        record.line(&format!("{CUT_ZONE} is cut off"));
        mesh.set_cut(true);
    }
    thread::sleep(JOIN);
    record.line("a replica of v2 joins");
    let _new = replica("i-new1", "v2", ZONE)?;
    thread::sleep(BEGIN);
    let outcome: &'static Outcome = Box::leak(Box::default());
    let then = cut.each_ref().map(|router| router.front);
    let running = streams::begin(setting, &[whole.front], &then, outcome);
    thread::sleep(KILL);
    if setting.trouble || std::env::var("KILL").is_ok() {
        whole.kill()?;
    }
    streams::join(running);
    Ok(outcome.is_in_order(setting))
}
