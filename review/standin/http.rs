//! HTTP/1.1 over TCP, as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request as a server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        find(&self.query, name)
    }
}

/// Returns the value of a name; names of headers are compared without case.
pub fn find<'a>(pairs: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut pairs = pairs.iter();
    let found = pairs.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(&found.1)
}

/// Reads the lines of a head up to the empty one; `None` if the connection has ended.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(lines));
        }
        lines.push(line.to_owned());
    }
}

pub fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(lines) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = lines.first().map(String::as_str).unwrap_or("").split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    let headers = parse_headers(&lines[1..]);
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    }))
}

/// Whether a server runs, and its connections.
#[derive(Default)]
pub struct Power {
    is_off: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Power {
    /// Ends the server as a crash does: all connections close, and new ones are refused.
    pub fn turn_off(&self) {
        self.is_off.store(true, Ordering::Relaxed);
        for stream in self.open.lock().unwrap().drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the server again at its address.
    pub fn turn_on(&self) {
        self.is_off.store(false, Ordering::Relaxed);
    }
}

/// Interval at which a server that can crash looks for connections.
const POLL: Duration = Duration::from_millis(2);

/// Serves connections like [`serve`], while the power is on.
pub fn serve_with(
    power: Arc<Power>,
    handler: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            if power.is_off.load(Ordering::Relaxed) {
                listener = None;
                thread::sleep(POLL);
                continue;
            }
            let listening = match listener.take() {
                Some(listening) => listening,
                None => match TcpListener::bind(address) {
                    Ok(listening) => listening,
                    Err(_) => continue,
                },
            };
            // Fails only for an invalid socket.
            let _ = listening.set_nonblocking(true);
            let accepted = listening.accept();
            listener = Some(listening);
            let Ok((stream, _)) = accepted else {
                thread::sleep(POLL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(stream) = stream.try_clone() {
                power.open.lock().unwrap().push(stream);
            }
            let handler = handler.clone();
            thread::spawn(move || answer_all(stream, &*handler));
        }
    });
    Ok(address)
}

/// Answers the requests of a connection.
fn answer_all(
    mut stream: TcpStream,
    handler: &dyn Fn(&Request, &mut TcpStream) -> io::Result<bool>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(request)) = read_request(&mut reader) {
        if !matches!(handler(&request, &mut stream), Ok(true)) {
            break;
        }
    }
    // Another handle of it may be open.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Serves connections until the process ends; the handler writes each answer, and returns whether the
/// connection goes on.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = handler.clone();
            thread::spawn(move || answer_all(stream, &*handler));
        }
    });
    Ok(address)
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    Ok(true)
}

/// Returns the status of a GET request; `None` if there is no answer within a second.
pub fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let lines = read_head(&mut BufReader::new(stream)).ok()??;
    lines.first()?.split(' ').nth(1)?.parse().ok()
}

/// Returns a loopback address that nothing listens at now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
