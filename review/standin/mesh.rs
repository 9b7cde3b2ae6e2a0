//! Proxies before the routers' addresses for each other, and before the store, that drop what crosses a cut.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Maximum size of a datagram.
const DATAGRAM: usize = 65_536;
/// Time after which a proxy looks whether its link was cut.
const LOOK: Duration = Duration::from_millis(5);

/// Forwards TCP connections to an address until the link is cut; from then on nothing passes, without a reset.
pub fn proxy(to: SocketAddr, cut: &Arc<AtomicBool>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    forward_connections(listener, to, cut.clone());
    Ok(address)
}

fn forward_connections(listener: TcpListener, to: SocketAddr, cut: Arc<AtomicBool>) {
    thread::spawn(move || {
        for near in listener.incoming().map_while(Result::ok) {
            let cut = cut.clone();
            thread::spawn(move || {
                while cut.load(Ordering::Relaxed) {
                    thread::sleep(LOOK);
                }
                let Ok(far) = TcpStream::connect(to) else {
                    return;
                };
                let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                let back = cut.clone();
                thread::spawn(move || pass(far_too, near_too, &back));
                pass(near, far, &cut);
            });
        }
    });
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut space = [0; 16_384];
    loop {
        let count = from.read(&mut space).unwrap_or(0);
        while cut.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
        }
        if count == 0 || to.write_all(&space[..count]).is_err() {
            // Either side may be closed already.
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// A proxy before the address of each router for the others.
#[derive(Default)]
pub struct Mesh {
    /// Zone of each router, by its own address.
    zones: Arc<Mutex<HashMap<SocketAddr, String>>>,
    /// Whether zones are cut off from each other.
    cut: Arc<AtomicBool>,
}

impl Mesh {
    /// Adds a router; returns the address at which the others find it.
    pub fn add(
        &self,
        router: SocketAddr,
        zone: &str,
        other_zone_reads: bool,
    ) -> io::Result<SocketAddr> {
        self.zones.lock().unwrap().insert(router, zone.into());
        let (socket, listener) = loop {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            if let Ok(socket) = UdpSocket::bind(listener.local_addr()?) {
                break (socket, listener);
            }
        };
        let address = socket.local_addr()?;
        let never = Arc::new(AtomicBool::new(false));
        let lists_cut = if other_zone_reads {
            self.cut.clone()
        } else {
            never
        };
        forward_connections(listener, router, lists_cut);
        let (zones, cut, zone) = (self.zones.clone(), self.cut.clone(), zone.to_owned());
        thread::spawn(move || {
            let mut space = [0; DATAGRAM];
            while let Ok((count, from)) = socket.recv_from(&mut space) {
                let crosses = zones.lock().unwrap().get(&from) != Some(&zone);
                if !(crosses && cut.load(Ordering::Relaxed)) {
                    // The router may have ended.
                    let _ = socket.send_to(&space[..count], router);
                }
            }
        });
        Ok(address)
    }

    /// The state of the cut, for the links to the store, too.
    pub fn link(&self) -> &Arc<AtomicBool> {
        &self.cut
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}
