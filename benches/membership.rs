//! Bytes, datagrams and processor time of membership per router and second, and times of detection.
//!
//! `cargo bench --bench membership`

#[allow(dead_code)]
#[path = "../tests/net/mod.rs"]
mod net;

use marlrun::{
    beacon, id,
    member::{Action, Event, Local},
    secret,
    unit::{Cost, Span, Time},
    wire::Load,
};
use net::{Faults, Net};
use std::{collections::BTreeMap, time::Instant};

/// Bytes of the headers of IPv4 and UDP.
const HEADERS: usize = 28;
/// Seconds that are simulated for each figure.
const SECONDS: u64 = 60;

/// Routers that are killed one after the other.
const DEATHS: u16 = 5;

/// Sum over all routers for a while.
#[derive(Default)]
struct Total {
    datagrams: usize,
    bytes: usize,
    largest: usize,
    per_router: BTreeMap<u16, usize>,
}

fn start(size: u16, domains: u16) -> Net {
    let mut net = Net::new(domains, Faults::NONE);
    net.start_all(size);
    net.run(Span::from_secs(20));
    net.assert_converged();
    net.record_sent = true;
    net
}

fn drain(net: &mut Net, key: &secret::Key, total: &mut Total) {
    for (from, heartbeat) in net.sent.drain(..) {
        let bytes = beacon::seal(key, &heartbeat).len() + HEADERS;
        total.datagrams += 1;
        total.bytes += bytes;
        total.largest = total.largest.max(bytes);
        *total.per_router.entry(from).or_default() += bytes;
    }
}

/// Two targets per router whose loads go up and down, as a busy owner tells them.
fn local(port: u16, second: u64) -> Local {
    let load = |i: u64| Load {
        target: format!("dispatch-{}", u64::from(port) * 2 + i)
            .parse()
            .unwrap(),
        free: ((second + i) % 5) as u32,
        slots: 32,
        waiting: Cost(1_000 << ((second + u64::from(port)) % 4)),
    };
    Local {
        loads: (0..2).map(load).collect(),
        floors: vec![("dispatch".parse().unwrap(), 1_000_000 + second * 50_000)],
        ..Local::default()
    }
}

fn measure(size: u16, domains: u16, loads: bool) {
    let key = secret::Key::new(b"secret");
    let mut net = start(size, domains);
    let mut total = Total::default();
    for second in 0..SECONDS {
        if loads {
            for port in 1..=size {
                net.event(port, Event::Local(local(port, second)));
            }
        }
        net.run(Span::from_secs(1));
        drain(&mut net, &key, &mut total);
    }
    let share = f64::from(size) * SECONDS as f64;
    let most = total.per_router.values().max().copied().unwrap_or(0);
    println!(
        "{size} routers, {domains} failure domains, loads {}: {:.1} datagrams/s and {:.0} B/s sent per router \
         (most {:.0} B/s), {:.0} B a datagram, largest {}",
        if loads {
            "changing each second"
        } else {
            "steady"
        },
        total.datagrams as f64 / share,
        total.bytes as f64 / share,
        most as f64 / SECONDS as f64,
        total.bytes as f64 / total.datagrams as f64,
        total.largest,
    );
}

/// Prints after how long the routers of a domain, and the others, have dropped a dead router.
fn detection(size: u16, domains: u16) {
    let key = secret::Key::new(b"secret");
    let mut net = start(size, domains);
    let (mut near, mut far) = (Vec::new(), Vec::new());
    let mut total = Total::default();
    for victim in 1..=DEATHS {
        net.actions.clear();
        net.sent.clear();
        net.kill(victim);
        let killed = net.now;
        let mut dropped = BTreeMap::<u16, Time>::new();
        while dropped.len() < net.routers.len() && net.now.since(killed) < Span::from_secs(60) {
            net.run(marlrun::member::TICK);
            let (now, name) = (net.now, net::name(victim));
            for (port, action) in net.actions.drain(..) {
                if matches!(&action, Action::Down { router, .. } if *router == name) {
                    dropped.entry(port).or_insert(now);
                }
            }
        }
        drain(&mut net, &key, &mut total);
        for (port, at) in dropped {
            let same = port % domains == victim % domains;
            let list = if same { &mut near } else { &mut far };
            list.push(at.since(killed).as_millis());
        }
        net.run(Span::from_secs(2));
    }
    near.sort_unstable();
    far.sort_unstable();
    println!(
        "{size} routers, {domains} failure domains, {DEATHS} deaths: dropped within {} ms in the \
         failure domain (median {}), {} ms elsewhere (median {})",
        near.last().unwrap_or(&0),
        near.get(near.len() / 2).unwrap_or(&0),
        far.last().unwrap_or(&0),
        far.get(far.len() / 2).unwrap_or(&0),
    );
}

/// Prints the processor time of sealing, opening and stepping one heartbeat.
#[allow(clippy::disallowed_methods)]
fn cost() {
    let key = secret::Key::new(b"secret");
    let mut net = start(330, 6);
    net.run(Span::from_secs(5));
    let sent: Vec<_> = net.sent.drain(..).map(|(_, heartbeat)| heartbeat).collect();
    let begun = Instant::now();
    let sealed: Vec<_> = sent.iter().map(|h| beacon::seal(&key, h)).collect();
    let seal = begun.elapsed().as_nanos() / sent.len() as u128;
    let begun = Instant::now();
    let opened = sealed.iter().filter_map(|d| beacon::open(&key, d)).count();
    assert_eq!(opened, sent.len());
    let open = begun.elapsed().as_nanos() / sent.len() as u128;
    net.record_sent = false;
    let begun = Instant::now();
    net.run(Span::from_secs(10));
    let step = begun.elapsed().as_micros() / (330 * 10);
    println!(
        "seal {seal} ns, open {open} ns; machine and fake network {step} us per router and second"
    );
}

/// Prints the time of finding an owner and a tally.
#[allow(clippy::disallowed_methods)]
fn placement() {
    let net = start(330, 6);
    let view = net.routers[&1].view();
    let workspaces: Vec<id::Workspace> = (0..49_000)
        .map(|i| format!("workspace-{i}").parse().unwrap())
        .collect();
    let begun = Instant::now();
    let found = workspaces
        .iter()
        .filter_map(|w| marlrun::placement::aggregator_of(w, view));
    assert_eq!(found.count(), workspaces.len());
    let each = begun.elapsed().as_nanos() / workspaces.len() as u128;
    println!("tally of a workspace among 330 routers: {each} ns");
}

fn main() {
    for loads in [false, true] {
        measure(7, 3, loads);
        measure(330, 6, loads);
    }
    detection(7, 3);
    detection(330, 6);
    cost();
    placement();
}
