//! Listener and connections of the HTTP front end.

use super::{
    Problem, Responder, Throttle,
    refused::Refused,
    socket::Socket,
    transport::{Guard, Progress, Transport},
};
use crate::{
    clock,
    memory::{Account, Stage},
    unit::{Span, Time},
};
use http::{StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible,
    io,
    net::{self, SocketAddr},
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    runtime::Handle,
    sync::{Semaphore, watch},
    task::JoinHandle,
};
use tokio_util::task::TaskTracker;

/// Settings of a listener.
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Responds to the requests and sets the limits.
    pub handler: Arc<dyn Responder>,
}

/// Running listener; [`Server::drain`] stops it.
pub struct Server {
    address: SocketAddr,
    /// Time at which idle connections close; `None` until the server drains.
    stop: watch::Sender<Option<Time>>,
    notice: Span,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds the listener and serves on `runtime`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(settings: Settings, runtime: &Handle) -> io::Result<Self> {
        let (stop, stopped) = watch::channel(None);
        let handler = settings.handler;
        let notice = handler.limits().drain_notice;
        let connections = Arc::new(Semaphore::new(handler.limits().connections));
        let _entered = runtime.enter();
        let socket = Socket::bind(settings.address)?;
        let address = socket.address()?;
        let task = runtime.spawn(accept(socket, handler, connections, stopped));
        Ok(Self {
            address,
            stop,
            notice,
            task,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections for the drain notice, then stops, lets requests in progress complete,
    /// and returns when all connections are closed.
    pub async fn drain(self) {
        self.stop.send_replace(Some(clock::now() + self.notice));
        // The task only fails if it panics; the listener is closed in that case, too.
        let _ = self.task.await;
    }
}

/// Accepts connections until the server closes.
async fn accept(
    mut socket: Socket,
    handler: Arc<dyn Responder>,
    connections: Arc<Semaphore>,
    stopped: watch::Receiver<Option<Time>>,
) {
    /// Delay after a failed accept; the usual cause is a lack of file descriptors.
    const ACCEPT_RETRY: Duration = Duration::from_millis(20);
    /// Interval of looking for room while the socket is closed.
    const ROOM_INTERVAL: Duration = Duration::from_millis(20);

    let tracker = TaskTracker::new();
    let headroom = Headroom {
        min_free: connections.available_permits() / MIN_FREE_DIVISOR,
        connections: connections.clone(),
        throttle: Arc::new(Mutex::new(Throttle::open(clock::now()))),
    };
    let mut refused = Refused::default();
    let mut is_unopened = false;
    let serve = |stream: net::TcpStream, refused: &mut Refused| -> io::Result<bool> {
        let permit = connections.clone().try_acquire_owned();
        if let Some(problem) = handler.refusal(permit.is_err()) {
            refused.refuse(stream, &problem);
            return Ok(true);
        }
        // A connection without a permit was refused above.
        let Ok(permit) = permit else {
            return Ok(true);
        };
        let account = match handler.memory().map(|memory| memory.connect()) {
            Some(Some(account)) => account,
            Some(None) => {
                let detail = "the router is short of memory for connections";
                refused.refuse(stream, &Problem::not_run(detail, MEMORY_RETRY_AFTER));
                return Ok(true);
            }
            None => Account::unlimited(),
        };
        stream.set_nonblocking(true)?;
        // If this fails, small writes may be delayed, but the connection works.
        let _ = stream.set_nodelay(true);
        let stream = TcpStream::from_std(stream)?;
        let (handler, headroom) = (handler.clone(), headroom.clone());
        let connection = serve(stream, handler, headroom, account, stopped.clone());
        tracker.spawn(async move {
            connection.await;
            drop(permit);
        });
        Ok(false)
    };
    let mut stop = stopped.clone();
    let mut close_timer = pin!(async {
        // An error means that the sender was dropped; it lives as long as the server.
        let _ = stop.wait_for(Option::is_some).await;
        tokio::time::sleep(time_to_close(&stop)).await;
    });
    loop {
        let expiry = refused.next_expiry().map(Duration::from);
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            () = tokio::time::sleep(ROOM_INTERVAL), if socket.is_closed() => {
                refused.close_expired();
                let is_full = connections.available_permits() == 0 || handler.is_full();
                if !is_full || headroom.throttle().is_recovered(clock::now()) {
                    let reopened = socket.reopen();
                    if let Err(cause) = &reopened && !is_unopened {
                        handler.record_unopened(cause);
                    }
                    is_unopened = reopened.is_err();
                }
                continue;
            }
            () = tokio::time::sleep(expiry.unwrap_or_default()), if expiry.is_some() && !socket.is_closed() => {
                refused.close_expired();
                continue;
            }
            () = &mut close_timer => break,
        };
        let began = clock::now();
        let served = accepted.and_then(|stream| serve(stream, &mut refused));
        match served {
            Ok(false) => {}
            Ok(true) => {
                // Refused connections come in numbers, and each registration takes system calls.
                let mut count = 1;
                while count < REFUSE_BATCH {
                    let Some(stream) = socket.accept_waiting() else {
                        break;
                    };
                    if !matches!(serve(stream, &mut refused), Ok(true)) {
                        break;
                    }
                    count += 1;
                }
                let now = clock::now();
                let spent = now.since(began);
                handler.record_refusing(spent);
                headroom.throttle().record_unread(now, count, spent);
                if headroom.throttle().is_exhausted() && socket.close().is_ok() {
                    let closed = clock::now();
                    headroom
                        .throttle()
                        .record_closing(closed, closed.since(now));
                    handler.record_closed();
                }
                tokio::task::yield_now().await;
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
    // Connections still in the backlog would be reset when the listener closes. The runtime may not
    // have looked at the listener since they arrived.
    tokio::task::yield_now().await;
    while let Some(stream) = socket.accept_waiting() {
        // A connection that can't be served doesn't end the others.
        let _ = serve(stream, &mut refused);
    }
    drop(socket);
    tracker.close();
    tracker.wait().await;
}

/// Maximum number of connections that are refused before the requests in progress have their turn.
const REFUSE_BATCH: u64 = 128;

/// Free part of the connection limit; keep-alive is disabled while it is low.
#[derive(Clone)]
struct Headroom {
    connections: Arc<Semaphore>,
    /// Number of free connections below which each connection closes after its next response.
    min_free: usize,
    throttle: Arc<Mutex<Throttle>>,
}

impl Headroom {
    fn is_low(&self) -> bool {
        self.connections.available_permits() < self.min_free
    }

    fn throttle(&self) -> MutexGuard<'_, Throttle> {
        self.throttle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request that was refused at the limit; returns whether its connection is to close, so that
    /// the next one is refused without reading it.
    fn record_refused(&self) -> bool {
        let mut throttle = self.throttle();
        throttle.record_read(clock::now());
        throttle.is_exhausted()
    }
}

/// `Retry-After` of a connection that is refused for memory: stalled callers are closed by then.
const MEMORY_RETRY_AFTER: Span = Span::from_millis(1_000);

/// Divisor of the connection limit: keep-alive is disabled while less than this fraction is free,
/// because callers that open a connection for each request leave the old ones open until the idle
/// timeout.
const MIN_FREE_DIVISOR: usize = 2;

/// Serves a connection until its caller closes it, or until the server drains and the last response
/// is sent.
async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Responder>,
    headroom: Headroom,
    account: Account,
    mut stopped: watch::Receiver<Option<Time>>,
) {
    let limits = handler.limits();
    let (busy, mut busy_receiver) = watch::channel(false);
    let progress = Arc::<Progress>::default();
    let request_progress = progress.clone();
    let transport = Transport::new(stream, handler.clone(), progress.clone(), account.clone());
    let head_bytes = limits.head_bytes;
    let service = service_fn(move |mut request: http::Request<_>| {
        let (handler, busy, headroom) = (handler.clone(), busy.clone(), headroom.clone());
        let guard = Guard::begin(&request_progress);
        account.enter(Stage::Run);
        request.extensions_mut().insert(account.clone());
        let progress = request_progress.clone();
        // It knows no chunks.
        let ends_with_connection = request.version() == Version::HTTP_10;
        async move {
            busy.send_replace(true);
            let mut response = handler.respond(request).await;
            // hyper keeps the limit that the connection began with; the caller opens a new one.
            let is_outdated = handler.limits().head_bytes != head_bytes;
            let is_refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
            let is_unwanted = is_refused && handler.is_full() && headroom.record_refused();
            if is_outdated || is_unwanted || headroom.is_low() {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            busy.send_replace(false);
            // The request is in progress until its response body is sent and dropped.
            let response = response.map(|body| {
                body.map_err(move |error| {
                    let _guard = &guard;
                    if ends_with_connection {
                        progress.record_truncation();
                    }
                    error
                })
            });
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        // The transport enforces this timeout and responds with 408.
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(transport), service);
    let mut connection = pin!(connection);
    // Connection errors are caused by the caller, which disconnected or sent invalid HTTP.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(Option::is_some) => {}
    }
    // A request may be in transit on an idle connection; closing the connection now would reset it.
    let next_request = async {
        let busy = busy_receiver.wait_for(|busy| *busy);
        let _ = tokio::time::timeout(time_to_close(&stopped), busy).await;
        // If this thread was held up, the time may be over before requests that have arrived are
        // read: lets the runtime look at its sockets once more.
        tokio::task::yield_now().await;
    };
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = next_request => {}
    }
    connection.as_mut().graceful_shutdown();
    // A partial request head must not delay the shutdown.
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = tokio::time::sleep(Duration::from(HEAD_GRACE)) => {}
        }
        if !progress.is_active() && !progress.is_unsent() {
            return;
        }
    }
}

/// Returns the time until idle connections close.
fn time_to_close(stopped: &watch::Receiver<Option<Time>>) -> Duration {
    let close = stopped.borrow().unwrap_or_default();
    Duration::from(close.since(clock::now()))
}

/// Time that a partial request head gets to arrive after the drain notice is over.
const HEAD_GRACE: Span = Span::from_millis(400);

/// Minimum size of the read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
