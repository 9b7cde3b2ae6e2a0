//! Bytes that a link sends for one message, both ways, and the time until it has arrived.
//!
//! `cargo bench --bench link`
#![allow(clippy::disallowed_methods)]

use crossbeam::channel::{self, Receiver};
use marlrun::{
    id, link, partition, secret,
    unit::{Cost, Span, Version},
    wire::{Ask, Class, Level, Message, Outcome, Report, Usage, codec},
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Messages of each kind.
const ROUNDS: usize = 500;
/// Wait between two messages, so that each travels alone.
const PAUSE: Duration = Duration::from_millis(2);

fn spawn(name: &str) -> (link::Links, Receiver<link::Event>) {
    let settings = link::Settings {
        router: name.parse().unwrap(),
        incarnation: id::Incarnation(1),
        address: "127.0.0.1:0".parse().unwrap(),
        key: secret::Key::new(b"secret"),
        partitions: partition::Filter::default(),
    };
    let (sink, events) = channel::unbounded();
    (link::Links::spawn(settings, sink).unwrap(), events)
}

fn pump(mut from: TcpStream, mut to: TcpStream, count: &AtomicUsize) {
    let mut buffer = [0; 65_536];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            return;
        }
        count.fetch_add(length, Ordering::Relaxed);
    }
}

/// Passes one connection on to `target` and counts its bytes.
fn relay(target: SocketAddr, count: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (near, _) = listener.accept().unwrap();
        let far = TcpStream::connect(target).unwrap();
        for stream in [&near, &far] {
            stream.set_nodelay(true).unwrap();
        }
        let (back, forth) = (near.try_clone().unwrap(), far.try_clone().unwrap());
        let counter = count.clone();
        thread::spawn(move || pump(far, back, &counter));
        pump(near, forth, &count);
    });
    address
}

fn kinds() -> Vec<(&'static str, Message)> {
    let attempt = id::Attempt {
        incarnation: id::Incarnation(0x1a23_dbde_6021_78ab),
        sequence: 123_456,
    };
    let target: id::Target = "dispatch-017".parse().unwrap();
    let service: id::Service = "dispatch".parse().unwrap();
    let workspace: id::Workspace = "workspace-12345".parse().unwrap();
    let ask = Ask {
        attempt,
        workspace: workspace.clone(),
        service: service.clone(),
        target: target.clone(),
        class: Class::Long,
        estimate: Cost(4_000),
        waited: Span(0),
        remaining: Span::from_secs(600),
        hops: 0,
    };
    let usage = Usage {
        workspace: workspace.clone(),
        service: service.clone(),
        served: Cost(123_456_789),
        known: 9_876_543_210,
        included: Cost(123_000_000),
        waiting: 3,
        running: 2,
    };
    let level = Level {
        workspace,
        service: service.clone(),
        level: 9_876_543_210,
        included: Cost(123_000_000),
    };
    let report = |count| Report {
        incarnation: attempt.incarnation,
        sequence: 7_200,
        usage: vec![usage.clone(); count],
        floors: vec![(service.clone(), 9_876_543_210)],
    };
    vec![
        ("Resync", Message::Resync),
        ("Ask", Message::Ask(ask)),
        (
            "Grant",
            Message::Grant {
                attempt,
                target: target.clone(),
            },
        ),
        (
            "Progress of 1",
            Message::Progress(vec![(attempt, Cost(1_234))]),
        ),
        (
            "Progress of 10",
            Message::Progress(vec![(attempt, Cost(1_234)); 10]),
        ),
        (
            "Done",
            Message::Done {
                attempt,
                target,
                cost: Cost(4_321),
                outcome: Outcome::Answered,
            },
        ),
        ("Report of 1", Message::Report(report(1))),
        ("Report of 10", Message::Report(report(10))),
        ("Levels of 1", Message::Levels(vec![level.clone()])),
        ("Levels of 10", Message::Levels(vec![level; 10])),
        (
            "Fetch",
            Message::Fetch {
                have: Version(28_000),
            },
        ),
    ]
}

fn main() {
    let (a, _broken) = spawn("entry-worcester-041");
    let (b, events) = spawn("entry-worcester-042");
    let count = Arc::<AtomicUsize>::default();
    let address = relay(b.address(), count.clone());
    let peer: id::Router = "entry-worcester-042".parse().unwrap();
    a.send(peer.clone(), address, Message::Resync);
    for _ in 0..2 {
        events.recv().unwrap();
    }
    thread::sleep(Duration::from_millis(100));
    println!(
        "handshake and first message: {} B",
        count.load(Ordering::Relaxed)
    );
    for (kind, message) in kinds() {
        let packed = codec::encode_batch(std::slice::from_ref(&message))
            .unwrap()
            .len();
        let before = count.load(Ordering::Relaxed);
        let mut waited = Duration::ZERO;
        for _ in 0..ROUNDS {
            let begun = Instant::now();
            a.send(peer.clone(), address, message.clone());
            events.recv().unwrap();
            waited += begun.elapsed();
            thread::sleep(PAUSE);
        }
        thread::sleep(Duration::from_millis(20));
        let bytes = count.load(Ordering::Relaxed) - before;
        println!(
            "{kind}: {packed} B packed, {} B on the connection, both ways; {} us until it has arrived",
            bytes / ROUNDS,
            waited.as_micros() / ROUNDS as u128,
        );
    }
}
