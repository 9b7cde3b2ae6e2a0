//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let start = Instant::now();
        Ok(Self { file, start })
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A full disk must not end the case.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
