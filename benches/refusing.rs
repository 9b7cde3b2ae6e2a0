//! Processor time of the ways to refuse a request: `cargo bench --bench refusing`.

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use marlrun::{
    front::{Limits, Problem, Responder, Server, Settings},
    unit::Span,
};
use nix::time::{ClockId, clock_gettime};
use std::{
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

const REQUEST: &[u8] = b"GET /a/b HTTP/1.1\r\nhost: service.example\r\nx-request-id: 9c41d07be2a35f68\r\n\
    x-tokens: 1460,80\r\nx-prompt: 5c1e07a2:800,91bd3f06:410\r\nauthorization: Bearer asnmgkcuyj8p\r\n\r\n";
const BODY: &[u8] =
    b"{\"status\":503,\"title\":\"Not run\",\"detail\":\"at its limit\",\"outcome\":\"not-run\"}";
/// Connections opened at a time, and groups of them; far apart enough for the throttle not to act.
const CONNECTIONS: usize = 40;
const GROUPS: usize = 200;
const PAUSE: Duration = Duration::from_millis(15);

/// Responder that refuses all requests.
#[derive(Default)]
struct Refusing {
    unread: AtomicBool,
    refused: AtomicU64,
    /// Processor time of the server by the last request that was read.
    processor_ns: AtomicU64,
}

impl Responder for Refusing {
    fn respond(
        &self,
        _: Request<Incoming>,
    ) -> BoxFuture<'_, Response<UnsyncBoxBody<Bytes, io::Error>>> {
        let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the clock is there");
        let time = Duration::from(time).as_nanos() as u64;
        self.processor_ns.store(time, Ordering::Relaxed);
        let body = Full::new(Bytes::from_static(BODY));
        let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        async { response }.boxed()
    }

    fn limits(&self) -> Limits {
        Limits::default()
    }

    fn refusal(&self, _full: bool) -> Option<Problem> {
        self.unread.load(Ordering::Relaxed).then(|| {
            self.refused.fetch_add(1, Ordering::Relaxed);
            Problem::not_run("at its limit", Span::from_secs(1))
        })
    }
}

fn serve(handler: Arc<Refusing>) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime starts");
        let address = "127.0.0.2:0".parse().expect("an address");
        let server = Server::bind(Settings { address, handler }, runtime.handle());
        let server = server.expect("a free port");
        sender
            .send(server.address())
            .expect("the main thread waits");
        runtime.block_on(std::future::pending::<()>());
    });
    receiver.recv().expect("the server starts")
}

fn request(stream: &mut TcpStream, count: usize) {
    let mut bytes = [0; 4096];
    for index in 0..count {
        stream.write_all(REQUEST).expect("the connection is open");
        let length = stream.read(&mut bytes).expect("the connection is open");
        assert!(
            length > 0,
            "the connection was closed after {index} of {count} requests"
        );
    }
}

fn main() {
    let handler = Arc::<Refusing>::default();
    let address = serve(handler.clone());
    let processor = || handler.processor_ns.load(Ordering::Relaxed) as f64 / 1e3;
    let mut stream = TcpStream::connect(address).expect("the server accepts");
    request(&mut stream, 1_000);
    let before = processor();
    let count = CONNECTIONS * GROUPS;
    request(&mut stream, count);
    let read = (processor() - before) / count as f64;
    handler.unread.store(true, Ordering::Relaxed);
    request(&mut stream, 1);
    let before = processor();
    for _ in 0..GROUPS {
        let open = |_| TcpStream::connect(address).expect("the server accepts");
        let open: Vec<TcpStream> = (0..CONNECTIONS).map(open).collect();
        for mut stream in open {
            // A connection that was reset has been refused as well.
            let _ = stream.read_to_end(&mut Vec::new());
        }
        thread::sleep(PAUSE);
    }
    request(&mut stream, 1);
    let refused = handler.refused.load(Ordering::Relaxed);
    let unread = (processor() - before) / refused as f64;
    println!("refused after reading, without the handler: {read:.1} us");
    println!("refused unread: {unread:.1} us ({refused} connections)");
}
