//! Links between routers: each router is listed under the address of a proxy, for datagrams and for lists.

use super::{Harm, Proxy, Store};
use std::{
    collections::{BTreeSet, VecDeque},
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time for which a proxy waits for a datagram before it looks at what is due.
const POLL: Duration = Duration::from_millis(2);
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// What is wrong with the links between routers.
#[derive(Default)]
struct State {
    /// Pairs of routers whose datagrams are lost in both directions.
    cut: BTreeSet<(usize, usize)>,
    /// Time by which datagrams are delayed.
    delay: Duration,
}

/// One end of the links: what is sent to a router.
struct End {
    /// Address of the router itself.
    router: SocketAddr,
    /// Receives what others send it, and sends on what it sends others, so that it is known by this address.
    socket: UdpSocket,
    lists: Proxy,
}

/// Links between some routers; they end when it is dropped.
pub(crate) struct Mesh {
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

struct Shared {
    ends: Vec<End>,
    state: Mutex<State>,
    stopped: AtomicBool,
}

impl Mesh {
    /// Opens links between routers with these addresses. They have to register after that.
    pub(crate) fn open(store: &Store, routers: &[SocketAddr]) -> Self {
        let ends = routers.iter().map(|router| {
            let lists = Proxy::bind(*router);
            let socket = UdpSocket::bind(lists.address).unwrap();
            socket.set_read_timeout(Some(POLL)).unwrap();
            store.alias(*router, lists.address);
            End {
                router: *router,
                socket,
                lists,
            }
        });
        let shared = Arc::new(Shared {
            ends: ends.collect(),
            state: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let threads = (0..routers.len()).map(|to| {
            let shared = shared.clone();
            thread::spawn(move || shared.pass_on(to))
        });
        Self {
            threads: threads.collect(),
            shared,
        }
    }

    /// Cuts the links between a router and some others in both directions. Nobody reads lists from another router
    /// meanwhile.
    pub(crate) fn cut(&self, router: usize, others: impl IntoIterator<Item = usize>) {
        let pairs = others.into_iter().map(|other| pair(router, other));
        self.shared.state().cut.extend(pairs);
        self.harm_lists(Harm::Silence);
    }

    /// Has datagrams arrive this much later.
    pub(crate) fn delay(&self, delay: Duration) {
        self.shared.state().delay = delay;
        self.harm_lists(Harm::Delay(delay));
    }

    /// Repairs all links.
    pub(crate) fn heal(&self) {
        *self.shared.state() = State::default();
        self.harm_lists(Harm::None);
    }

    fn harm_lists(&self, harm: Harm) {
        self.shared.ends.iter().for_each(|end| end.lists.harm(harm));
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Passes on what is sent to a router until the end.
    fn pass_on(&self, to: usize) {
        let mut block = vec![0; MAX_DATAGRAM_BYTES];
        let mut queue: VecDeque<(Instant, usize, Vec<u8>)> = VecDeque::new();
        while !self.stopped.load(Ordering::Relaxed) {
            if let Ok((length, sender)) = self.ends[to].socket.recv_from(&mut block)
                && let Some(from) = self.ends.iter().position(|end| end.router == sender)
            {
                let state = self.state();
                if !state.cut.contains(&pair(from, to)) {
                    let due = Instant::now() + state.delay;
                    queue.push_back((due, from, block[..length].to_vec()));
                }
            }
            while queue
                .front()
                .is_some_and(|(due, ..)| *due <= Instant::now())
            {
                let (_, from, bytes) = queue.pop_front().unwrap();
                self.send(from, to, &bytes).unwrap_or_default();
            }
        }
    }

    /// Sends a datagram on; the router may be gone.
    fn send(&self, from: usize, to: usize, bytes: &[u8]) -> io::Result<()> {
        let socket = &self.ends[from].socket;
        socket.send_to(bytes, self.ends[to].router).map(drop)
    }
}

fn pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}
