//! The log, on outputs that take a part of what is written.

use marlrun::{clock, log, unit::Span};
use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Bytes that the output takes at a time.
const CAPACITY: usize = 1_000;
/// Time within which lines are written.
const LIMIT: Span = Span::from_secs(10);

/// Output that is full after each write, like a pipe that doesn't block.
#[derive(Clone, Default)]
struct Pipe {
    written: Arc<Mutex<Vec<u8>>>,
    is_full: bool,
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.is_full = !self.is_full;
        if !self.is_full {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let count = bytes.len().min(CAPACITY);
        self.written
            .lock()
            .unwrap()
            .extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_lost_at_a_full_output() {
    let pipe = Pipe::default();
    let log = log::open_to(log::Level::Info, pipe.clone());
    for number in 0..200 {
        slog::info!(log, "line"; "number" => number);
    }
    let begun = clock::now();
    let whole = || {
        let text = String::from_utf8(pipe.written.lock().unwrap().clone()).unwrap();
        (0..200).all(|number| text.contains(&format!("\"number\":{number}}}\n")))
    };
    while !whole() {
        assert!(clock::now().since(begun) < LIMIT, "lines are missing");
        thread::sleep(Duration::from_millis(10));
    }
}
