//! A caller that reads answers byte by byte, so that it sees where they break.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest time without a byte before a test gives up.
const SILENCE: Duration = Duration::from_secs(30);

/// A caller of one router.
#[derive(Clone, Debug)]
pub struct Caller {
    pub router: SocketAddr,
    pub key: Box<str>,
}

/// An answer as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: Box<str>,
    pub body: Box<str>,
    /// The transfer ended as HTTP says that it must.
    pub complete: bool,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

impl Caller {
    pub fn new(router: SocketAddr, key: &str) -> Self {
        Self {
            router,
            key: key.into(),
        }
    }

    /// Sends a request and reads its answer to the end, or to the break.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<Answer> {
        let mut stream = self.begin(method, path, headers, body)?;
        let mut bytes = Vec::new();
        let read = stream.read_to_end(&mut bytes);
        if bytes.is_empty() {
            read?;
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(parse(&bytes))
    }

    /// Sends a request and returns the connection on which its answer comes.
    pub fn begin(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.router)?;
        stream.set_read_timeout(Some(SILENCE))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: {}\r\n",
            body.len()
        );
        if !self.key.is_empty() {
            head += &format!("authorization: Bearer {}\r\n", self.key);
        }
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        stream.write_all(format!("{head}\r\n{body}").as_bytes())?;
        Ok(stream)
    }

    /// Asks a model for an answer.
    pub fn complete(
        &self,
        model: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> io::Result<Answer> {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        });
        self.send("POST", "/v1/chat/completions", &[], &body.to_string())
    }
}

/// Takes an answer apart.
pub fn parse(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or(0),
        head: head.into(),
        body: rest.into(),
        complete: false,
    };
    if answer.header("transfer-encoding") == Some("chunked") {
        let (body, complete) = unchunk(rest);
        answer.body = body.into();
        answer.complete = complete;
    } else {
        let length = answer
            .header("content-length")
            .and_then(|length| length.parse().ok());
        answer.complete = length == Some(rest.len());
    }
    answer
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            body += after;
            break;
        };
        body += chunk;
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
