//! What was sent, answered and run, in order of time.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl Into<String>) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.into()));
    }

    /// Writes all lines to a file.
    pub fn write(&self, file: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let lines = lines
            .iter()
            .map(|(at, line)| format!("{at:9.4} s  {line}\n"));
        let text: String = lines.collect();
        if let Err(error) = fs::write(file, text) {
            eprintln!("record not written: {error}");
        }
    }
}
