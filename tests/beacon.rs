//! Heartbeats over UDP on the loopback interface.

use crossbeam::channel;
use marlrun::{
    beacon::{self, Beacon},
    id,
    partition::{Direction, Filter},
    secret,
    unit::{Cost, Span, Version},
    wire::{Echo, Heartbeat, Load, State},
};
use std::time::Duration;

fn key() -> secret::Key {
    secret::Key::new(b"secret")
}

fn heartbeat(sequence: u64, loads: usize) -> Heartbeat {
    let load = |i| Load {
        target: format!("target-{i}").parse().unwrap(),
        free: 1,
        slots: 8,
        waiting: Cost(1_000),
    };
    Heartbeat {
        router: "a".parse().unwrap(),
        incarnation: id::Incarnation(1),
        sequence,
        heard: Echo::default(),
        next: Span::from_secs(1),
        ask: false,
        leaving: false,
        version: Version(1),
        origin: None,
        state: Some(State {
            loads: (0..loads).map(load).collect(),
            ..State::default()
        }),
        suspects: Vec::new(),
        members: Vec::new(),
    }
}

#[test]
fn send_arrives() {
    let (sink, arrivals) = channel::unbounded::<beacon::Arrival>();
    let any = "127.0.0.1:0".parse().unwrap();
    let a = Beacon::bind(any, key(), Filter::default(), sink.clone()).unwrap();
    let partitions = Filter::default();
    let b = Beacon::bind(any, key(), partitions.clone(), sink).unwrap();
    let to = b.address().unwrap();
    partitions.block(a.address().unwrap(), Direction::In);
    a.send(to, &heartbeat(1, 0));
    std::thread::sleep(Duration::from_millis(50));
    partitions.unblock_all();
    a.send(to, &heartbeat(2, 1));
    let arrival = arrivals.recv_timeout(Duration::from_secs(20)).unwrap();
    assert_eq!(arrival, beacon::Arrival(heartbeat(2, 1)));
}

#[test]
fn open_wrong_key() {
    let datagram = beacon::seal(&secret::Key::new(b"other"), &heartbeat(1, 0));
    assert_eq!(beacon::open(&key(), &datagram), None);
    assert_eq!(beacon::open(&key(), b""), None);
}

#[test]
fn open_damaged() {
    let datagram = beacon::seal(&key(), &heartbeat(1, 2));
    for at in 0..datagram.len() {
        let mut damaged = datagram.clone();
        damaged[at] ^= 1;
        assert_eq!(beacon::open(&key(), &damaged), None);
    }
}

#[test]
fn seal_large() {
    let datagram = beacon::seal(&key(), &heartbeat(1, 500));
    assert!(datagram.len() <= beacon::MAX_DATAGRAM_BYTES);
    let opened = beacon::open(&key(), &datagram).unwrap();
    assert!(!opened.state.unwrap().loads.is_empty());
}
