//! Stand-in of a model replica: streams of numbered events.

use crate::{
    http::{self, Request},
    record::Record,
    store::Store,
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy)]
pub struct Pace {
    pub events: u64,
    pub gap: Duration,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    service: String,
    version: String,
    zone: String,
    address: SocketAddr,
    pace: Pace,
    seq: Arc<AtomicU64>,
    store: Store,
    record: Record,
}

impl Replica {
    pub fn start(
        store: &Store,
        record: &Record,
        (id, service, version, zone): (&str, &str, &str, &str),
        pace: Pace,
    ) -> io::Result<Self> {
        let mut replica = Self {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            zone: zone.into(),
            address: http::free_address()?,
            pace,
            seq: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        let serving = replica.clone();
        replica.address = http::serve(replica.address, move |request, stream| {
            serving.serve(request, stream)
        })?;
        let beating = replica.clone();
        thread::spawn(move || {
            loop {
                beating.register();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(replica)
    }

    fn register(&self) {
        let Self {
            service,
            version,
            zone,
            address,
            ..
        } = self;
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":64,"state":"ready","cold-left-ms":0,"born":1700000000000,"seq":{seq}}}"#
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if request.method == "GET" && request.path == "/healthz" {
            return http::answer(stream, 200, &[("x-marlrun-instance-id", &self.id)], b"");
        }
        let name = request.header("x-marlrun-request-id").unwrap_or("");
        if request.header("x-marlrun-expect-instance") != Some(&self.id) {
            let headers = [("x-marlrun-instance-id", self.id.as_str())];
            return http::answer(stream, 421, &headers, b"");
        }
        let last = request.header("last-event-id");
        let after: u64 = last.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        self.record.line(&format!(
            "replica {}: runs {name} after event {after}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-marlrun-request-id: {name}\r\nx-marlrun-response-stamp: 1.{}.1\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.pace.events {
            thread::sleep(self.pace.gap);
            let event = format!("id: {number}\ndata: piece {number} of {}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if let Err(error) = stream.write_all(chunk.as_bytes()) {
                self.record
                    .line(&format!("replica {}: {name} was dropped", self.id));
                return Err(error);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
