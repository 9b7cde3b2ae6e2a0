//! Proxy before the store: it passes bytes on, or holds everything back.

use crate::http;
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const HOLD_POLL: Duration = Duration::from_millis(10);

pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn open(target: SocketAddr) -> Self {
        let (listener, address) = http::bind();
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = is_cut.clone();
        http::serve(listener, move |near| {
            wait(&cut);
            let far = TcpStream::connect(target)?;
            far.set_nodelay(true)?;
            let (from, to, held) = (near.try_clone()?, far.try_clone()?, cut.clone());
            thread::spawn(move || pass(from, to, &held));
            pass(far, near, &cut)
        });
        Self { address, is_cut }
    }

    /// Cuts the link, or heals it. A cut link is silent; what was held back arrives afterwards.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

fn wait(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::Relaxed) {
        thread::sleep(HOLD_POLL);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) -> io::Result<()> {
    let mut block = [0; 16_384];
    loop {
        let read = from.read(&mut block);
        wait(is_cut);
        let count = read.unwrap_or(0);
        if count == 0 {
            // The other side may be closed already.
            let _ = to.shutdown(std::net::Shutdown::Both);
            return Ok(());
        }
        to.write_all(&block[..count])?;
    }
}
