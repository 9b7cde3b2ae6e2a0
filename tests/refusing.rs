//! Listener of a router that is at its limit of requests, while callers connect more often than it can
//! even refuse them.

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use marlrun::{
    front::{Limits, Problem, Responder, Server, Settings, Throttle},
    unit::{Span, Time},
};
use nix::time::{ClockId, clock_gettime};
use socket2::{Domain, Socket, Type};
use std::{
    collections::VecDeque,
    io,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

/// Callers whose connections were accepted before the router reached its limit.
const CALLERS: usize = 4;
/// Threads that connect as often as they can.
const FLOODERS: usize = 8;
/// Connections that each of them leaves open.
const OPEN: usize = 64;
/// Processor time of one request.
const WORK: Duration = Duration::from_micros(250);
/// Time for which requests are counted.
const MEASURED: Duration = Duration::from_millis(800);

/// Responder that takes processor time for each request.
#[derive(Default)]
struct Busy {
    /// Times that the listener could not be opened again.
    unopened: AtomicU64,
    /// New connections are refused.
    at_limit: AtomicBool,
    /// Processor time that requests took, in nanoseconds.
    served_ns: AtomicU64,
    /// Processor time that the server took by the last request, in nanoseconds.
    total_ns: AtomicU64,
}

impl Responder for Busy {
    fn respond(
        &self,
        _: Request<Incoming>,
    ) -> BoxFuture<'_, Response<UnsyncBoxBody<Bytes, io::Error>>> {
        async {
            let began = processor_ns();
            while processor_ns() - began < WORK.as_nanos() as u64 {}
            let now = processor_ns();
            self.served_ns.fetch_add(now - began, Ordering::Relaxed);
            self.total_ns.store(now, Ordering::Relaxed);
            let body = Full::new(Bytes::from_static(b"served"));
            Response::new(body.map_err(|never| match never {}).boxed_unsync())
        }
        .boxed()
    }

    fn limits(&self) -> Limits {
        Limits::default()
    }

    fn refusal(&self, _full: bool) -> Option<Problem> {
        let at_limit = self.at_limit.load(Ordering::Relaxed);
        at_limit.then(|| Problem::not_run("at its limit", Span::from_secs(1)))
    }

    fn record_unopened(&self, _: &io::Error) {
        self.unopened.fetch_add(1, Ordering::Relaxed);
    }

    fn is_full(&self) -> bool {
        self.at_limit.load(Ordering::Relaxed)
    }
}

/// Returns the processor time of the current thread.
fn processor_ns() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).unwrap();
    Duration::from(time).as_nanos() as u64
}

/// Starts a server on a thread of its own; returns its address.
fn serve(responder: &Arc<Busy>) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    let handler = responder.clone();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let settings = Settings {
            // Callers connect from another address, so that none is connected to itself.
            address: "127.0.0.2:0".parse().unwrap(),
            handler,
        };
        let server = Server::bind(settings, runtime.handle()).unwrap();
        sender.send(server.address()).unwrap();
        runtime.block_on(std::future::pending::<()>());
    });
    receiver.recv().unwrap()
}

/// Sends requests on a connection until the test ends.
fn call(mut stream: TcpStream, stop: &AtomicBool) {
    let mut bytes = [0; 4096];
    while !stop.load(Ordering::Relaxed) {
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            .unwrap();
        assert!(stream.read(&mut bytes).unwrap() > 0);
    }
}

/// Connects as often as it can.
fn flood(address: SocketAddr, stop: &AtomicBool) {
    let mut open = VecDeque::new();
    while !stop.load(Ordering::Relaxed) {
        // Not all attempts get through, which is no matter here.
        let connected = TcpStream::connect_timeout(&address, Duration::from_millis(5));
        open.extend(connected.ok());
        if open.len() > OPEN {
            open.pop_front();
        }
    }
}

/// Returns the part of the server's processor time that requests take.
fn served_part(responder: &Busy) -> f64 {
    let served = || responder.served_ns.load(Ordering::Relaxed) as f64;
    let total = || responder.total_ns.load(Ordering::Relaxed) as f64;
    let before = (served(), total());
    thread::sleep(MEASURED);
    (served() - before.0) / (total() - before.1)
}

