//! HTTP/1.1 over blocking sockets: servers with a thread a connection, and a client's side.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Head of a request or of an answer; the names of headers are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns a part of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        let coding = self.header("transfer-encoding").unwrap_or_default();
        coding.to_ascii_lowercase().contains("chunked")
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.line.is_empty() {
            head.line = line.into();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            head.headers.push((name, value.trim().into()));
        }
    }
}

/// Reads the rest of a chunk's line, or a whole one.
fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match from.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().into()),
    }
}

/// Reads the body of a request.
pub fn read_body(head: &Head, from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let line = read_line(from)?;
            let size = line.split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            from.read_exact(&mut body[start..])?;
            read_line(from)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    body.resize(head.length().unwrap_or(0), 0);
    from.read_exact(&mut body)?;
    Ok(body)
}

/// Serves connections, each on a thread of its own, until the process ends.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                // The peer sees how the connection ends.
                let _ = handle(stream);
            });
        }
    });
}

pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// An address that nobody listens at.
pub fn free_address() -> SocketAddr {
    bind().1
}

/// What a client got for a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// `None` if no whole head came.
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// The answer ended as the protocol says a whole one does.
    pub whole: bool,
    /// How the connection ended, if it did.
    pub end: String,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }
}

/// A client's connection, which is kept for further requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
    pub open: bool,
}

impl Connection {
    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self {
            reader: BufReader::new(stream),
            open: true,
        })
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, request: &[u8]) -> Answer {
        self.call_in([request].into_iter())
    }

    /// The same with a request in pieces.
    pub fn call_in<'a>(&mut self, pieces: impl Iterator<Item = &'a [u8]>) -> Answer {
        let mut answer = Answer::default();
        let mut sent = Ok(());
        for piece in pieces {
            sent = sent.and_then(|()| self.reader.get_mut().write_all(piece));
        }
        let read = sent.and_then(|()| self.read(&mut answer));
        if let Err(error) = read {
            answer.end = error.to_string();
            self.open = false;
        }
        let close = answer.head.as_ref().and_then(|h| h.header("connection"));
        self.open &= answer.whole && !close.is_some_and(|v| v.eq_ignore_ascii_case("close"));
        answer
    }

    fn read(&mut self, answer: &mut Answer) -> io::Result<()> {
        let head = loop {
            let head = read_head(&mut self.reader)?;
            let head = head.ok_or_else(|| io::Error::other("closed before an answer"))?;
            if head.status() >= 200 {
                break head;
            }
        };
        answer.head = Some(head.clone());
        if head.is_chunked() {
            loop {
                let line = read_line(&mut self.reader)?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
                let size = size.map_err(|_| io::Error::other("no chunk"))?;
                let mut chunk = vec![0; size];
                self.reader.read_exact(&mut chunk)?;
                read_line(&mut self.reader)?;
                if size == 0 {
                    answer.whole = true;
                    return Ok(());
                }
                answer.body.extend(chunk);
            }
        }
        let Some(length) = head.length() else {
            self.reader.read_to_end(&mut answer.body)?;
            answer.whole = true;
            self.open = false;
            return Ok(());
        };
        while answer.body.len() < length {
            let mut block = vec![0; (length - answer.body.len()).min(16_384)];
            let count = self.reader.read(&mut block)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            answer.body.extend(&block[..count]);
        }
        answer.whole = true;
        Ok(())
    }
}
