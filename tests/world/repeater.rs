//! A target that sends a second copy of a response on a connection that is in use again.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// Number of times that each request ran, by its name.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// What the second copy looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Copy {
    /// It names its request.
    Named,
    /// It names none.
    Unnamed,
    /// It names none, and says that the request was not run.
    UnnamedRefusal,
    /// It is a refusal, and names its request: every other request on a connection is refused.
    Refusal,
}

/// A target that answers each request on a connection but the first with a copy of the response before,
/// and then with its own.
pub(crate) struct Repeater {
    pub(crate) address: SocketAddr,
    runs: Runs,
}

impl Repeater {
    pub(crate) fn bind(copy: Copy) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Runs::default();
        let counted = runs.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                // Ends when the router closes the connection.
                let counted = counted.clone();
                thread::spawn(move || drop(serve(&stream, copy, &counted)));
            }
        });
        Self { address, runs }
    }

    /// Returns how often a request ran.
    pub(crate) fn runs_of(&self, request: &str) -> u32 {
        let runs = self.runs.lock().unwrap();
        runs.get(request).copied().unwrap_or_default()
    }
}

fn serve(mut stream: &TcpStream, copy: Copy, runs: &Runs) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    let mut before = None;
    loop {
        let request = read_request(&mut reader)?;
        match before.take() {
            Some(before) => stream.write_all(&response(copy, before).into_bytes())?,
            None if copy == Copy::Refusal => {
                stream.write_all(&response(copy, request.clone()).into_bytes())?;
                before = Some(request);
                continue;
            }
            None => {}
        }
        *runs.lock().unwrap().entry(request.clone()).or_default() += 1;
        stream.write_all(&response(Copy::Named, request.clone()).into_bytes())?;
        before = (copy != Copy::Refusal).then_some(request);
    }
}

/// Reads a request; returns its name.
fn read_request(reader: &mut BufReader<&TcpStream>) -> std::io::Result<String> {
    let mut name = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let lower = line.to_lowercase();
        if let Some(value) = lower.strip_prefix("x-marlrun-request-id: ") {
            name = value.trim().into();
        }
        if let Some(value) = lower.strip_prefix("content-length: ") {
            length = value.trim().parse().unwrap();
        }
        if line == "\r\n" {
            break;
        }
    }
    reader.read_exact(&mut vec![0; length])?;
    Ok(name)
}

fn response(copy: Copy, request: String) -> String {
    let body = format!("answer to {request}");
    let name = match copy {
        Copy::Named | Copy::Refusal => format!("x-marlrun-request-id: {request}\r\n"),
        Copy::Unnamed | Copy::UnnamedRefusal => String::new(),
    };
    let (status, not_run) = match copy {
        Copy::Refusal | Copy::UnnamedRefusal => {
            ("503 Service Unavailable", "x-marlrun-not-run: 1\r\n")
        }
        Copy::Named | Copy::Unnamed => ("200 OK", ""),
    };
    format!(
        "HTTP/1.1 {status}\r\n{name}{not_run}x-marlrun-response-stamp: 1.2.3\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
