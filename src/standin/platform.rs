//! Stand-in of the platform.

use super::{
    Error, Handle,
    reply::{self, Dropped, Malformed, Reply},
    server::{self, App, Pause},
};
use crate::{
    clock,
    table::{
        Fault, Memory, Vm,
        protocol::{self, ReadBody, RowsBody, ScanBody, VmsBody, WriteBody},
    },
    unit::Span,
};
use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{HeaderValue, RETRY_AFTER},
};
use std::{net::SocketAddr, sync::Arc};
use tokio::{sync::mpsc, time::sleep};

/// Media type of objects.
const OCTETS: HeaderValue = HeaderValue::from_static("application/octet-stream");

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time after which readers see a changed list of VMs, if the change names none.
    pub list_lag: Span,
    /// Contents.
    pub memory: Arc<Memory>,
}

/// New list of VMs.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct PutVms {
    vms: Vec<Vm>,
    #[serde(default)]
    lag: Option<Span>,
}

/// Starts a platform stand-in.
///
/// # Errors
///
/// Fails if the address cannot be listened on or threads cannot be started.
pub fn bind(settings: Settings) -> Result<Handle, Error> {
    let (pauses_sender, pauses) = mpsc::unbounded_channel();
    let platform = Platform {
        memory: settings.memory,
        list_lag: settings.list_lag,
        _pauses: pauses_sender,
    };
    server::bind(settings.listen, Arc::new(platform), pauses)
}

struct Platform {
    memory: Arc<Memory>,
    list_lag: Span,
    /// Keeps the server's channel open; a platform that is down closes connections instead.
    _pauses: mpsc::UnboundedSender<Pause>,
}

impl App for Platform {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Reply, Dropped>> {
        Box::pin(async move {
            let (head, body) = request.into_parts();
            let body = match reply::read(body).await {
                Ok(body) => body,
                Err(malformed) => return Ok(malformed.into()),
            };
            let path = head.uri.path();
            if let Some(reply) = self.control(&head.method, path, &body) {
                return Ok(reply);
            }
            let delay = self.memory.script().delay;
            sleep(delay.into()).await;
            let answer = self.call(&head.method, path, &body);
            answer.or_else(refusal)
        })
    }
}

impl Platform {
    /// Answers a call of the control interface, or returns `None` if it is not one.
    fn control(&self, method: &Method, path: &str, body: &Bytes) -> Option<Reply> {
        let reply = match (method, path) {
            (&Method::GET, "/stats") => reply::json(&self.memory.stats()),
            (&Method::GET, "/faults") => reply::json(&self.memory.script()),
            (&Method::POST, "/faults") => changed(reply::parse(body), |script| {
                self.memory.set_script(script);
            }),
            (&Method::PUT, protocol::VMS) => changed(reply::parse(body), |put: PutVms| {
                let lag = put.lag.unwrap_or(self.list_lag);
                self.memory.set_vms(put.vms, lag);
            }),
            _ => return None,
        };
        Some(reply)
    }

    fn call(&self, method: &Method, path: &str, body: &Bytes) -> Result<Reply, Fault> {
        let now = clock::now();
        let mut store = self.memory.store();
        if let Some(name) = path.strip_prefix(protocol::OBJECTS) {
            return match *method {
                Method::GET => Ok(object(store.get(now, name)?)),
                Method::PUT if protocol::is_object_name(name) => {
                    store.put(now, name, body).map(|()| reply::done())
                }
                _ => Ok(no_such_call()),
            };
        }
        match (method, path) {
            (&Method::GET, protocol::VMS) => {
                let vms = store.list(now)?;
                Ok(reply::json(&VmsBody { vms }))
            }
            (&Method::POST, protocol::READ) => parsed(body, |read: ReadBody| {
                let rows = store.read(now, &read.keys)?;
                Ok(reply::json(&RowsBody { rows }))
            }),
            (&Method::POST, protocol::SCAN) => parsed(body, |scan: ScanBody| {
                let rows = store.scan(now, &scan.prefix, &scan.after, scan.limit)?;
                Ok(reply::json(&RowsBody { rows }))
            }),
            (&Method::POST, protocol::WRITE) => parsed(body, |write: WriteBody| {
                store.write(now, &write.writes).map(|v| reply::json(&v))
            }),
            _ => Ok(no_such_call()),
        }
    }
}

/// Makes a change of the control interface.
fn changed<T>(body: Result<T, Malformed>, change: impl FnOnce(T)) -> Reply {
    match body {
        Ok(body) => {
            change(body);
            reply::done()
        }
        Err(malformed) => malformed.into(),
    }
}

/// Makes a call whose body is JSON.
fn parsed<T: serde::de::DeserializeOwned>(
    body: &Bytes,
    call: impl FnOnce(T) -> Result<Reply, Fault>,
) -> Result<Reply, Fault> {
    match reply::parse(body) {
        Ok(body) => call(body),
        Err(malformed) => Ok(malformed.into()),
    }
}

fn object(body: Option<Vec<u8>>) -> Reply {
    match body {
        Some(body) => reply::typed(StatusCode::OK, OCTETS, reply::whole(body)),
        None => reply::problem(StatusCode::NOT_FOUND, "no such object"),
    }
}

fn no_such_call() -> Reply {
    reply::problem(StatusCode::METHOD_NOT_ALLOWED, "no such call")
}

/// Returns how a fault shows over HTTP.
fn refusal(fault: Fault) -> Result<Reply, Dropped> {
    match fault {
        Fault::Lost { .. } | Fault::Unreachable { .. } => Err(Dropped),
        Fault::Limited { retry_after, .. } => {
            let mut reply = reply::problem(StatusCode::TOO_MANY_REQUESTS, "rate limited");
            let secs = HeaderValue::from(retry_after.secs_ceil());
            reply.headers_mut().insert(RETRY_AFTER, secs);
            Ok(reply)
        }
        Fault::Refused { status, detail, .. } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            Ok(reply::problem(status, &detail))
        }
    }
}
