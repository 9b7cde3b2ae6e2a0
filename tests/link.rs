//! Links between routers over TCP connections on the loopback interface.

use crossbeam::channel::{self, Receiver};
use marlrun::{
    id, link,
    partition::{self, Direction},
    secret,
    unit::Version,
    wire::Message,
};
use std::{
    io::Read,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Timeout of the wait for an event, far longer than any event takes.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

struct Router {
    links: link::Links,
    events: Receiver<link::Event>,
    partitions: partition::Filter,
}

fn spawn_at(name: &str, incarnation: u64, secret: &[u8], address: SocketAddr) -> Router {
    let partitions = partition::Filter::default();
    let settings = link::Settings {
        router: name.parse().unwrap(),
        incarnation: id::Incarnation(incarnation),
        address,
        key: secret::Key::new(secret),
        partitions: partitions.clone(),
    };
    let (sink, events) = channel::unbounded::<link::Event>();
    Router {
        links: link::Links::spawn(settings, sink).unwrap(),
        events,
        partitions,
    }
}

fn spawn(name: &str, incarnation: u64) -> Router {
    spawn_at(name, incarnation, b"secret", "127.0.0.1:0".parse().unwrap())
}

fn fetch(version: u64) -> Message {
    Message::Fetch {
        have: Version(version),
    }
}

impl Router {
    fn send(&self, to: &str, other: &Router, message: Message) {
        self.links
            .send(to.parse().unwrap(), other.links.address(), message);
    }

    fn next(&self) -> link::Event {
        self.events.recv_timeout(EVENT_TIMEOUT).unwrap()
    }

    fn next_message(&self) -> (String, Message) {
        match self.next() {
            link::Event::Message { from, message, .. } => (from.to_string(), message),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn next_broken(&self) -> String {
        match self.next() {
            link::Event::Broken { peer, cause } => {
                assert_eq!(peer.as_str(), "b", "{cause}");
                cause.into()
            }
            other => panic!("unexpected {other:?}"),
        }
    }
}

#[test]
fn send_in_order() {
    let (a, b) = (spawn("a", 1), spawn("b", 1));
    let count = 5_000;
    for i in 0..count {
        a.send("b", &b, fetch(i));
    }
    assert_eq!(b.next_message(), ("a".into(), Message::Resync));
    for i in 0..count {
        assert_eq!(b.next_message(), ("a".into(), fetch(i)));
    }
}

#[test]
fn drop_delivers_queued_messages() {
    let (a, b) = (spawn("a", 1), spawn("b", 1));
    a.send("b", &b, fetch(1));
    drop(a);
    assert_eq!(b.next_message().1, Message::Resync);
    assert_eq!(b.next_message().1, fetch(1));
}

#[test]
fn send_after_restart() {
    let (a, b) = (spawn("a", 1), spawn("b", 1));
    a.send("b", &b, fetch(1));
    assert_eq!(b.next_message().1, Message::Resync);
    assert_eq!(b.next_message().1, fetch(1));
    let address = b.links.address();
    drop(b);
    a.next_broken();
    let b = spawn_at("b", 2, b"secret", address);
    a.send("b", &b, fetch(2));
    assert_eq!(b.next_message().1, Message::Resync);
    assert_eq!(b.next_message().1, fetch(2));
}

#[test]
fn hello_wrong_key() {
    let (a, b) = (
        spawn("a", 1),
        spawn_at("b", 1, b"other", "127.0.0.1:0".parse().unwrap()),
    );
    a.send("b", &b, fetch(1));
    assert!(a.next_broken().contains("wrong fleet key"));
    assert!(b.events.is_empty());
}

#[test]
fn hello_missing() {
    let a = spawn("a", 1);
    let mut stream = TcpStream::connect(a.links.address()).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap(), 0, "closed by the router");
}

#[test]
fn hello_other_router() {
    let (a, c) = (spawn("a", 1), spawn("c", 1));
    a.send("b", &c, fetch(1));
    assert!(a.next_broken().contains("another router"));
    assert!(c.events.is_empty());
}

#[test]
fn hello_older_incarnation() {
    let (old, new, b) = (spawn("a", 1), spawn("a", 2), spawn("b", 1));
    old.send("b", &b, fetch(1));
    assert_eq!(b.next_message().1, Message::Resync);
    assert_eq!(b.next_message().1, fetch(1));
    new.send("b", &b, fetch(2));
    assert_eq!(b.next_message().1, Message::Resync);
    assert_eq!(b.next_message().1, fetch(2));
    old.send("b", &b, fetch(3));
    old.next_broken();
    old.send("b", &b, fetch(4));
    assert!(old.next_broken().contains("a later incarnation of a"));
    assert!(b.events.is_empty());
}

#[test]
fn partition_and_heal() {
    for direction in [Direction::In, Direction::Out, Direction::Both] {
        let (a, b) = (spawn("a", 1), spawn("b", 1));
        a.send("b", &b, fetch(1));
        assert_eq!(b.next_message().1, Message::Resync);
        assert_eq!(b.next_message().1, fetch(1));
        a.partitions.block(b.links.address(), direction);
        a.send("b", &b, fetch(2));
        a.next_broken();
        a.partitions.unblock_all();
        a.send("b", &b, fetch(3));
        let mut next = b.next_message().1;
        if direction == Direction::In && next == fetch(2) {
            next = b.next_message().1;
        }
        assert_eq!(next, Message::Resync, "{direction:?}");
        assert_eq!(b.next_message().1, fetch(3), "{direction:?}");
    }
}
