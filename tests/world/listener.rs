//! HTTP server of a stand-in, on a thread of its own.

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, sync::Arc, thread, time::Duration};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::{Notify, watch},
    task::JoinSet,
};

/// Body of an answer; an error breaks the connection off.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;
/// Answer; an error closes the connection without one.
pub(crate) type Answered = Result<Response<Body>, std::io::Error>;
/// What answers requests.
pub(crate) type Answerer =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Answered> + Send + Sync>;

/// Crashes of a server: all its connections end, and it is gone for a while.
pub(crate) struct Crash {
    pub(crate) now: Notify,
    pub(crate) down: Duration,
    /// Called when the server is back.
    pub(crate) restarted: Box<dyn Fn() + Send + Sync>,
}

/// Running server; it ends with all its connections when it is dropped.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Listener {
    pub(crate) fn bind(answerer: Answerer) -> Self {
        Self::bind_at("127.0.0.1:0".parse().unwrap(), answerer)
    }

    pub(crate) fn bind_at(address: SocketAddr, answerer: Answerer) -> Self {
        let never = Crash {
            now: Notify::new(),
            down: Duration::ZERO,
            restarted: Box::new(|| {}),
        };
        Self::bind_crashing(address, answerer, Arc::new(never))
    }

    /// Starts a server that crashes when it is told to.
    pub(crate) fn bind_crashing(
        address: SocketAddr,
        answerer: Answerer,
        crash: Arc<Crash>,
    ) -> Self {
        let listener = std::net::TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, mut stopped) = watch::channel(false);
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).unwrap();
                tokio::select! {
                    () = serve(listener, answerer, crash) => {}
                    _ = stopped.wait_for(|stop| *stop) => {}
                }
            });
        });
        Self {
            address,
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

async fn serve(mut listener: TcpListener, answerer: Answerer, crash: Arc<Crash>) {
    let address = listener.local_addr().unwrap();
    loop {
        tokio::select! {
            () = accept(listener, answerer.clone()) => {}
            () = crash.now.notified() => {}
        }
        tokio::time::sleep(crash.down).await;
        // What arrived just before may have asked for a crash, too.
        let _ = tokio::time::timeout(Duration::ZERO, crash.now.notified()).await;
        listener = loop {
            // Its connections may still be closing.
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        (crash.restarted)();
    }
}

/// Serves connections, which end when this is dropped.
async fn accept(listener: TcpListener, answerer: Answerer) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        stream.set_nodelay(true).unwrap();
        let answerer = answerer.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| answerer(request));
            // The peer sees how the connection ends.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Returns a body that is known whole.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    let full = Full::new(bytes.into());
    full.map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer with a status and a body.
pub(crate) fn answer(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(whole(body));
    *response.status_mut() = status.try_into().unwrap();
    response
}