#[test]
fn refusals_take_the_processor_of_accepted_requests() {
    let responder = Arc::<Busy>::default();
    let address = serve(&responder);
    let stop = Arc::<AtomicBool>::default();
    let mut threads = Vec::new();
    for _ in 0..CALLERS {
        let (stream, stop) = (TcpStream::connect(address).unwrap(), stop.clone());
        threads.push(thread::spawn(move || call(stream, &stop)));
    }
    let before = served_part(&responder);
    responder.at_limit.store(true, Ordering::Relaxed);
    for _ in 0..FLOODERS {
        let stop = stop.clone();
        threads.push(thread::spawn(move || flood(address, &stop)));
    }
    // The first refusals may take what was saved up for them.
    thread::sleep(MEASURED);
    let beside = served_part(&responder);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    assert!(
        beside >= 0.75 * before,
        "requests take {beside:.2} of the processor beside refusals, and {before:.2} without"
    );
}

/// Connects to a server at its limit until it closes its listener; returns its address.
fn close_listener(responder: &Arc<Busy>) -> SocketAddr {
    responder.at_limit.store(true, Ordering::Relaxed);
    let address = serve(responder);
    let stop = Arc::<AtomicBool>::default();
    let flooders = (0..FLOODERS).map(|_| {
        let stop = stop.clone();
        thread::spawn(move || flood(address, &stop))
    });
    let flooders: Vec<_> = flooders.collect();
    thread::sleep(MEASURED);
    stop.store(true, Ordering::Relaxed);
    for flooder in flooders {
        flooder.join().unwrap();
    }
    address
}

/// Sends a request on a new connection and returns the response.
fn request(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn listener_stays_closed_when_there_is_room() {
    let responder = Arc::<Busy>::default();
    let address = close_listener(&responder);
    responder.at_limit.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(200));
    let response = request(address);
    assert!(response.ends_with("served"), "{response}");
}

#[test]
fn listener_not_opened_again_goes_unreported() {
    let responder = Arc::<Busy>::default();
    let address = close_listener(&responder);
    // The address is taken once the listener is closed.
    let taken = (0..10_000).find_map(|_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        let listening = socket.bind(&address.into()).and_then(|()| socket.listen(1));
        if listening.is_err() && responder.unopened.load(Ordering::Relaxed) == 0 {
            // The listener is open; the next connections close it.
            drop(TcpStream::connect_timeout(
                &address,
                Duration::from_millis(5),
            ));
        }
        listening.ok().map(|()| socket)
    });
    assert!(taken.is_some(), "{address} is never free");
    thread::sleep(Duration::from_millis(300));
    let reported = responder.unopened.load(Ordering::Relaxed);
    assert_eq!(reported, 1, "reported {reported} times");
    drop(taken);
    responder.at_limit.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(200));
    let response = request(address);
    assert!(response.ends_with("served"), "{response}");
}

#[test]
fn throttle_exceeded_by_refusals_of_any_cost() {
    for cost_us in [5, 60, 400] {
        let mut throttle = Throttle::open(Time(0));
        let mut now = Time(0);
        let mut spent = Span(0);
        while now < Time(0) + Span::from_secs(20) {
            if throttle.is_exhausted() && !throttle.is_recovered(now) {
                now = now + Span::from_millis(1);
                continue;
            }
            let batch = Span(32 * cost_us);
            now = now + batch;
            throttle.record_unread(now, 32, batch);
            // The first refusals may take what is saved up.
            if now > Time(0) + Span::from_secs(2) {
                spent = Span(spent.0 + batch.0);
            }
        }
        let percent = spent.0 * 100 / Span::from_secs(18).0;
        assert!(
            (7..=12).contains(&percent),
            "refusals of {cost_us} us take {percent} %"
        );
    }
}

#[test]
fn throttle_exceeded_by_requests_refused_after_reading() {
    let mut throttle = Throttle::open(Time(0));
    let mut now = Time(0);
    let mut refused = 0;
    while !throttle.is_exhausted() {
        throttle.record_read(now);
        refused += 1;
        // Half of the time, at the cost that is assumed until it is measured.
        now = now + Span(40);
        assert!(refused < 1_000, "not exhausted by {refused} requests");
    }
    assert!(!throttle.is_recovered(now + Span::from_millis(1)));
    assert!(throttle.is_recovered(now + Span::from_secs(1)));
}
