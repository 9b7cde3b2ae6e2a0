//! Listener of the callers' interface.

use super::{
    Responder,
    refused::Refused,
    transport::{Progress, Running, Times, Transport},
};
use crate::{
    clock,
    unit::{Span, Time},
};
use futures::FutureExt;
use http::header;
use http_body_util::BodyExt;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    runtime::Handle,
    sync::{Semaphore, watch},
    task::JoinHandle,
};
use tokio_util::task::TaskTracker;

/// Settings of the callers' interface.
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// What answers the requests.
    pub handler: Arc<dyn Responder>,
}

/// Running listener; it stops by [`Server::drain`].
pub struct Server {
    address: SocketAddr,
    /// Time at which connections close, once the server stops.
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
        let notice = handler.limits().notice;
        let connections = Arc::new(Semaphore::new(handler.limits().connections));
        let listener = {
            let _entered = runtime.enter();
            listen(settings.address)?
        };
        let address = listener.local_addr()?;
        let task = runtime.spawn(accept(listener, handler, connections, stopped));
        Ok(Self {
            address,
            stop,
            notice,
            task,
        })
    }

    /// Returns the address that the listener has.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops to accept, lets every request end, and returns when all connections are closed.
    pub async fn drain(self) {
        self.stop.send_replace(Some(clock::now() + self.notice));
        // The task only fails if it panicked; the listener is closed then, too.
        let _ = self.task.await;
    }
}

/// Connections that the system holds until they are accepted. Callers come in bursts, and the system
/// drops what is beyond without a word; their next packet comes a second later.
const BACKLOG: u32 = 512;

/// Binds a listener.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Responder>,
    connections: Arc<Semaphore>,
    stopped: watch::Receiver<Option<Time>>,
) {
    /// Pause after a failed accept, which mostly means that file descriptors are short.
    const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

    let tracker = TaskTracker::new();
    let most = connections.available_permits();
    let mut refused = Refused::default();
    let serve = |stream: TcpStream, refused: &mut Refused| {
        // Without the option small writes may be delayed; the connection works all the same.
        let _ = stream.set_nodelay(true);
        let permit = connections.clone().try_acquire_owned();
        if let Some(problem) = handler.refusal(permit.is_err()) {
            return refused.refuse(stream, &problem);
        }
        // A connection without a place was refused above.
        let Ok(permit) = permit else {
            return;
        };
        let crowd = Crowd {
            places: connections.clone(),
            spare: most / SPARE_DIVISOR,
        };
        let connection = serve(stream, handler.clone(), crowd, stopped.clone());
        tracker.spawn(async move {
            connection.await;
            drop(permit);
        });
    };
    let mut stop = stopped.clone();
    let mut closing = pin!(async {
        // The sender lives as long as the server.
        let _ = stop.wait_for(Option::is_some).await;
        tokio::time::sleep(left(&stop)).await;
    });
    loop {
        let next = refused.next().map(Duration::from);
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tokio::time::sleep(next.unwrap_or_default()), if next.is_some() => {
                refused.close();
                continue;
            }
            () = &mut closing => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream, &mut refused),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    // What the system accepted already would be reset with the listener.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve(stream, &mut refused);
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// How many connections are open, for a connection that may end.
#[derive(Clone)]
struct Crowd {
    places: Arc<Semaphore>,
    /// Free places below which connections end with their next answer.
    spare: usize,
}

impl Crowd {
    fn is_thick(&self) -> bool {
        self.places.available_permits() < self.spare
    }
}

/// Part of the connections that is kept free, as a divisor: callers who open one for each request
/// leave the old ones open until they are idle for too long.
const SPARE_DIVISOR: usize = 2;

/// Serves a connection until its caller closes it, or until the server stops and its last answer
/// is given.
async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Responder>,
    crowd: Crowd,
    mut stopped: watch::Receiver<Option<Time>>,
) {
    let limits = handler.limits();
    let (running, mut begun) = watch::channel(false);
    let progress = Arc::<Progress>::default();
    let service_progress = progress.clone();
    let times = Times {
        head: Duration::from(limits.head),
        idle: Duration::from(limits.idle),
    };
    let transport = Transport::new(stream, times, progress.clone());
    let service = service_fn(move |request| {
        let (handler, running, crowd) = (handler.clone(), running.clone(), crowd.clone());
        let request_runs = Running::begin(&service_progress);
        async move {
            running.send_replace(true);
            let mut response = handler.respond(request).await;
            if crowd.is_thick() {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            running.send_replace(false);
            // The request runs until its answer is given.
            let response = response.map(|body| {
                body.map_err(move |error| {
                    let _runs = &request_runs;
                    error
                })
            });
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        // The transport limits the time, with an answer.
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(transport), service);
    let mut connection = pin!(connection);
    // An error of the connection is the caller's: it went away or sent no HTTP.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(Option::is_some) => {}
    }
    // A request may be on its way on a connection that is idle; closed now, it would be cut off.
    let begins = tokio::time::timeout(left(&stopped), begun.wait_for(|running| *running));
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = begins => {}
    }
    connection.as_mut().graceful_shutdown();
    // A head that was begun and doesn't come must not hold up the shutdown.
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = tokio::time::sleep(Duration::from(HEAD_GRACE)) => {}
        }
        if !progress.is_running() {
            return;
        }
    }
}

/// Returns the time until connections close.
fn left(stopped: &watch::Receiver<Option<Time>>) -> Duration {
    let close = stopped.borrow().unwrap_or_default();
    Duration::from(close.since(clock::now()))
}

/// Time for which a head that was begun is awaited after the notice of a shutdown.
const HEAD_GRACE: Span = Span::from_millis(400);

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
