//! The record of a case: lines with the time since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

/// Requests that a case needs at least: with fewer, the router or the machine is in no state to be judged.
const MIN_SENT: usize = 100;

/// Counts of the clients of a case.
#[derive(Default)]
pub struct Tally {
    sent: AtomicUsize,
    whole: AtomicUsize,
    wrong: AtomicUsize,
}

impl Tally {
    /// Counts a request, and whether its answer was as it should be.
    pub fn count(&self, is_whole: bool) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.whole
            .fetch_add(usize::from(is_whole), Ordering::Relaxed);
    }

    /// Counts an answer that breaks the rule.
    pub fn count_wrong(&self) {
        self.wrong.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the counts; returns whether the rule held, with `what` counted at most as often as `allowed`.
    pub fn verdict(&self, record: &Record, what: &str, allowed: usize) -> crate::Verdict {
        let load = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        let (sent, whole, wrong) = (load(&self.sent), load(&self.whole), load(&self.wrong));
        record.line(&format!(
            "requests: {sent}; answered as they should be: {whole}"
        ));
        record.line(&format!("{what}: {wrong}; allowed: {allowed}"));
        if sent < MIN_SENT {
            return Err(format!("only {sent} requests were sent"));
        }
        Ok(wrong <= allowed)
    }
}

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").expect("the record can be written");
    }

    pub fn flush(&self) {
        self.file
            .lock()
            .unwrap()
            .flush()
            .expect("the record can be written");
    }
}
