//! HTTP server of a stand-in.

use super::{
    Error, Handle,
    reply::{Dropped, Reply},
};
use crate::unit::Span;
use futures::future::BoxFuture;
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
    pin::pin,
    sync::Arc,
    thread,
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    select,
    sync::{mpsc, oneshot},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Threads that serve one stand-in; tests run dozens of stand-ins on one machine.
const WORKER_THREADS: usize = 2;
/// Wait before listening again when the address cannot be had yet.
const RELISTEN_INTERVAL: Span = Span::from_millis(20);

/// Answers calls; an error closes the connection without an answer.
pub(super) trait App: Send + Sync + 'static {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Reply, Dropped>>;
}

/// Time for which a stand-in is to refuse connections.
#[derive(Debug)]
pub(super) struct Pause {
    pub(super) length: Span,
    /// Told when the first connection would be refused.
    pub(super) begun: oneshot::Sender<()>,
}

/// Pauses that a stand-in is asked for.
pub(super) type Pauses = mpsc::UnboundedReceiver<Pause>;

/// Binds the address and serves `app` on threads of its own.
pub(super) fn bind(listen: SocketAddr, app: Arc<dyn App>, pauses: Pauses) -> Result<Handle, Error> {
    let listen_error = |source| Error::Listen {
        address: listen,
        source,
    };
    let start_error = |source| Error::Start {
        address: listen,
        source,
    };
    let listener = StdListener::bind(listen).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .thread_name("standin")
        .enable_all()
        .build()
        .map_err(start_error)?;
    let stop = CancellationToken::new();
    let server = Server {
        address,
        app,
        pauses,
        stop: stop.clone(),
    };
    let thread = thread::Builder::new()
        .name("standin-listen".into())
        .spawn(move || server.run(runtime, listener))
        .map_err(start_error)?;
    Ok(Handle {
        address,
        stop,
        thread: Some(thread),
    })
}

struct Server {
    address: SocketAddr,
    app: Arc<dyn App>,
    pauses: Pauses,
    stop: CancellationToken,
}

impl Server {
    fn run(mut self, runtime: Runtime, listener: StdListener) {
        let stop = self.stop.clone();
        runtime.block_on(async {
            select! {
                () = stop.cancelled() => {}
                _ = self.listen(listener) => {}
            }
        });
        runtime.shutdown_background();
    }

    async fn listen(&mut self, listener: StdListener) -> io::Result<()> {
        let mut listener = TcpListener::from_std(listener)?;
        loop {
            let drain = self.stop.child_token();
            let pause = self.accept(&listener, &drain).await;
            drop(listener);
            drain.cancel();
            // Whoever asked for the pause may have left.
            let _ = pause.begun.send(());
            sleep(pause.length.into()).await;
            listener = self.listen_again().await;
        }
    }

    /// Accepts connections until a pause is asked for.
    async fn accept(&mut self, listener: &TcpListener, drain: &CancellationToken) -> Pause {
        loop {
            select! {
                Some(pause) = self.pauses.recv() => return pause,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve(stream, drain.clone()),
                    // Out of file descriptors: those in use are closed in time.
                    Err(_) => sleep(RELISTEN_INTERVAL.into()).await,
                },
            }
        }
    }

    fn serve(&self, stream: TcpStream, drain: CancellationToken) {
        let app = Arc::clone(&self.app);
        let stop = self.stop.clone();
        tokio::spawn(async move {
            select! {
                () = stop.cancelled() => {}
                () = serve_connection(stream, app, drain) => {}
            }
        });
    }

    async fn listen_again(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(_) => sleep(RELISTEN_INTERVAL.into()).await,
            }
        }
    }
}

/// Serves a connection until its peer closes it, or `drain` is cancelled and its last answer sent.
async fn serve_connection(stream: TcpStream, app: Arc<dyn App>, drain: CancellationToken) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| Arc::clone(&app).answer(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // The peer sees every error of a connection, and a stand-in has nobody else to tell.
    select! {
        _ = connection.as_mut() => return,
        () = drain.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
