//! A caller's connection that is kept open for many requests.

use super::{Answer, Caller};
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant, UNIX_EPOCH},
};

/// Size of the blocks that are read.
const BLOCK_BYTES: usize = 4_096;

/// An open connection.
pub(crate) struct Connection {
    stream: TcpStream,
    /// Requests that were sent on it.
    requests: u32,
}

/// How a request on a connection ended.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// What came back; `None` if no head did.
    pub(crate) answer: Option<Answer>,
    /// Requests that were sent on the connection before.
    pub(crate) earlier: u32,
    /// Time at which the last byte of the request was sent, in milliseconds, as in log lines.
    pub(crate) sent_ms: u128,
    /// Time from the last byte of the request to the end of the answer or of the connection.
    pub(crate) after: Duration,
    /// Bytes that came after the answer.
    pub(crate) extra: Box<str>,
    /// The caller stopped waiting.
    pub(crate) abandoned: bool,
    /// The connection can be used again.
    pub(crate) open: bool,
}

impl Connection {
    /// Opens a connection; the caller waits as long as the limit for further bytes of an answer.
    pub(crate) fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Self {
            stream,
            requests: 0,
        })
    }

    /// Sends a request and reads until its answer is whole or the connection has ended.
    pub(crate) fn call(&mut self, caller: &Caller) -> Reply {
        let mut bytes = Vec::new();
        let mut abandoned = false;
        // A reset after the request is as good as one before the answer.
        let mut open = self.stream.write_all(&caller.message()).is_ok();
        let sent = Instant::now();
        let sent_ms = UNIX_EPOCH.elapsed().unwrap().as_millis();
        self.requests += 1;
        let mut end = None;
        while open && end.is_none() {
            let mut block = [0; BLOCK_BYTES];
            match self.stream.read(&mut block) {
                Ok(0) => open = false,
                Ok(length) => bytes.extend_from_slice(&block[..length]),
                Err(error) => {
                    abandoned = error.kind() == io::ErrorKind::WouldBlock;
                    open = false;
                }
            }
            end = message_length(&bytes);
        }
        let after = sent.elapsed();
        let (message, extra) = bytes.split_at(end.unwrap_or(bytes.len()));
        let has_head = message.windows(4).any(|window| window == b"\r\n\r\n");
        let answer = has_head.then(|| Answer::parse(message, after));
        let closing = answer
            .as_ref()
            .and_then(|answer| answer.header("connection"));
        Reply {
            open: open && closing != Some("close"),
            answer,
            earlier: self.requests - 1,
            sent_ms,
            after,
            extra: String::from_utf8_lossy(extra).into(),
            abandoned,
        }
    }
}

/// Returns the length of the answer that some bytes begin with, if it is whole.
fn message_length(bytes: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(bytes).ok()?;
    let body = text.find("\r\n\r\n")? + 4;
    let head = text[..body].to_lowercase();
    if !head.contains("transfer-encoding: chunked") {
        let length = head.lines().find_map(|line| {
            let value = line.strip_prefix("content-length: ")?;
            value.trim().parse::<usize>().ok()
        });
        let end = body + length.unwrap_or(0);
        return (bytes.len() >= end).then_some(end);
    }
    let mut next = body;
    loop {
        let line = next + text.get(next..)?.find("\r\n")?;
        let size = usize::from_str_radix(text[next..line].trim(), 16).ok()?;
        next = line + 2 + size + 2;
        if next > bytes.len() {
            return None;
        }
        if size == 0 {
            return Some(next);
        }
    }
}
