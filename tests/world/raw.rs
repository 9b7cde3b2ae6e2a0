//! A target that answers each request with the same bytes.

use super::Store;
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// A target that answers each request with the same bytes, in which `{signed}` stands for what signs a response, and closes the
/// connection.
pub(crate) struct Raw {
    requests: Arc<AtomicU64>,
    answer: Arc<Mutex<String>>,
}

impl Raw {
    /// Starts a target and registers it.
    pub(crate) fn bind(store: &Store, service: &str, name: &str, answer: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<AtomicU64> = Arc::default();
        let answer = Arc::new(Mutex::new(answer.to_owned()));
        let (counted, current) = (requests.clone(), answer.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                counted.fetch_add(1, Ordering::Relaxed);
                if let Some(request) = read(&stream) {
                    let signed = format!(
                        "x-marlrun-request-id: {request}\r\nx-marlrun-response-stamp: 1.2.3\r\n\
                         connection: close\r\n"
                    );
                    let bytes = current.lock().unwrap().replace("{signed}", &signed);
                    // The router may have closed the connection.
                    drop((&stream).write_all(bytes.as_bytes()));
                }
            }
        });
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "east", "slots": 64,
            "state": "ready", "born": 1_700_000_000_000_u64, "seq": 1, "version": "v1",
        });
        store.put("servers", name, &entry);
        Self { requests, answer }
    }

    /// Sets the answer from now on.
    pub(crate) fn answer_with(&self, answer: &str) {
        answer.clone_into(&mut self.answer.lock().unwrap());
    }

    pub(crate) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Reads a request; returns its identifier.
fn read(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let (mut name, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.to_lowercase().trim().split_once(": ") {
            Some(("x-marlrun-request-id", value)) => name = value.into(),
            Some(("content-length", value)) => length = value.parse().unwrap(),
            _ => {}
        }
        if line == "\r\n" {
            reader.read_exact(&mut vec![0; length]).ok()?;
            return Some(name);
        }
    }
}
