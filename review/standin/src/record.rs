//! The record of a run: what was sent, answered and run.

use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Mutex::default() }
    }

    /// Returns the time since the start, in seconds.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn log(&self, text: impl Into<String>) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
    }

    /// Logs a line and prints it.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} s  {text}", self.now());
        self.log(text);
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|left, right| left.0.total_cmp(&right.0));
        let text: String = lines.iter().map(|(at, text)| format!("{at:8.3} s  {text}\n")).collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {path}: {error}");
        }
    }
}
