//! Proxy on loopback between two sides, which delays, holds back, resets or refuses connections.

use super::process::free_address;
use std::{io, net::SocketAddr, thread, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    runtime::Builder,
    sync::watch,
};

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Harm {
    None,
    /// Bytes arrive this much later.
    Delay(Duration),
    /// Bytes from the side that connects are held back.
    HoldRequests,
    /// Bytes to the side that connects are held back.
    HoldAnswers,
    /// Bytes of both directions are held back.
    Silence,
    /// New connections are refused.
    Refuse,
    /// New connections are silent for good.
    Lose,
}

/// Direction of bytes.
#[derive(Clone, Copy)]
enum Way {
    Requests,
    Answers,
}

/// Size of the blocks that are passed on.
const BLOCK_BYTES: usize = 16_384;
/// Pause before the listener's address is bound again, if that failed.
const BIND_RETRY: Duration = Duration::from_millis(10);

/// A running proxy; it ends with all its connections when it is dropped.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    harm: watch::Sender<Harm>,
    /// Counts resets; a change ends all open connections.
    resets: watch::Sender<u64>,
    /// Counts silences; at a change all open connections go silent for good.
    silences: watch::Sender<u64>,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

/// The link that the connections of a proxy share.
#[derive(Clone)]
struct Link {
    address: SocketAddr,
    target: SocketAddr,
    harm: watch::Receiver<Harm>,
    resets: watch::Receiver<u64>,
    silences: watch::Receiver<u64>,
}

impl Proxy {
    /// Starts a proxy before an address.
    pub(crate) fn bind(target: SocketAddr) -> Self {
        let address = free_address();
        let harm = watch::Sender::new(Harm::None);
        let (resets, silences) = (watch::Sender::new(0), watch::Sender::new(0));
        let (stop, mut stopped) = watch::channel(false);
        let link = Link {
            address,
            target,
            harm: harm.subscribe(),
            resets: resets.subscribe(),
            silences: silences.subscribe(),
        };
        let listener = std::net::TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).unwrap();
                tokio::select! {
                    () = link.accept(listener) => {}
                    _ = stopped.wait_for(|stop| *stop) => {}
                }
            });
        });
        Self {
            address,
            harm,
            resets,
            silences,
            stop,
            thread: Some(thread),
        }
    }

    /// Sets what is wrong with the link, also for open connections.
    pub(crate) fn harm(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }

    /// Makes all open connections silent for good, without an end; new ones work.
    pub(crate) fn silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Cuts the link: open connections and those that are opened meanwhile are silent for good.
    pub(crate) fn cut(&self) {
        self.harm(Harm::Lose);
        self.silence();
    }

    /// Resets all open connections.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

impl Link {
    async fn accept(mut self, mut listener: TcpListener) {
        loop {
            if *self.harm.borrow_and_update() == Harm::Refuse {
                drop(listener);
                // The proxy keeps the sender.
                let _ = self.harm.wait_for(|harm| *harm != Harm::Refuse).await;
                listener = self.listen().await;
            }
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().connect(stream));
                    }
                }
                _ = self.harm.changed() => {}
            }
        }
    }

    async fn listen(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(_) => tokio::time::sleep(BIND_RETRY).await,
            }
        }
    }

    /// Serves a connection; if one side breaks off, so does the other.
    async fn connect(mut self, mut near: TcpStream) {
        self.resets.mark_unchanged();
        self.silences.mark_unchanged();
        let is_lost = *self.harm.borrow() == Harm::Lose;
        let Ok(mut far) = TcpStream::connect(self.target).await else {
            // The side that connected may have gone.
            let _ = near.set_zero_linger();
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        let harm = &self.harm;
        let mut resets = self.resets.clone();
        let done = tokio::select! {
            done = async {
                tokio::try_join!(
                    pass(harm.clone(), Way::Requests, near_in, far_out),
                    pass(harm.clone(), Way::Answers, far_in, near_out),
                )
            }, if !is_lost => done.is_ok(),
            _ = self.silences.changed(), if !is_lost => {
                // The proxy keeps the sender.
                let _ = self.resets.changed().await;
                false
            }
            _ = resets.changed() => false,
        };
        if !done {
            // Either side may have gone.
            let _ = near.set_zero_linger();
            let _ = far.set_zero_linger();
        }
    }
}

/// Passes on the bytes of one direction until it ends.
async fn pass(
    mut harm: watch::Receiver<Harm>,
    way: Way,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
) -> io::Result<()> {
    let mut block = vec![0; BLOCK_BYTES];
    loop {
        free(&mut harm, way, from.as_ref()).await?;
        let length = from.read(&mut block).await?;
        let delay = match *harm.borrow() {
            Harm::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        free(&mut harm, way, from.as_ref()).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&block[..length]).await?;
    }
}

/// Waits until bytes of a direction are not held back; fails if their sender has reset the connection, by which they are
/// lost.
async fn free(harm: &mut watch::Receiver<Harm>, way: Way, from: &TcpStream) -> io::Result<()> {
    let held = |harm: &Harm| match way {
        Way::Requests => matches!(harm, Harm::HoldRequests | Harm::Silence),
        Way::Answers => matches!(harm, Harm::HoldAnswers | Harm::Silence),
    };
    // The proxy keeps the sender.
    let _ = harm.wait_for(|harm| !held(harm)).await;
    from.take_error()?.map_or(Ok(()), Err)
}
