//! Stand-in of a client that asks for streams.

use crate::http::{find, parse_headers, read_head};
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Tokens of the last part of each prompt.
const LAST_TOKENS: u32 = 40;

/// A request for a stream.
#[derive(Clone)]
pub struct Ask {
    pub name: String,
    pub path: String,
    pub host: String,
    pub key: String,
    pub deadline_ms: u64,
    /// Shared parts of the prompt, with their tokens.
    pub parts: Vec<(u64, u32)>,
    /// The request that began the stream, and the last event of it, if the stream is taken up.
    pub resumes: Option<(String, u64)>,
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended before.
    pub status: u16,
    pub retry_after: Option<f64>,
    /// Numbers of the events, with the version that made each.
    pub events: Vec<(u64, String)>,
    pub whole: bool,
}

/// Sends a request on a new connection and reads the answer. `on_event` is called for each event.
pub fn call(address: SocketAddr, ask: &Ask, mut on_event: impl FnMut(u64)) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(ask.deadline_ms)));
    // The last part belongs to the request.
    let last = ask.name.bytes();
    let last = last.fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
    let shared = ask.parts.iter().copied();
    let parts: Vec<(u64, u32)> = shared.chain([(last, LAST_TOKENS)]).collect();
    let tokens: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
    let parts: Vec<String> = parts
        .iter()
        .map(|(id, tokens)| format!("{id:x}:{tokens}"))
        .collect();
    let mut head = format!(
        "POST {}x HTTP/1.1\r\nhost: {}\r\nx-marlrun-request-id: {}\r\nx-marlrun-deadline-ms: {}\r\n\
         x-marlrun-model: m\r\nx-marlrun-token-count: {tokens},80\r\nx-marlrun-prompt-prefix: {}\r\n\
         authorization: Bearer {}\r\ncontent-length: 2\r\n",
        ask.path,
        ask.host,
        ask.name,
        ask.deadline_ms,
        parts.join(","),
        ask.key,
    );
    if let Some((began, last)) = &ask.resumes {
        head += &format!("resumes: {began}\r\nlast-event-id: {last}\r\n");
    }
    if stream.write_all((head + "\r\nhi").as_bytes()).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(lines)) = read_head(&mut reader) else {
        return answer;
    };
    let status = lines.first().and_then(|line| line.split(' ').nth(1));
    let status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
    let headers = parse_headers(&lines[1..]);
    answer.status = status;
    answer.retry_after = find(&headers, "retry-after").and_then(|text| text.parse().ok());
    if status != 200 {
        return answer;
    }
    let mut text = String::new();
    // Streams come in chunks, since their length isn't known.
    loop {
        let mut size = String::new();
        if !matches!(reader.read_line(&mut size), Ok(1..)) {
            return answer;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return answer;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return answer;
        }
        if size == 0 {
            answer.whole = true;
            return answer;
        }
        text += &String::from_utf8_lossy(&chunk[..size]);
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let number = event
                .strip_prefix("id: ")
                .and_then(|rest| rest.split('\n').next());
            let number = number.and_then(|text| text.parse().ok()).unwrap_or(0);
            let version = event.trim().rsplit(' ').next().unwrap_or("").to_owned();
            answer.events.push((number, version));
            on_event(number);
        }
    }
}
