//! A router is cut off from the store for some seconds, and a replica leaves without a word when the cut has healed.

use crate::{Case, leaving::Replica, world::*};
use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

const ROUNDS: u64 = 7;
/// Length of the cut, and time from its end to the removal of the replica's entry.
const CUT: Duration = Duration::from_millis(5_500);
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// `drain-ms` and `stability-window-ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
const WINDOW: Duration = Duration::from_millis(3_000);
/// Time from the end of the cut to the requests.
const REQUESTS_AFTER: Duration = Duration::from_millis(3_050);
/// Time from the removal until the replica exits.
const EXIT_AFTER: Duration = Duration::from_millis(4_000);
const BETWEEN_ROUNDS: Duration = Duration::from_millis(4_000);

pub fn play(case: &Case) -> bool {
    let record = &case.record;
    let store = Store::open();
    let born = unix_ms();
    let entry = move |address: SocketAddr| {
        format!(
            r#"{{"service":"app","address":"{address}","zone":"za","version":"1","slots":6,"state":"ready","cold-left-ms":0,"seq":1,"born":{born}}}"#
        )
    };
    let (staying, address) = Replica::start("i-stays", record);
    store.put("servers", staying.name, &entry(address));
    store.put("op", "config", crate::leaving::CONFIGURATION);
    let link = Proxy::open(store.address);
    let mut machines = Machine::start_all(&case.folder, 1, |_| link.address);
    let fronts = [machines[0].front];
    let mut late = 0;
    for round in 0..ROUNDS {
        let name: &'static str = format!("i-leaves{round}").leak();
        let (leaving, address) = Replica::start(name, record);
        store.put("servers", name, &entry(address));
        thread::sleep(BETWEEN_ROUNDS + Duration::from_millis(150 * round));
        if case.trouble {
            link.cut();
            record.line("front-0 is cut off from the store");
        }
        thread::sleep(CUT);
        if case.trouble {
            link.heal();
            record.line("the cut has healed");
        }
        let healed = Instant::now();
        thread::sleep(LEAVES_AFTER);
        leaving.leaves.store(true, Ordering::Relaxed);
        store.remove("servers", name);
        let acknowledged = Instant::now();
        record.line(&format!(
            "{name} leaves: the store has acknowledged that its entry is removed"
        ));
        thread::sleep((healed + REQUESTS_AFTER) - Instant::now());
        crate::leaving::send(case, &fronts, 4);
        thread::sleep((acknowledged + EXIT_AFTER).saturating_duration_since(Instant::now()));
        leaving.gone.store(true, Ordering::Relaxed);
        let runs = leaving.runs.lock().unwrap();
        let late_here = runs
            .iter()
            .filter(|at| **at > acknowledged + DRAIN && **at > healed + WINDOW)
            .count();
        record.line(&format!(
            "{late_here} requests reached {name} later than {DRAIN:?} after the acknowledgement"
        ));
        println!(
            "round {round}: {late_here} requests reached {name} later than {DRAIN:?} after the acknowledgement"
        );
        late += late_here;
    }
    machines.clear();
    late > 0
}
