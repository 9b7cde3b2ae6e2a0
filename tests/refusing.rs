//! Listener of a router that is at its limit of requests, while callers connect more often than it can
//! even refuse them.

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use marlrun::{
    front::{Limits, Problem, Responder, Server, Settings},
    unit::Span,
};
use std::{
    collections::VecDeque,
    fs, io,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
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
    /// New connections are refused.
    at_limit: AtomicBool,
    /// Processor time that requests took, in nanoseconds.
    served_ns: AtomicU64,
}

impl Responder for Busy {
    fn respond(
        &self,
        _: Request<Incoming>,
    ) -> BoxFuture<'_, Response<UnsyncBoxBody<Bytes, io::Error>>> {
        async {
            let began = processor_ns("/proc/thread-self/schedstat");
            let until = Instant::now() + WORK;
            while Instant::now() < until {}
            let spent = processor_ns("/proc/thread-self/schedstat") - began;
            self.served_ns.fetch_add(spent, Ordering::Relaxed);
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
}

/// Returns the processor time in a file of the kernel's scheduler statistics.
fn processor_ns(path: &str) -> u64 {
    let text = fs::read_to_string(path).unwrap();
    text.split(' ').next().unwrap().parse().unwrap()
}

/// Starts a server on a thread of its own; returns its address and the file with its processor time.
fn serve(responder: &Arc<Busy>) -> (SocketAddr, String) {
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
        let thread = fs::read_link("/proc/thread-self").unwrap();
        let statistics = format!("/proc/{}/schedstat", thread.display());
        sender.send((server.address(), statistics)).unwrap();
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
fn served_part(responder: &Busy, statistics: &str) -> f64 {
    let count = || responder.served_ns.load(Ordering::Relaxed);
    let (served, total) = (count(), processor_ns(statistics));
    thread::sleep(MEASURED);
    (count() - served) as f64 / (processor_ns(statistics) - total) as f64
}

#[test]
fn refusals_take_the_processor_of_accepted_requests() {
    let responder = Arc::<Busy>::default();
    let (address, statistics) = serve(&responder);
    let stop = Arc::<AtomicBool>::default();
    let mut threads = Vec::new();
    for _ in 0..CALLERS {
        let (stream, stop) = (TcpStream::connect(address).unwrap(), stop.clone());
        threads.push(thread::spawn(move || call(stream, &stop)));
    }
    let before = served_part(&responder, &statistics);
    responder.at_limit.store(true, Ordering::Relaxed);
    for _ in 0..FLOODERS {
        let stop = stop.clone();
        threads.push(thread::spawn(move || flood(address, &stop)));
    }
    // The first refusals may take what was saved up for them.
    thread::sleep(MEASURED);
    let beside = served_part(&responder, &statistics);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    assert!(
        beside >= 0.75 * before,
        "requests take {beside:.2} of the processor beside refusals, and {before:.2} without"
    );
}
