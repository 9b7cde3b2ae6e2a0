//! Stand-in of a server: reads requests and lets a case decide what it answers.

use crate::{
    fleet::Registration,
    http::{self, Head},
    store::Store,
};
use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Pause between two looks for new connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// A request whose head was read; its body is still to be read.
pub struct Request<'a> {
    pub head: Head,
    pub reader: &'a mut dyn BufRead,
    pub writer: &'a mut TcpStream,
}

impl Request<'_> {
    pub fn id(&self) -> String {
        self.head
            .header("x-marlrun-request-id")
            .unwrap_or_default()
            .into()
    }

    pub fn read_body(&mut self) -> io::Result<Vec<u8>> {
        http::read_body(&self.head, &mut self.reader)
    }

    /// Writes a whole answer that bears a signature.
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{}{headers}content-length: {}\r\n\r\n",
            self.signature(),
            body.len()
        );
        self.writer.write_all((head + body).as_bytes())
    }

    pub fn signature(&self) -> String {
        let id = self.id();
        format!("x-marlrun-request-id: {id}\r\nx-marlrun-response-stamp: 3e1b.07.{id}\r\n")
    }

    /// Writes the head of a stream.
    pub fn begin_stream(&mut self) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.signature()
        );
        self.writer.write_all(head.as_bytes())
    }

    pub fn event(&mut self, number: u64) -> io::Result<()> {
        let event = event(number);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.writer.write_all(chunk.as_bytes())
    }

    pub fn end_stream(&mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")
    }
}

pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece-{number}\n\n")
}

/// How a server answers a request; returns whether the connection is kept.
pub type Handle = dyn Fn(&mut Request<'_>) -> io::Result<bool> + Send + Sync;

/// A running server with its entry in the store.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    store: Arc<Store>,
    service: String,
    registration: Mutex<Arc<Registration>>,
    version: Mutex<&'static str>,
    handle: Box<Handle>,
    /// The listener is closed while this is false.
    is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Replica {
    /// Starts a server of version `v1`.
    pub fn open(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        handle: impl Fn(&mut Request<'_>) -> io::Result<bool> + Send + Sync + 'static,
    ) -> Arc<Self> {
        let (listener, address) = http::bind();
        let registration = Registration::open(store, id, service, address, "v1");
        let replica = Arc::new(Self {
            id: id.into(),
            address,
            store: store.clone(),
            service: service.into(),
            registration: Mutex::new(registration),
            version: Mutex::new("v1"),
            handle: Box::new(handle),
            is_up: AtomicBool::new(true),
            connections: Mutex::default(),
        });
        replica.clone().listen(listener);
        replica
    }

    pub fn version(&self) -> &'static str {
        *self.version.lock().unwrap()
    }

    /// Crashes: says nothing to the store, resets its connections and refuses new ones.
    pub fn crash(&self) {
        self.registration.lock().unwrap().stop();
        self.is_up.store(false, Ordering::Relaxed);
        for stream in self.connections.lock().unwrap().drain(..) {
            // Its peer may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under its id and at its address.
    pub fn restart(self: &Arc<Self>, version: &'static str) {
        // The former listener is closed within a moment.
        thread::sleep(2 * ACCEPT_PAUSE);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        };
        *self.version.lock().unwrap() = version;
        let Self {
            store,
            id,
            service,
            address,
            ..
        } = &**self;
        *self.registration.lock().unwrap() =
            Registration::open(store, id, service, *address, version);
        self.is_up.store(true, Ordering::Relaxed);
        self.clone().listen(listener);
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener
            .set_nonblocking(true)
            .expect("a listener that doesn't block");
        thread::spawn(move || {
            while self.is_up.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                let replica = self.clone();
                thread::spawn(move || {
                    // The peer sees how the connection ends.
                    let _ = replica.serve(stream);
                });
            }
        });
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        self.connections.lock().unwrap().push(stream.try_clone()?);
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = http::read_head(&mut reader)? {
            let mut request = Request {
                head,
                reader: &mut reader,
                writer: &mut writer,
            };
            let expected = request.head.header("x-marlrun-expect-instance");
            let is_other = expected.is_some_and(|expected| expected != self.id);
            let path = request.head.word(1).to_owned();
            let is_kept = if path == "/healthz" {
                let own = format!("x-marlrun-instance-id: {}\r\n", self.id);
                request.answer("200 OK", &own, "")?;
                true
            } else if path.starts_with("/api/") {
                request.read_body()?;
                request.answer("404 Not Found", "", "")?;
                true
            } else if is_other {
                request.read_body()?;
                request.answer("421 Misdirected Request", "", "")?;
                true
            } else {
                (self.handle)(&mut request)?
            };
            if !is_kept {
                break;
            }
        }
        Ok(())
    }
}
