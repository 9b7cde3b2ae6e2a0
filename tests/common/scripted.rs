//! A plain target whose answers a test scripts byte by byte.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// A target that answers by a script; its threads end with the test program.
#[derive(Clone)]
pub struct Scripted {
    pub address: SocketAddr,
    /// Heads of the requests that came, in lower case.
    pub heads: Arc<Mutex<Vec<String>>>,
}

impl Scripted {
    /// Starts a target. `answer` gets the number of the request, its head and its connection, and
    /// says whether the connection stays open. Requests without a body are expected.
    pub fn start(
        answer: impl Fn(usize, &str, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let scripted = Self {
            address: listener.local_addr().unwrap(),
            heads: Arc::default(),
        };
        let answer = Arc::new(answer);
        let served = scripted.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, answer) = (served.clone(), answer.clone());
                thread::spawn(move || served.serve(stream, &*answer));
            }
        });
        scripted
    }

    /// Returns the value of a header in each request that came.
    pub fn header(&self, name: &str) -> Vec<String> {
        let heads = self.heads.lock().unwrap();
        let lines = heads.iter().flat_map(|head| head.lines());
        let values = lines.filter_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        values.map(str::to_owned).collect()
    }

    fn serve(&self, mut stream: TcpStream, answer: &dyn Fn(usize, &str, &mut TcpStream) -> bool) {
        while let Some(head) = read_head(&mut stream) {
            if head.starts_with("get /health ") {
                let healthy = b"HTTP/1.1 204 No Content\r\n\r\n";
                if stream.write_all(healthy).is_err() {
                    return;
                }
                continue;
            }
            let number = {
                let mut heads = self.heads.lock().unwrap();
                heads.push(head.clone());
                heads.len()
            };
            if !answer(number, &head, &mut stream) {
                return;
            }
        }
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).to_lowercase())
}
