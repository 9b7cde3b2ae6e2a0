//! Operator API over HTTP.

use marlrun::{
    config::Digest,
    operator::{Client, Error, Phase, Request, Router, Server, Source, Status, Target, Workspace},
    unit::{Cost, Span, Version, Weight},
};
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

#[derive(Default)]
struct Fake {
    drained: AtomicBool,
}

impl Source for Fake {
    fn status(&self) -> Status {
        Status {
            router: "r1".parse().unwrap(),
            domain: "vake".parse().unwrap(),
            incarnation: Default::default(),
            release: "0.1.0".into(),
            version: Version(7),
            ready: true,
            draining: self.drained.load(Ordering::SeqCst),
            detail: "".into(),
            uptime_ms: 12,
            waiting: 3,
            running: 4,
        }
    }

    fn routers(&self) -> Vec<Router> {
        Vec::new()
    }

    fn workspaces(&self) -> Vec<Workspace> {
        vec![Workspace {
            workspace: "hotel".parse().unwrap(),
            service: "chat".parse().unwrap(),
            weight: Weight::ONE,
            served: Cost(10),
            level: 10_000,
            waiting: 1,
            running: 2,
        }]
    }

    fn targets(&self) -> Vec<Target> {
        Vec::new()
    }

    fn request(&self, id: &str) -> Option<Request> {
        (id == "1f-2").then(|| Request {
            id: id.into(),
            workspace: "hotel".parse().unwrap(),
            service: "chat".parse().unwrap(),
            phase: Phase::Running,
            target: None,
            hops: 0,
            age_ms: 5,
            cost: Cost(1),
            trace: None,
        })
    }

    fn drain(&self) {
        self.drained.store(true, Ordering::SeqCst);
    }
}

/// Returns an address that was free a moment ago.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn serve() -> (Server, Arc<Fake>) {
    let source = Arc::new(Fake::default());
    let key = Digest::of(b"secret");
    // Another test may bind a free address before this one does.
    let mut tries = (0..100).map(|_| Server::bind(free_address(), key, source.clone()));
    let server = tries.find_map(Result::ok);
    (server.expect("one of many addresses must be free"), source)
}

fn client(server: &Server, key: &str) -> Client {
    Client::open(server.address(), key, Span::from_secs(5))
}

#[test]
fn call_with_key() {
    let (server, source) = serve();
    let client = client(&server, "secret");
    assert_eq!(client.status().unwrap(), source.status());
    assert_eq!(client.routers().unwrap(), []);
    assert_eq!(client.targets().unwrap(), []);
    assert_eq!(client.workspaces().unwrap(), source.workspaces());
    assert_eq!(client.request("1f-2").unwrap(), source.request("1f-2"));
    assert_eq!(client.request("1f-3").unwrap(), None);
}

#[test]
fn call_without_right_key() {
    let (server, source) = serve();
    for key in ["", "secre", "secret2", "Secret"] {
        let client = client(&server, key);
        let error = client.drain().unwrap_err();
        assert!(
            matches!(error, Error::Refused { status: 401, .. }),
            "{error}"
        );
        assert!(!error.to_string().contains("secret"), "{error}");
    }
    assert!(!source.drained.load(Ordering::SeqCst));
}

#[test]
fn drain_starts_shutdown() {
    let (server, source) = serve();
    assert!(client(&server, "secret").drain().unwrap().draining);
    assert!(source.drained.load(Ordering::SeqCst));
}

#[test]
fn call_unreachable() {
    let client = Client::open(free_address(), "secret", Span::from_secs(1));
    assert!(matches!(client.status(), Err(Error::Unreachable { .. })));
}
