//! Listener of the callers' interface.

use super::{Limits, Problem, Sink, handler::Handler};
use crate::{config, id, unit::Span, upstream};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, RwLock, atomic::AtomicU64},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{Semaphore, watch},
    task::JoinHandle,
};

/// Settings of the callers' interface.
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Limits on what a caller may send.
    pub limits: Limits,
    /// Configuration in force.
    pub fleet: Arc<RwLock<Arc<config::Fleet>>>,
    /// Run of this router.
    pub incarnation: id::Incarnation,
    /// Receiver of what happens to requests.
    pub sink: Arc<dyn Sink>,
    /// Log.
    pub log: slog::Logger,
}

/// Running listener; it stops by [`Server::drain`].
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds the listener and serves on `runtime`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(settings: Settings, runtime: &Handle) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(settings.address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let connections = Arc::new(Semaphore::new(settings.limits.connections));
        let handler = Arc::new(Handler {
            fleet: settings.fleet,
            sink: settings.sink,
            limits: settings.limits,
            pool: upstream::Pool::default(),
            incarnation: settings.incarnation,
            log: settings.log,
            next: AtomicU64::new(1),
        });
        let listener = {
            let _entered = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let task = runtime.spawn(accept(listener, handler, connections, stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address that the listener has.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops to accept, lets every request end, and returns when all connections are closed.
    pub async fn drain(self) {
        self.stop.send_replace(true);
        // The task only fails if it panicked; the listener is closed then, too.
        let _ = self.task.await;
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<Handler>,
    connections: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    /// Pause after a failed accept, which mostly means that file descriptors are short.
    const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without the option small writes may be delayed; the connection works all the same.
        let _ = stream.set_nodelay(true);
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            tokio::spawn(refuse(stream));
            continue;
        };
        let connection = serve(stream, handler.clone());
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _permit = permit;
            // An error here is the caller's: it went away or sent no HTTP.
            let _ = watched.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve(
    stream: TcpStream,
    handler: Arc<Handler>,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::HttpService<Incoming, ResBody = super::Body, Error = Infallible, Future: Send>,
> {
    let limits = handler.limits.clone();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.idle))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service)
}

/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Answers a connection over the limit at once.
async fn refuse(stream: TcpStream) {
    let service = service_fn(|_request: http::Request<Incoming>| async {
        let detail = "the router has as many connections as it may have";
        let problem = Problem::not_run(detail, Span::from_secs(1));
        Ok::<_, Infallible>(problem.response())
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    // The caller may go away; nothing was promised to it.
    let _ = tokio::time::timeout(REFUSE_TIME, connection).await;
}

/// Time in which a connection over the limit has to send its request.
const REFUSE_TIME: Duration = Duration::from_secs(1);
